package main

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/administrator"
	"github.com/carawaybeam/carawaybeam/assessor"
	"github.com/carawaybeam/carawaybeam/quarantiner"
	"github.com/carawaybeam/carawaybeam/recorder"
)

func TestPartOfStateDumpHoldsTargets(t *testing.T) {
	is := is.New(t)
	e := &entry{assessor: assessor.New(), quarantiner: quarantiner.New(quarantiner.Complete)}
	e.quarantiner.Add("request", "crash-1")
	e.quarantiner.Add("request", "crash-2")
	class := carawaybeam.Class{ID: "drafting", Targets: carawaybeam.Targets{Completion: 0.999}}
	e.assessor.Assess(time.Now(), class, assessor.Result{})
	options := e.dumpOptions()
	options.Ready = func() bool { return true }
	data, err := e.dumpPart(options, administrator.PartTargets)
	is.NoErr(err)
	var dump struct {
		Ready bool                       `json:"ready"`
		State administrator.EntryTargets `json:"state"`
	}
	is.NoErr(json.Unmarshal(data, &dump))
	is.Equal(dump.State.QuarantinedRequests, 1)
	is.Equal(len(dump.State.Targets), 1)
	is.Equal(dump.State.Targets[0].Standing, assessor.StandingMissed)
	is.Equal(dump.State.Targets[0].Completion, 0.999)
}

func TestPartOfStateDumpExplainsRequest(t *testing.T) {
	is := is.New(t)
	e := &entry{recorder: recorder.New(recorder.Options{Process: "entry-1"})}
	e.recorder.Ended("r1", "drafting", "town", nil)
	options := e.dumpOptions()
	options.Ready = func() bool { return true }
	for request, known := range map[string]bool{"r1": true, "r2": false} {
		data, err := e.dumpPart(options, administrator.PartExplanation+request)
		is.NoErr(err)
		var dump struct {
			State *recorder.Explanation `json:"state"`
		}
		is.NoErr(json.Unmarshal(data, &dump))
		is.Equal(dump.State != nil, known)
	}
}
