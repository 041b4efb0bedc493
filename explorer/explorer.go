// Package explorer visits every state that the agents of a small group can
// reach, and looks for a step in which two ranks use different maps. It drives
// the real mapper.
//
// Messages between two agents arrive in order, those of different pairs in every
// order. A bounded number of them is doubled, or delayed at will, which includes
// their loss. What a restarted agent had sent is delayed at will too. Any grant
// ever given may reach its rank at any time, any number of times or never, so
// the ranks behave like engines that ignore fencing numbers and may restart at
// any moment. Proposals reach each incarnation at any time or never, as from
// controllers that are killed, paused, or several at once. Agents send again what
// may be lost when nothing is under way.
package explorer

import (
	"fmt"
	"hash/maphash"
	"math/rand/v2"
	"sync"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/mapper"
)

// maxWalk bounds the events of one random walk.
const maxWalk = 400

type (
	// Options bounds an exploration.
	Options struct {
		// Ranks is the number of ranks.
		Ranks int
		// Proposals are those of all controllers.
		Proposals []mapper.Assignment
		// Steps is the last step that a rank enters.
		Steps carawaybeam.Step
		// Lookahead is how many steps ahead the agents grant.
		Lookahead carawaybeam.Step
		// Restarts bounds how often each agent restarts, by rank.
		Restarts []int
		// TotalRestarts bounds the restarts of all agents together.
		TotalRestarts int
		// Faults bounds how many messages are doubled, delayed or lost. Those
		// of an agent that restarts are delayed or lost without being counted.
		Faults int
		// Workers is the number of goroutines.
		Workers int
		// MaxStates ends the exploration early, unless it is 0.
		MaxStates int
		// CheckProgress is the reciprocal of the share of states that are checked
		// for progress without further faults, or 0 for none.
		CheckProgress int
	}

	// Result is what an exploration found.
	Result struct {
		// States counts the distinct states visited.
		States int
		// Complete tells that no further state can be reached.
		Complete bool
		// Commits counts the visited states in which a rank uses a proposed
		// map. It is 0 when the bounds leave no room for a switch.
		Commits int
		// ProgressChecks counts the states checked for progress.
		ProgressChecks int
		// Violation describes the first violation, or is empty.
		Violation string
		// Path lists the events that lead to the violation.
		Path []string
	}

	// Explorer visits states, the newest first, with several goroutines.
	Explorer struct {
		options Options
		seed    maphash.Seed
		wait    sync.WaitGroup

		mu      sync.Mutex
		changed *sync.Cond
		visited map[uint64]struct{}
		stack   []*state
		// busy counts the goroutines that hold a state.
		busy   int
		result Result
	}
)

// New returns an Explorer that has visited nothing.
func New(options Options) *Explorer {
	e := &Explorer{options: options, seed: maphash.MakeSeed(), visited: make(map[uint64]struct{})}
	e.changed = sync.NewCond(&e.mu)
	return e
}

// Run visits all states until the bounds or the first violation.
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

// Walk follows random events from the start to the end of a group, once for each
// seed from 1, and reaches deeper bounds than Run.
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
			e.result.Path = s.trail.path()
			return
		}
	}
	if s.switched() {
		e.result.Commits++
	}
	e.result.ProgressChecks++
	if stuck := s.progress(); stuck != "" {
		e.result.Violation = stuck
		e.result.Path = s.trail.path()
	}
}

func (e *Explorer) full() bool {
	return e.options.MaxStates > 0 && len(e.visited) >= e.options.MaxStates
}

// work visits states until none is left.
func (e *Explorer) work() {
	for {
		s, check := e.take()
		if s == nil {
			return
		}
		var found []*state
		if check {
			if stuck := s.progress(); stuck != "" {
				failed := s.clone()
				failed.violation = stuck
				found = append(found, failed)
			}
		}
		s.successors(func(next *state) { found = append(found, next) })
		e.put(found)
	}
}

// take waits for a state to visit. It returns nil when there are no more.
func (e *Explorer) take() (s *state, check bool) {
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

// put adds the states that followed from one.
func (e *Explorer) put(found []*state) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy--
	defer e.changed.Broadcast()
	for _, s := range found {
		if s.violation != "" && e.result.Violation == "" {
			e.result.Violation = s.violation
			e.result.Path = s.trail.path()
		}
		k := s.key()
		if _, seen := e.visited[k]; !seen {
			e.visited[k] = struct{}{}
			e.stack = append(e.stack, s)
		}
	}
}

// String describes the result in one line.
func (r Result) String() string {
	text := fmt.Sprintf("states %d complete %t commits %d progress checks %d",
		r.States, r.Complete, r.Commits, r.ProgressChecks)
	if r.Violation != "" {
		text += " violation: " + r.Violation
	}
	return text
}
