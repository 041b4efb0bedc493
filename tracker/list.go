package tracker

import (
	"maps"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

// pollList reads the platform's list of VMs until Close.
func (t *Tracker) pollList() {
	for t.ctx.Err() == nil {
		t.readList()
		select {
		case <-time.After(t.nextListDelay()):
		case <-t.ctx.Done():
		}
	}
}

// nextListDelay returns the delay before the list is read again. It is short
// after a failure.
func (t *Tracker) nextListDelay() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listFailing {
		return minListInterval
	}
	return listInterval(len(t.members) + len(t.entries))
}

func (t *Tracker) readList() {
	vms, err := t.options.Lister.List(t.ctx)
	if t.setFailing(err != nil) && t.ctx.Err() == nil {
		t.options.Log.Warn().Err(err).Msg("tracker: list of VMs is unavailable")
	}
	if err == nil {
		t.ApplyList(vms)
	}
}

// setFailing records whether reading the list failed, and reports whether this
// is the first failure after a success.
func (t *Tracker) setFailing(failing bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	began := failing && !t.listFailing
	t.listFailing = failing
	return began
}

// ApplyList updates the agents and entries from a list of VMs.
func (t *Tracker) ApplyList(vms []carawaybeam.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return
	}
	now := time.Now()
	t.listedAt = now
	t.updateEntries(vms)
	listed := agentsOf(vms)
	for address, vm := range listed {
		if known, ok := t.members[address]; ok {
			known.setVM(vm)
			continue
		}
		t.members[address] = newMember(t, vm)
	}
	for address, m := range t.members {
		_, ok := listed[address]
		if m.isGone(now, ok) {
			m.stop()
			delete(t.members, address)
		}
	}
	t.chooseLinks()
}

// chooseLinks starts links to the subset of each pool and ends those that are
// neither chosen nor otherwise in use. The caller holds mu.
func (t *Tracker) chooseLinks() {
	agents := make(map[carawaybeam.Address]carawaybeam.VM, len(t.members))
	for address, m := range t.members {
		agents[address] = m.snapshot().VM
	}
	chosen := subset(t.options.Process, agents, t.isEvacuated, t.options.SubsetSize, t.options.MaxFullPool)
	t.interval = reportInterval(len(chosen))
	for address, m := range t.members {
		m.setChosen(chosen[address])
	}
}

// Entries returns the entries on the platform's list, ordered by address.
func (t *Tracker) Entries() []carawaybeam.VM {
	t.mu.Lock()
	defer t.mu.Unlock()
	entries := make([]carawaybeam.VM, 0, len(t.entries))
	for _, address := range slices.Sorted(maps.Keys(t.entries)) {
		entries = append(entries, t.entries[address])
	}
	return entries
}

// VMs returns all known VMs, as accepted by ApplyList: the entries, then the
// agents, each ordered by address.
func (t *Tracker) VMs() []carawaybeam.VM {
	vms := t.Entries()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, address := range slices.Sorted(maps.Keys(t.members)) {
		vms = append(vms, t.members[address].snapshot().VM)
	}
	return vms
}

// updateEntries replaces the known entries by the listed ones. A list without
// entries is ignored, since the process itself is an entry. The caller holds
// mu.
func (t *Tracker) updateEntries(vms []carawaybeam.VM) {
	entries := make(map[carawaybeam.Address]carawaybeam.VM)
	for _, vm := range vms {
		if vm.Role == carawaybeam.RoleEntry {
			entries[vm.Address] = vm
		}
	}
	if len(entries) > 0 {
		t.entries = entries
	}
}
