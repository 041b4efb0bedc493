package tracker

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// subsetSize is how many agents of a large pool an entry links to. A pool
	// of at most wholePool agents is linked to whole.
	subsetSize = 8
	wholePool  = 32

	// absentTime is how long an agent without a link is remembered once the
	// platform no longer lists it.
	absentTime = time.Minute

	// minInterval and maxInterval bound how often an agent reports while
	// nothing changes.
	minInterval = time.Second
	maxInterval = 30 * time.Second

	// beatBytes is what a report and the word back take on the wire, with the
	// headers of yamux, TCP and IP, and beatBudget is what all links together
	// may take in a second.
	beatBytes  = 320
	beatBudget = 2500

	// minListInterval and maxListInterval bound how often the platform's list is
	// read, rowBytes is what a row of it takes, and listBudget is what reading
	// it may take in a second.
	minListInterval = 2 * time.Second
	maxListInterval = 10 * time.Minute
	rowBytes        = 150
	listBudget      = 1500
)

// interval returns how often each of that many agents is to report, so that all
// reports together stay within the budget.
func interval(links int) time.Duration {
	wanted := time.Duration(links) * beatBytes * time.Second / beatBudget
	return min(max(wanted, minInterval), maxInterval)
}

// listInterval returns how often a list of that many rows is to be read. A long
// list is read seldom: what leaves or fails is heard of from agents and links, so
// only new VMs wait for it.
func listInterval(rows int) time.Duration {
	wanted := time.Duration(rows) * rowBytes * time.Second / listBudget
	return min(max(wanted, minListInterval), maxListInterval)
}

// subset returns the addresses of the agents that an entry links to, by
// rendezvous hashing within each pool. Each agent is chosen by about as many
// entries as any other, and a change of the list moves few links.
func subset(
	process string,
	agents map[carawaybeam.Address]carawaybeam.VM,
	size, whole int,
) map[carawaybeam.Address]bool {
	type scored struct {
		address carawaybeam.Address
		score   uint64
	}
	pools := make(map[carawaybeam.PoolID][]scored)
	for address, vm := range agents {
		score := xxhash.Sum64String(process + "\x00" + string(address))
		pools[vm.Pool] = append(pools[vm.Pool], scored{address: address, score: score})
	}
	chosen := make(map[carawaybeam.Address]bool)
	for _, pool := range pools {
		wanted := size
		if len(pool) <= whole {
			wanted = len(pool)
		}
		slices.SortFunc(pool, func(a, b scored) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.address, b.address))
		})
		for _, s := range pool[:min(wanted, len(pool))] {
			chosen[s.address] = true
		}
	}
	return chosen
}

// agentsOf returns the listed agents by address. Of two rows with one address,
// such as a VM and the one that replaced it, the live one counts.
func agentsOf(vms []carawaybeam.VM) map[carawaybeam.Address]carawaybeam.VM {
	agents := make(map[carawaybeam.Address]carawaybeam.VM)
	for _, vm := range vms {
		if vm.Role != carawaybeam.RoleAgent {
			continue
		}
		if known, ok := agents[vm.Address]; ok && known.State == carawaybeam.VMLive {
			continue
		}
		agents[vm.Address] = vm
	}
	return agents
}
