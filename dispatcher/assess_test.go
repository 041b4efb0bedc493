package dispatcher_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/assessor"
	"github.com/carawaybeam/carawaybeam/dispatcher"
	"github.com/carawaybeam/carawaybeam/fakes/assembler"
)

func TestRequestsAreMeasured(t *testing.T) {
	slow := carawaybeam.Targets{Completed: time.Minute, Completion: 1}
	tests := []struct {
		name         string
		targets      carawaybeam.Targets
		disconnectAt time.Duration
		kill         bool
		counts       assessor.Counts
	}{
		{name: "in time", targets: slow, counts: assessor.Counts{Requests: 1, Met: 1}},
		{
			name:    "late",
			targets: carawaybeam.Targets{Completed: 50 * time.Millisecond, Completion: 1},
			counts:  assessor.Counts{Requests: 1},
		},
		{name: "caller disconnects early", targets: slow, disconnectAt: 50 * time.Millisecond},
		{
			name:         "caller disconnects late",
			targets:      carawaybeam.Targets{Completed: 50 * time.Millisecond, Completion: 1},
			disconnectAt: 150 * time.Millisecond,
			counts:       assessor.Counts{Requests: 1},
		},
		{name: "no backend server", targets: slow, kill: true, counts: assessor.Counts{Requests: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newSystem(t, 1)
				if test.kill {
					is.NoErr(p.KillAgent(0))
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if test.disconnectAt > 0 {
					time.AfterFunc(test.disconnectAt, cancel)
				}
				request := booking("b1", "")
				request.Class.Targets = test.targets
				_ = p.Entries[0].Dispatcher.Do(ctx, request, &assembler.Answer{})
				states := p.Entries[0].Assessor.State(time.Now())
				var counts assessor.Counts
				for i := range states {
					is.Equal(states[i].Class, request.Class.ID)
					counts = counts.Add(states[i].Counts)
				}
				is.Equal(counts, test.counts)
			})
		})
	}
}

func TestFirstTokenIsMeasured(t *testing.T) {
	// The first part of the answer takes at least 100 ms.
	for target, met := range map[time.Duration]int{50 * time.Millisecond: 0, 10 * time.Second: 1} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			p := newSystem(t, 1)
			request := streamed()
			request.Class.Targets.FirstToken = target
			is.True(p.Entries[0].Dispatcher.Do(t.Context(), request, &assembler.Answer{}) == nil)
			is.Equal(p.Entries[0].Assessor.State(time.Now())[0].Counts, assessor.Counts{Requests: 1, Met: met})
		})
	}
}

// streamed returns a request to a model for a streamed answer.
func streamed() dispatcher.Request {
	request := booking(`{"stream":true}`, "")
	request.Class.Kind = carawaybeam.WorkModel
	request.Class.Targets = carawaybeam.Targets{Completed: time.Minute, Completion: 1}
	return request
}
