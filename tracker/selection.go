package tracker

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// subsetSize is how many agents of a large pool an entry links to. It links
	// to all agents of a pool of at most maxFullPool.
	subsetSize  = 8
	maxFullPool = 32

	// absentRetention is how long an agent without a link is kept after it was
	// last on the platform's list.
	absentRetention = time.Minute

	// minReportInterval and maxReportInterval bound how often an agent reports
	// while nothing changes.
	minReportInterval = time.Second
	maxReportInterval = 30 * time.Second

	// reportBytes is the size of a report and its reply on the wire, including
	// the yamux, TCP and IP headers. reportBudget is how many bytes per second
	// all links together may use for them.
	reportBytes  = 320
	reportBudget = 2500

	// minListInterval and maxListInterval bound how often the platform's list
	// is read. rowBytes is the size of a row, listBudget how many bytes per
	// second reading the list may use.
	minListInterval = 2 * time.Second
	maxListInterval = 10 * time.Minute
	rowBytes        = 150
	listBudget      = 1500
)

// reportInterval returns the report interval for the given number of links. It
// keeps the reports on all links together within the budget.
func reportInterval(links int) time.Duration {
	wanted := time.Duration(links) * reportBytes * time.Second / reportBudget
	return min(max(wanted, minReportInterval), maxReportInterval)
}

// listInterval returns how often a list with the given number of rows is read.
// A long list is read seldom. Only new VMs have to wait for it, because agents
// and links show what leaves or fails.
func listInterval(rows int) time.Duration {
	wanted := time.Duration(rows) * rowBytes * time.Second / listBudget
	return min(max(wanted, minListInterval), maxListInterval)
}

// subset returns the addresses of the agents that an entry links to, by
// rendezvous hashing within each pool. Each agent is chosen by about the same
// number of entries, and a change of the list changes few links. In a pool of which
// only a part is linked, agents in evacuated data centres are replaced by others and
// stay linked, so that they are at hand after the evacuation.
func subset(
	process string,
	agents map[carawaybeam.Address]carawaybeam.VM,
	evacuated func(carawaybeam.DataCentre) bool,
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
		for _, s := range pool {
			if wanted == 0 {
				break
			}
			if !evacuated(agents[s.address].DataCentre) {
				chosen[s.address] = true
				wanted--
			}
		}
	}
	return chosen
}

// agentsOf returns the listed agents by address. If two rows have the same
// address, for example a VM and its replacement, the live one is used.
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
