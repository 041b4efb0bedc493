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

// PartTargets is the name of the part of an entry's state dump that contains its
// EntryTargets.
const PartTargets = "targets"

// standingUnknown is the standing of a class in a data centre none of whose entries
// answered.
const standingUnknown assessor.Standing = "unknown"

type (
	// EntryTargets holds how far the requests of each class on one entry met
	// their targets.
	EntryTargets struct {
		Targets []assessor.ClassState `json:"targets"`
		// QuarantinedRequests is the number of permanently refused requests
		// known to the entry.
		QuarantinedRequests int `json:"quarantinedRequests"`
	}

	// TargetState holds how far the requests of a class met their targets in one
	// data centre.
	TargetState struct {
		Standing assessor.Standing `json:"standing"`
		// Since is the time at which the standing began. If the target is
		// missed, it is the earliest such time of the entries that miss it;
		// otherwise it is the latest one of the entries with this standing. It
		// is nil if unknown.
		Since *time.Time `json:"since,omitempty"`
		assessor.Counts
	}

	// classInDataCentre is the key of a class in one data centre.
	classInDataCentre struct {
		class      carawaybeam.ClassID
		dataCentre carawaybeam.DataCentre
	}

	// targetReports collects the EntryTargets of all entries.
	targetReports struct {
		mu sync.Mutex
		// answered holds the data centres from which at least one entry answered.
		answered map[carawaybeam.DataCentre]bool
		// states holds the states that the entries reported.
		states map[classInDataCentre][]assessor.ClassState
		// quarantined is the highest reported number of quarantined requests.
		// Entries exchange their quarantined requests, so the numbers are not
		// added.
		quarantined int
	}
)

// fetchTargets asks all entries how far the classes met their targets. It leaves
// out entries that do not answer.
func (a *Administrator) fetchTargets(ctx context.Context, vms []carawaybeam.VM) *targetReports {
	reports := newTargetReports()
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for _, vm := range vms {
		group.Go(func() error {
			if entry, err := a.fetchEntryTargets(ctx, vm.Address); err == nil {
				reports.add(vm.DataCentre, entry)
			}
			return nil
		})
	}
	_ = group.Wait()
	return reports
}

func (a *Administrator) fetchEntryTargets(ctx context.Context, address carawaybeam.Address) (EntryTargets, error) {
	frame := &framer.Frame{Body: &framer.Frame_DumpRequest{DumpRequest: &framer.DumpRequest{Part: PartTargets}}}
	answer, err := replicator.Ask(ctx, a.options.Dialer, address, frame)
	if err != nil {
		return EntryTargets{}, err
	}
	var dump struct {
		State EntryTargets `json:"state"`
	}
	err = json.Unmarshal(answer.GetDump().GetState(), &dump)
	return dump.State, err
}

func newTargetReports() *targetReports {
	return &targetReports{
		answered: make(map[carawaybeam.DataCentre]bool),
		states:   make(map[classInDataCentre][]assessor.ClassState),
	}
}

// add adds the report of one entry.
func (f *targetReports) add(dataCentre carawaybeam.DataCentre, entry EntryTargets) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered[dataCentre] = true
	f.quarantined = max(f.quarantined, entry.QuarantinedRequests)
	for _, state := range entry.Targets {
		at := classInDataCentre{class: state.Class, dataCentre: dataCentre}
		f.states[at] = append(f.states[at], state)
	}
}

// of returns the state of a class in one data centre, computed from the total
// counts of all entries there.
func (f *targetReports) of(class carawaybeam.Class, dataCentre carawaybeam.DataCentre) TargetState {
	if !f.answered[dataCentre] {
		return TargetState{Standing: standingUnknown}
	}
	var state TargetState
	entries := f.states[classInDataCentre{class: class.ID, dataCentre: dataCentre}]
	for i := range entries {
		state.Counts = state.Add(entries[i].Counts)
	}
	state.Standing = state.Counts.Standing(class.Targets.Completion)
	for i := range entries {
		if entries[i].Standing == state.Standing {
			state.updateSince(entries[i].Since)
		}
	}
	return state
}

// updateSince includes the time since which one entry has had the standing.
func (t *TargetState) updateSince(since time.Time) {
	earlier := t.Since != nil && since.Before(*t.Since)
	if t.Since == nil || earlier == (t.Standing == assessor.StandingMissed) {
		t.Since = &since
	}
}
