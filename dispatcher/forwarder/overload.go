package forwarder

import (
	"time"

	"github.com/carawaybeam/carawaybeam"
)

// Overload decides which new requests an overloaded process refuses. Implementations do not allocate.
type Overload interface {
	// Admit reports whether to admit a new request. A lower priority is more urgent. A client
	// that is refused may come back after retryAfter.
	Admit(priority int) (admitted bool, retryAfter time.Duration)
}

// overloadError returns the error of a request that is refused because the process is overloaded, or nil.
func (f *Forwarder) overloadError(p *pendingRequest) *carawaybeam.RequestError {
	if f.options.Overload == nil {
		return nil
	}
	admitted, retryAfter := f.options.Overload.Admit(p.priority)
	if admitted {
		return nil
	}
	return carawaybeam.NotRun(carawaybeam.ReasonBusy, "entry is overloaded", retryAfter)
}
