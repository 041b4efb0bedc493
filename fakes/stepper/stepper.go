// Package stepper is a stand-in for a group of ranks that run in lock-step. It
// records the map that each rank uses in each step, and can stall and restart
// ranks. It is for tests and the demo only.
package stepper

import (
	"slices"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/mapper"
)

const (
	// popularSteps is the number of steps for which an expert is popular.
	popularSteps = 100

	// popularLoad is the load of a popular expert. That of other experts is 1.
	popularLoad = 20
)

type (
	// Options configures a Stepper.
	Options struct {
		Ranks int
		// StepTime is the duration of one step.
		StepTime time.Duration
		// CheckFencing makes ranks refuse grants of an epoch older than that of
		// their current grant.
		CheckFencing bool
		// Record enables recording the map that each rank uses in each step.
		Record bool
		// Layers and Experts are the dimensions of the loads.
		Layers, Experts int
	}

	// Counts counts what the group has done.
	Counts struct {
		// Steps is the last step that all ranks have entered.
		Steps carawaybeam.Step
		// MapMismatches counts the times that a rank entered a step with
		// another map than the first rank to enter it.
		MapMismatches int
		// Reverts counts the times that a rank changed back to an earlier map.
		Reverts int
		// Held counts the times that a rank was ready and had no grant.
		Held int
		// Switches counts the changes of the map from one step to the next.
		Switches int
		// Refused counts the grants refused because of their epoch.
		Refused int
	}

	// Stepper is the group. Its methods are safe for concurrent use.
	Stepper struct {
		options Options
		stop    chan struct{}
		wait    sync.WaitGroup

		mu    sync.Mutex
		ranks []rank
		// leadMap is the map used by the first rank that entered the newest
		// step.
		leadMap mapper.Assignment
		newest  carawaybeam.Step
		figures Counts
		history []StepRecord
	}

	// StepRecord records that a rank entered a step with a map.
	StepRecord struct {
		Rank    carawaybeam.Rank       `json:"rank"`
		Step    carawaybeam.Step       `json:"step"`
		Version carawaybeam.MapVersion `json:"version"`
		Epoch   carawaybeam.Epoch      `json:"epoch"`
	}

	// History holds what the ranks have done since the start.
	History struct {
		// Held counts the times that a rank was ready and had no grant.
		Held int `json:"held"`
		// Steps holds a record for each rank and step, in the order in which
		// they were entered. It is empty unless Options.Record is set.
		Steps []StepRecord `json:"steps"`
	}

	rank struct {
		step  carawaybeam.Step
		grant mapper.Grant
		last  mapper.Assignment
		// stalledUntil is the time until which the rank enters no step.
		stalledUntil time.Time
	}
)

// New starts a Stepper, which runs steps until Close.
func New(options Options) *Stepper {
	s := &Stepper{options: options, stop: make(chan struct{}), ranks: make([]rank, options.Ranks)}
	s.wait.Go(s.run)
	return s
}

// Close stops the group and waits for it to end.
func (s *Stepper) Close() error {
	close(s.stop)
	s.wait.Wait()
	return nil
}

// SetGrant gives a rank a grant and reports whether the rank accepted it. A
// rank that does not check fencing tokens accepts every grant, also one of an
// older epoch.
func (s *Stepper) SetGrant(n carawaybeam.Rank, grant mapper.Grant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &s.ranks[n]
	if s.options.CheckFencing && grant.Schedule.Current.ID.Epoch < r.grant.Schedule.Current.ID.Epoch {
		s.figures.Refused++
		return false
	}
	r.grant = grant
	return true
}

// Report returns the current step and grant of a rank.
func (s *Stepper) Report(n carawaybeam.Rank) mapper.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return mapper.Report{Step: s.ranks[n].step, Grant: s.ranks[n].grant}
}

// Restart clears the grant of a rank, as a restart does. The rank stays in its
// step.
func (s *Stepper) Restart(n carawaybeam.Rank) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ranks[n].grant = mapper.Grant{}
}

// Stall keeps a rank in its step for the given time.
func (s *Stepper) Stall(n carawaybeam.Rank, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ranks[n].stalledUntil = time.Now().Add(d)
}

// Counts returns the counts since the start.
func (s *Stepper) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.figures
}

// History returns what the ranks have done since the start.
func (s *Stepper) History() History {
	s.mu.Lock()
	defer s.mu.Unlock()
	return History{Held: s.figures.Held, Steps: slices.Clone(s.history)}
}

// Loads returns loads with one popular expert in each layer. Another expert
// becomes popular every 100 steps.
func (s *Stepper) Loads() []carawaybeam.LayerLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	popular := int(s.newest / popularSteps)
	loads := make([]carawaybeam.LayerLoad, s.options.Layers)
	for i := range loads {
		loads[i] = make(carawaybeam.LayerLoad, s.options.Experts)
		for e := range loads[i] {
			loads[i][e] = 1
		}
		loads[i][(popular+i)%s.options.Experts] = popularLoad
	}
	return loads
}

func (s *Stepper) run() {
	ticker := time.NewTicker(s.options.StepTime)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.advance()
		case <-s.stop:
			return
		}
	}
}

// advance makes the ranks that are in the oldest step enter the next one,
// unless they are stalled or have no grant for it.
func (s *Stepper) advance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := s.ranks[0].step
	for i := range s.ranks {
		oldest = min(oldest, s.ranks[i].step)
	}
	s.figures.Steps = oldest
	now := time.Now()
	for i := range s.ranks {
		r := &s.ranks[i]
		if r.step > oldest || now.Before(r.stalledUntil) {
			continue
		}
		if r.grant.Through <= r.step {
			s.figures.Held++
			continue
		}
		s.enter(r)
		s.record(carawaybeam.Rank(i))
	}
}

// enter moves a rank to its next step and compares its map with that of the
// first rank in the step and with its own previous one.
func (s *Stepper) enter(r *rank) {
	r.step++
	assignment := r.grant.Schedule.At(r.step)
	if r.step > s.newest {
		if assignment != s.leadMap && r.step > 1 {
			s.figures.Switches++
		}
		s.newest = r.step
		s.leadMap = assignment
	} else if assignment != s.leadMap {
		s.figures.MapMismatches++
	}
	if assignment.ID.Less(r.last.ID) {
		s.figures.Reverts++
	}
	r.last = assignment
}

// record records the map with which a rank entered its step.
func (s *Stepper) record(n carawaybeam.Rank) {
	if !s.options.Record {
		return
	}
	r := &s.ranks[n]
	s.history = append(s.history, StepRecord{Rank: n, Step: r.step, Version: r.last.ID.Version, Epoch: r.last.ID.Epoch})
}
