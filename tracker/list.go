package tracker

import (
	"maps"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

// follow reads the platform's list until Close.
func (t *Tracker) follow() {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		t.readList()
		select {
		case <-ticker.C:
		case <-t.ctx.Done():
			return
		}
	}
}

func (t *Tracker) readList() {
	vms, err := t.options.Lister.List(t.ctx)
	if err != nil {
		if !t.failing && t.ctx.Err() == nil {
			t.options.Log.Warn().Err(err).Msg("tracker: list of VMs is unavailable")
		}
		t.failing = true
		return
	}
	t.failing = false
	t.Seed(vms)
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
	chosen := subset(t.options.Process, agents, t.options.Subset, t.options.Whole)
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
