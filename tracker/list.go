package tracker

import (
	"maps"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

// follow reads the platform's list until Close.
func (t *Tracker) follow() {
	for t.ctx.Err() == nil {
		t.readList()
		select {
		case <-time.After(t.untilNextList()):
		case <-t.ctx.Done():
		}
	}
}

// untilNextList returns the wait before the list is read again. One that could
// not be read is tried again soon.
func (t *Tracker) untilNextList() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failing {
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
		t.Seed(vms)
	}
}

// setFailing notes whether the list could be read, and reports whether it just
// began to fail.
func (t *Tracker) setFailing(failing bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	began := failing && !t.failing
	t.failing = failing
	return began
}

// Seed takes the rows of a list of VMs.
func (t *Tracker) Seed(vms []carawaybeam.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return
	}
	now := time.Now()
	t.listed = now
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

// chooseLinks links to the subset of each pool and to what is pinned. The caller
// holds mu.
func (t *Tracker) chooseLinks() {
	agents := make(map[carawaybeam.Address]carawaybeam.VM, len(t.members))
	for address, m := range t.members {
		agents[address] = m.snapshot().VM
	}
	chosen := subset(t.options.Process, agents, t.options.SubsetSize, t.options.MaxFullPool)
	t.interval = interval(len(chosen))
	for address, m := range t.members {
		m.keepLinked(chosen[address])
	}
}

// Entries returns the entries that the platform lists, in the order of their
// addresses.
func (t *Tracker) Entries() []carawaybeam.VM {
	t.mu.Lock()
	defer t.mu.Unlock()
	entries := make([]carawaybeam.VM, 0, len(t.entries))
	for _, address := range slices.Sorted(maps.Keys(t.entries)) {
		entries = append(entries, t.entries[address])
	}
	return entries
}

// Rows returns the VMs known, as Seed takes them.
func (t *Tracker) Rows() []carawaybeam.VM {
	rows := t.Entries()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, address := range slices.Sorted(maps.Keys(t.members)) {
		rows = append(rows, t.members[address].snapshot().VM)
	}
	return rows
}

// updateEntries takes the listed entries. A list without any changes nothing,
// since the process itself is one. The caller holds mu.
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
