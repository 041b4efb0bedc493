package administrator

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/assessor"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/replicator"
)

// PartTargets names the part of an entry's state dump that EntryTargets is.
const PartTargets = "targets"

// standingUnknown is the standing of a class of which no entry told.
const standingUnknown assessor.Standing = "unknown"

type (
	// EntryTargets tells how the classes of work fared on one entry.
	EntryTargets struct {
		Targets []assessor.ClassState `json:"targets"`
		// QuarantinedRequests counts the requests refused for good that the
		// entry knows of.
		QuarantinedRequests int `json:"quarantinedRequests"`
	}

	// TargetState tells how a class of work fared in one data centre.
	TargetState struct {
		Standing assessor.Standing `json:"standing"`
		// Since is when the standing began. For a missed class it is when the
		// first of the entries that miss it began to, otherwise when the last
		// entry came to the standing. It is nil when that is not known.
		Since *time.Time `json:"since,omitempty"`
		assessor.Counts
	}

	// place is a class in one data centre.
	place struct {
		class      carawaybeam.ClassID
		dataCentre carawaybeam.DataCentre
	}

	// fleetTargets is what the entries told.
	fleetTargets struct {
		mu    sync.Mutex
		heard map[carawaybeam.DataCentre]bool
		// states holds what was told of each class.
		states map[place][]assessor.ClassState
		// quarantined is the highest number of quarantined requests told.
		quarantined int
	}
)

// targets asks the entries how the classes fared.
func (a *Administrator) targets(ctx context.Context, vms []carawaybeam.VM) *fleetTargets {
	told := newFleetTargets()
	var group errgroup.Group
	group.SetLimit(maxQuestions)
	for _, vm := range vms {
		group.Go(func() error {
			if entry, err := a.askTargets(ctx, vm.Address); err == nil {
				told.add(vm.DataCentre, entry)
			}
			return nil
		})
	}
	_ = group.Wait()
	return told
}

func (a *Administrator) askTargets(ctx context.Context, address carawaybeam.Address) (EntryTargets, error) {
	question := &framer.Frame{Body: &framer.Frame_DumpRequest{DumpRequest: &framer.DumpRequest{Part: PartTargets}}}
	answer, err := replicator.Ask(ctx, a.options.Dialer, address, question)
	if err != nil {
		return EntryTargets{}, err
	}
	var dump struct {
		State EntryTargets `json:"state"`
	}
	err = json.Unmarshal(answer.GetDump().GetState(), &dump)
	return dump.State, err
}

func newFleetTargets() *fleetTargets {
	return &fleetTargets{
		heard:  make(map[carawaybeam.DataCentre]bool),
		states: make(map[place][]assessor.ClassState),
	}
}

// add takes what one entry told.
func (f *fleetTargets) add(dataCentre carawaybeam.DataCentre, entry EntryTargets) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard[dataCentre] = true
	f.quarantined = max(f.quarantined, entry.QuarantinedRequests)
	for _, state := range entry.Targets {
		at := place{class: state.Class, dataCentre: dataCentre}
		f.states[at] = append(f.states[at], state)
	}
}

// of tells how a class fared in one data centre, whose entries count together.
func (f *fleetTargets) of(class carawaybeam.Class, dataCentre carawaybeam.DataCentre) TargetState {
	if !f.heard[dataCentre] {
		return TargetState{Standing: standingUnknown}
	}
	var state TargetState
	entries := f.states[place{class: class.ID, dataCentre: dataCentre}]
	for i := range entries {
		state.Counts = state.Add(entries[i].Counts)
	}
	state.Standing = state.Counts.Standing(class.Targets.Completion)
	for i := range entries {
		if entries[i].Standing == state.Standing {
			state.note(entries[i].Since)
		}
	}
	return state
}

// note takes the time at which an entry came to the standing.
func (t *TargetState) note(since time.Time) {
	earlier := t.Since != nil && since.Before(*t.Since)
	if t.Since == nil || earlier == (t.Standing == assessor.StandingMissed) {
		t.Since = &since
	}
}
