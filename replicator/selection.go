package replicator

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// watchersPerDataCentre is the number of entries in each data centre that
	// watch the store.
	watchersPerDataCentre = 2

	// nearPeers and farPeers are the number of other entries to which an entry
	// links in its own data centre and in other data centres.
	nearPeers = 2
	farPeers  = 2
)

// Watchers returns the entries of a data centre that should watch the store. They
// are chosen by rendezvous hashing (Thaler and Ravishankar, 1998), so that all
// processes with the same list agree without communication and a change of the list
// replaces few of them.
func Watchers(entries []carawaybeam.VM, dataCentre carawaybeam.DataCentre) []carawaybeam.VM {
	return choose("watch", entries, watchersPerDataCentre, func(vm carawaybeam.VM) bool {
		return vm.DataCentre == dataCentre && vm.State != carawaybeam.VMLeaving
	})
}

// Peers returns the entries to which the entry at the address self links: the
// watchers of its data centre, and some other entries in its own and in other data
// centres. These links connect all entries in a random graph of small diameter.
func Peers(
	entries []carawaybeam.VM,
	self carawaybeam.Address,
	dataCentre carawaybeam.DataCentre,
) []carawaybeam.VM {
	peers := Watchers(entries, dataCentre)
	near := choose(string(self), entries, nearPeers, func(vm carawaybeam.VM) bool {
		return vm.DataCentre == dataCentre && vm.Address != self
	})
	far := choose(string(self), entries, farPeers, func(vm carawaybeam.VM) bool {
		return vm.DataCentre != dataCentre
	})
	for _, vm := range slices.Concat(near, far) {
		if !slices.ContainsFunc(peers, func(p carawaybeam.VM) bool { return p.Address == vm.Address }) {
			peers = append(peers, vm)
		}
	}
	return slices.DeleteFunc(peers, func(vm carawaybeam.VM) bool { return vm.Address == self })
}

// choose returns the n eligible entries with the highest scores for the key.
func choose(key string, entries []carawaybeam.VM, n int, eligible func(carawaybeam.VM) bool) []carawaybeam.VM {
	type scored struct {
		vm    carawaybeam.VM
		score uint64
	}
	var candidates []scored
	for _, vm := range entries {
		if eligible(vm) {
			candidates = append(
				candidates,
				scored{vm: vm, score: xxhash.Sum64String(key + "\x00" + string(vm.Address))},
			)
		}
	}
	slices.SortFunc(candidates, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm.Address, b.vm.Address))
	})
	chosen := make([]carawaybeam.VM, 0, n)
	for _, c := range candidates[:min(n, len(candidates))] {
		chosen = append(chosen, c.vm)
	}
	return chosen
}
