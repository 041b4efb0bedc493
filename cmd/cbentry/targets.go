package main

import (
	"time"

	"github.com/carawaybeam/carawaybeam/administrator"
	"github.com/carawaybeam/carawaybeam/dumper"
)

// targets tells how the classes of work fared on this entry.
func (e *entry) targets() administrator.EntryTargets {
	return administrator.EntryTargets{
		Targets:             e.assessor.State(time.Now()),
		QuarantinedRequests: e.quarantiner.State().Quarantined,
	}
}

// dumpPart returns the part of the state dump that operators' status needs, or
// the whole one for other names.
func (e *entry) dumpPart(options dumper.Options, name string) ([]byte, error) {
	if name == administrator.PartTargets {
		options.State = func() any { return e.targets() }
	}
	return options.Dump()
}
