// Package stepper is a stand-in for a group of ranks that run in lock-step. It
// records the map of each rank in each step, and stalls and restarts ranks on
// order. It serves tests and the demo only.
package stepper

import (
	"slices"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/mapper"
)

const (
	// popularSteps is how long an expert is popular.
	popularSteps = 100

	// popularLoad is the load of a popular expert, where 1 is usual.
	popularLoad = 20
)

type (
	// Options is what a Stepper is made from.
	Options struct {
		Ranks int
		// StepTime is the time of one step.
		StepTime time.Duration
		// CheckFencing makes ranks refuse grants of an older epoch.
		CheckFencing bool
		// Record keeps the map of each rank in each step.
		Record bool
		// Layers and Experts are the size of the loads.
		Layers, Experts int
	}

	// Counts tells what the group did.
	Counts struct {
		// Steps is the last step that all ranks entered.
		Steps carawaybeam.Step
		// MapMismatches counts the ranks that used another map than the first rank in
		// their step.
		MapMismatches int
		// Reverts counts the ranks that went back to an earlier map.
		Reverts int
		// Held counts the times that a rank was ready and had no grant.
		Held int
		// Switches counts the changes of the map from one step to the next.
		Switches int
		// Refused counts the grants refused for their epoch.
		Refused int
	}

	// Stepper is the group. Its methods may be used by several goroutines at
	// once.
	Stepper struct {
		options Options
		stop    chan struct{}
		wait    sync.WaitGroup

		mu    sync.Mutex
		ranks []rank
		// lead is the map of the newest step, which the first rank to enter it
		// chose, and before is that of the step before.
		lead    mapper.Assignment
		newest  carawaybeam.Step
		figures Counts
		history []StepRecord
	}

	// StepRecord tells that a rank entered a step on a map.
	StepRecord struct {
		Rank    carawaybeam.Rank       `json:"rank"`
		Step    carawaybeam.Step       `json:"step"`
		Version carawaybeam.MapVersion `json:"version"`
		Epoch   carawaybeam.Epoch      `json:"epoch"`
	}

	// History is what the ranks did since the start.
	History struct {
		// Held counts the times that a rank was ready and had no grant.
		Held int `json:"held"`
		// Steps holds the maps of the ranks in the order of their steps. It is
		// empty unless the group records them.
		Steps []StepRecord `json:"steps"`
	}

	rank struct {
		step  carawaybeam.Step
		grant mapper.Grant
		last  mapper.Assignment
		// stalledUntil is when the rank goes on.
		stalledUntil time.Time
	}
)

// New returns a Stepper that steps until Close.
func New(options Options) *Stepper {
	s := &Stepper{options: options, stop: make(chan struct{}), ranks: make([]rank, options.Ranks)}
	s.wait.Go(s.run)
	return s
}

// Close stops the group and waits for it.
func (s *Stepper) Close() error {
	close(s.stop)
	s.wait.Wait()
	return nil
}

// SetGrant gives a rank a grant. A rank that does not check fencing numbers takes
// any, also one that has been overtaken by a later one. SetGrant tells whether the
// rank took it.
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

// Report returns what the rank tells of itself.
func (s *Stepper) Report(n carawaybeam.Rank) mapper.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return mapper.Report{Step: s.ranks[n].step, Grant: s.ranks[n].grant}
}

// Restart makes a rank forget its grant. It joins again in the step it was in.
func (s *Stepper) Restart(n carawaybeam.Rank) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ranks[n].grant = mapper.Grant{}
}

// Stall stops a rank for the given time.
func (s *Stepper) Stall(n carawaybeam.Rank, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ranks[n].stalledUntil = time.Now().Add(d)
}

// Counts returns the figures so far.
func (s *Stepper) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.figures
}

// History returns what the ranks did since the start.
func (s *Stepper) History() History {
	s.mu.Lock()
	defer s.mu.Unlock()
	return History{Held: s.figures.Held, Steps: slices.Clone(s.history)}
}

// Loads returns loads in which another expert of each layer is popular after
// every 100 steps.
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

// advance lets every rank that no other one is behind enter its next step.
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

// enter takes a rank into its next step and compares its map.
func (s *Stepper) enter(r *rank) {
	r.step++
	assignment := r.grant.Schedule.At(r.step)
	if r.step > s.newest {
		if assignment != s.lead && r.step > 1 {
			s.figures.Switches++
		}
		s.newest = r.step
		s.lead = assignment
	} else if assignment != s.lead {
		s.figures.MapMismatches++
	}
	if assignment.ID.Less(r.last.ID) {
		s.figures.Reverts++
	}
	r.last = assignment
}

// record notes the map with which a rank entered its step.
func (s *Stepper) record(n carawaybeam.Rank) {
	if !s.options.Record {
		return
	}
	r := &s.ranks[n]
	s.history = append(s.history, StepRecord{Rank: n, Step: r.step, Version: r.last.ID.Version, Epoch: r.last.ID.Epoch})
}
