package main

import (
	"strings"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/administrator"
	"github.com/carawaybeam/carawaybeam/dumper"
	"github.com/carawaybeam/carawaybeam/recorder"
)

// targets returns how the requests of this entry met the targets of their classes of
// work.
func (e *entry) targets() administrator.EntryTargets {
	return administrator.EntryTargets{
		Targets:             e.assessor.State(time.Now()),
		QuarantinedRequests: e.quarantiner.State().Quarantined,
	}
}

// explanation returns the recorded explanation of a request, or nil if there is none.
func (e *entry) explanation(request carawaybeam.RequestID) *recorder.Explanation {
	explanation, ok := e.recorder.Explain(request)
	if !ok {
		return nil
	}
	return &explanation
}

// dumpPart returns the named part of the state dump, or the whole dump if there is no
// part of that name.
func (e *entry) dumpPart(options dumper.Options, name string) ([]byte, error) {
	if name == administrator.PartTargets {
		options.State = func() any { return e.targets() }
	}
	if request, ok := strings.CutPrefix(name, administrator.PartExplanation); ok {
		options.State = func() any { return e.explanation(carawaybeam.RequestID(request)) }
	}
	return options.Dump()
}
