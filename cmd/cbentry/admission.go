package main

import (
	"strconv"

	"github.com/uber-go/tally/v4"

	"github.com/carawaybeam/carawaybeam/dispatcher/forwarder"
	"github.com/carawaybeam/carawaybeam/limiter/precedence"
)

// admission returns what the limiter learns of requests.
func (e *directEntry) admission() forwarder.Admission {
	_, weighs := e.limiter.(*precedence.Limiter)
	return forwarder.Admission{Precedence: weighs, Completion: e.settings.Admission.Completion}
}

// setAdmissionGauges sets the numbers of requests that the limiter has admitted and refused.
func (e *directEntry) setAdmissionGauges(scope tally.Scope) {
	limiter, ok := e.limiter.(*precedence.Limiter)
	if !ok {
		return
	}
	for _, count := range limiter.Counts() {
		tags := map[string]string{"priority": strconv.Itoa(count.Priority)}
		name := "requests_admitted"
		if count.Reason != "" {
			name, tags["reason"] = "requests_refused", string(count.Reason)
		}
		scope.Tagged(tags).Gauge(name).Update(float64(count.Requests))
	}
}
