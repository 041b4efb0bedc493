package main

import (
	"github.com/carawaybeam/carawaybeam/replayer/queuer"
	"github.com/carawaybeam/carawaybeam/tracer"
)

type failureScenario struct {
	name, about string
	bounds      map[string]tracer.Bound
}

func (failureScenario) events(uint64) []queuer.Event { return nil }

func failureScenarios() []failureScenario { return nil }
