// Package explorer is a model checker for the switch of expert maps. It visits
// every state that the agents of a small group can reach and searches for a
// step in which two ranks use different maps. It runs the code of package
// mapper itself.
//
// Messages between two agents arrive in order, those of different pairs in any
// order. A bounded number of messages is duplicated, or delayed for any time,
// which includes their loss. Messages of an agent that has restarted since are
// also delayed for any time. Each grant may reach its rank at any time, any
// number of times or never, so the ranks behave like engines that ignore
// fencing tokens and may restart at any moment. Proposals reach each
// incarnation at any time or never, as from controllers that are killed, paused
// or running at the same time. Agents repeat messages that may have been lost
// once nothing is in flight.
package explorer

import (
	"fmt"
	"hash/maphash"
	"math/rand/v2"
	"sync"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/mapper"
)

// maxWalk is the maximum number of events of one random walk.
const maxWalk = 400

type (
	// Options configures and bounds an exploration.
	Options struct {
		// Ranks is the number of ranks.
		Ranks int
		// Proposals are the proposals of all controllers.
		Proposals []mapper.Assignment
		// Steps is the last step that a rank enters.
		Steps carawaybeam.Step
		// Lookahead is how many steps ahead the agents grant.
		Lookahead carawaybeam.Step
		// Restarts is the maximum number of restarts of each agent, by rank.
		Restarts []int
		// TotalRestarts is the maximum number of restarts of all agents together.
		TotalRestarts int
		// Faults is the maximum number of messages that are duplicated, delayed or
		// lost. Those of an agent that restarts are delayed or lost without being
		// counted.
		Faults int
		// Workers is the number of goroutines.
		Workers int
		// MaxStates is the number of visited states at which the exploration
		// ends early, or 0 for no limit.
		MaxStates int
		// CheckProgress is the reciprocal of the fraction of states from which
		// the group is checked for progress without further faults, or 0 for no
		// checks.
		CheckProgress int
	}

	// Result is the result of an exploration.
	Result struct {
		// States counts the distinct states visited.
		States int
		// Complete is set when all reachable states were visited without a
		// violation.
		Complete bool
		// Commits is the number of visited states in which a rank uses a
		// proposed map. If it is 0, the bounds leave no room for a switch.
		Commits int
		// ProgressChecks is the number of states checked for progress.
		ProgressChecks int
		// Violation describes the first violation, or is empty.
		Violation string
		// Path lists the events that lead to the violation.
		Path []string
	}

	// Explorer visits states depth first, with several goroutines.
	Explorer struct {
		options Options
		seed    maphash.Seed
		wait    sync.WaitGroup

		mu      sync.Mutex
		changed *sync.Cond
		visited map[uint64]struct{}
		stack   []*state
		// busy is the number of goroutines that process a state.
		busy   int
		result Result
	}
)

// New returns an Explorer that has visited no state.
func New(options Options) *Explorer {
	e := &Explorer{options: options, seed: maphash.MakeSeed(), visited: make(map[uint64]struct{})}
	e.changed = sync.NewCond(&e.mu)
	return e
}

// Run visits all states until a bound is reached or a violation is found.
func (e *Explorer) Run() Result {
	start := newState(e.options, e.seed)
	e.visited[start.key()] = struct{}{}
	e.stack = append(e.stack, start)
	for range max(1, e.options.Workers) {
		e.wait.Go(e.work)
	}
	e.wait.Wait()
	e.result.Complete = e.result.Violation == "" && !e.full()
	e.result.States = len(e.visited)
	return e.result
}

// Walk makes random walks from the initial state, with the seeds from 1 to
// walks, and ends at the first violation. It gets deeper than Run can.
func (e *Explorer) Walk(walks int) Result {
	start := newState(e.options, e.seed)
	for seed := range walks {
		random := rand.New(rand.NewPCG(uint64(seed)+1, 0))
		e.walk(start, random)
		if e.result.Violation != "" {
			break
		}
	}
	e.result.States = len(e.visited)
	return e.result
}

func (e *Explorer) walk(s *state, random *rand.Rand) {
	for range maxWalk {
		var found []*state
		s.successors(func(next *state) { found = append(found, next) })
		if len(found) == 0 {
			break
		}
		s = found[random.IntN(len(found))]
		e.visited[s.key()] = struct{}{}
		if s.violation != "" {
			e.result.Violation = s.violation
			e.result.Path = s.history.path()
			return
		}
	}
	if s.switched() {
		e.result.Commits++
	}
	e.result.ProgressChecks++
	if stuck := s.checkProgress(); stuck != "" {
		e.result.Violation = stuck
		e.result.Path = s.history.path()
	}
}

func (e *Explorer) full() bool {
	return e.options.MaxStates > 0 && len(e.visited) >= e.options.MaxStates
}

// work visits states until none is left.
func (e *Explorer) work() {
	for {
		s, check := e.pop()
		if s == nil {
			return
		}
		var found []*state
		if check {
			if stuck := s.checkProgress(); stuck != "" {
				failed := s.clone()
				failed.violation = stuck
				found = append(found, failed)
			}
		}
		s.successors(func(next *state) { found = append(found, next) })
		e.push(found)
	}
}

// pop waits for a state to visit and reports whether to check it for progress.
// It returns nil when the exploration ends.
func (e *Explorer) pop() (s *state, check bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.stack) == 0 && e.busy > 0 {
		e.changed.Wait()
	}
	if len(e.stack) == 0 || e.result.Violation != "" || e.full() {
		e.changed.Broadcast()
		return nil, false
	}
	s = e.stack[len(e.stack)-1]
	e.stack = e.stack[:len(e.stack)-1]
	e.busy++
	if s.switched() {
		e.result.Commits++
	}
	check = e.options.CheckProgress > 0 && s.key()%uint64(e.options.CheckProgress) == 0
	if check {
		e.result.ProgressChecks++
	}
	return s, check
}

// push adds the states that follow from the state returned by pop.
func (e *Explorer) push(found []*state) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy--
	defer e.changed.Broadcast()
	for _, s := range found {
		if s.violation != "" && e.result.Violation == "" {
			e.result.Violation = s.violation
			e.result.Path = s.history.path()
		}
		k := s.key()
		if _, known := e.visited[k]; !known {
			e.visited[k] = struct{}{}
			e.stack = append(e.stack, s)
		}
	}
}

// String returns the result as one line.
func (r Result) String() string {
	text := fmt.Sprintf("states %d complete %t commits %d progress checks %d",
		r.States, r.Complete, r.Commits, r.ProgressChecks)
	if r.Violation != "" {
		text += " violation: " + r.Violation
	}
	return text
}
