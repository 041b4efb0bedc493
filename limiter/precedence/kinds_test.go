package precedence_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/limiter/precedence"
)

// TestResponsesDoNotDisplaceKinds guards against the response to a request of a forgotten priority displacing one
// that is in use, whose reservation would be lost. Responses of model engines must not change any decision.
func TestResponsesDoNotDisplaceKinds(t *testing.T) {
	for _, engine := range []*carawaybeam.EngineProfile{nil, {}} {
		is := is.New(t)
		limiter := precedence.New()
		request := carawaybeam.AdmitRequest{
			Class:      carawaybeam.Class{Pool: "desk"},
			Idle:       true,
			Contention: carawaybeam.Contention{Several: true, Engine: engine},
		}
		priorities := func() (known []int) {
			for _, k := range limiter.State().(precedence.State).Pools[0].Kinds {
				known = append(known, k.Priority)
			}
			return known
		}
		for i := range 17 { // One more than are told apart.
			request.Priority = i
			limiter.Admit(at(time.Duration(i)*time.Second), request)
		}
		before := priorities()
		is.Equal(len(before), 16)
		request.Priority = 0
		limiter.Release(at(20*time.Second), request, time.Second)
		is.Equal(priorities(), before)

		// A response does not count as a use either.
		request.Priority = 1
		limiter.Release(at(21*time.Second), request, time.Second)
		request.Priority = 17
		limiter.Admit(at(22*time.Second), request)
		is.Equal(priorities()[0], 2)
	}
}
