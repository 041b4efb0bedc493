package main

import (
	"strings"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/administrator"
	"github.com/carawaybeam/carawaybeam/dumper"
	"github.com/carawaybeam/carawaybeam/recorder"
)

// targets tells how the classes of work fared on this entry.
func (e *entry) targets() administrator.EntryTargets {
	return administrator.EntryTargets{
		Targets:             e.assessor.State(time.Now()),
		QuarantinedRequests: e.quarantiner.State().Quarantined,
	}
}

// explanation returns what is recorded of a request, or nil.
func (e *entry) explanation(request carawaybeam.RequestID) *recorder.Explanation {
	explanation, ok := e.recorder.Explain(request)
	if !ok {
		return nil
	}
	return &explanation
}

// dumpPart returns the part of the state dump that operators' questions need, or
// the whole one for other names.
func (e *entry) dumpPart(options dumper.Options, name string) ([]byte, error) {
	if name == administrator.PartTargets {
		options.State = func() any { return e.targets() }
	}
	if request, ok := strings.CutPrefix(name, administrator.PartExplanation); ok {
		options.State = func() any { return e.explanation(carawaybeam.RequestID(request)) }
	}
	return options.Dump()
}
