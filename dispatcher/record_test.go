package dispatcher_test

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/dispatcher"
	"github.com/carawaybeam/carawaybeam/fakes/assembler"
	"github.com/carawaybeam/carawaybeam/limiter/unlimited"
	"github.com/carawaybeam/carawaybeam/recorder"
	retrier "github.com/carawaybeam/carawaybeam/retrier/proof"
	"github.com/carawaybeam/carawaybeam/router/leastinflight"
)

// newRecorded returns a dispatcher with the components of the entry, whose
// decisions and attempts are recorded.
func newRecorded(e *assembler.Entry) (*dispatcher.Dispatcher, *recorder.Recorder) {
	r := recorder.New(recorder.Options{Process: "entry"})
	return dispatcher.New(dispatcher.Options{
		Members:        e.Tracker,
		Binder:         e.Binder,
		ConfigObserver: e.Configurer,
		Router:         r.Router(leastinflight.Router{}),
		Limiter:        r.Limiter(unlimited.Limiter{}),
		Retrier:        r.Retrier(retrier.Retrier{}),
		Recorder:       r,
		Log:            zerolog.Nop(),
	}), r
}

func TestAnsweredRequestIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, r := newRecorded(newSystem(t, 2).Entries[0])
		request := booking("b1", "")
		is.True(d.Do(t.Context(), request, &assembler.Answer{}) == nil)
		e, ok := r.Explain(request.ID)
		is.True(ok)
		is.True(e.Admission.Admitted)
		is.Equal(len(e.Routes), 1) // The decision made for admission is used for the first attempt.
		is.Equal(len(e.Attempts), 1)
		is.Equal(e.Attempts[0].Backend, e.Routes[0].Chosen)
		is.True(e.Attempts[0].Failure == nil)
		is.Equal(len(e.Retries), 0)
		is.True(e.Outcome != nil && e.Outcome.Failure == nil)
	})
}

func TestFailedAttemptsAreRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newSystem(t, 2)
		d, r := newRecorded(p.Entries[0])
		for _, s := range p.Slots {
			s.Backend.Crash()
		}
		request := booking("b1", "")
		failure := d.Do(t.Context(), request, &assembler.Answer{})
		is.True(failure != nil)
		e, ok := r.Explain(request.ID)
		is.True(ok)
		is.True(len(e.Attempts) > 1)
		for i, attempt := range e.Attempts {
			is.Equal(attempt.Attempt, i+1)
			is.Equal(attempt.Failure.Outcome, carawaybeam.OutcomeNotRun)
		}
		is.True(e.Attempts[0].Backend != e.Attempts[1].Backend)
		is.Equal(len(e.Retries), len(e.Attempts))
		is.True(!e.Retries[len(e.Retries)-1].Retry)
		is.Equal(e.Outcome.Failure.Reason, failure.Reason)
	})
}
