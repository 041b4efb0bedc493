// Package unlimited is the limiter "unlimited", which admits every request. It
// serves as a baseline for comparisons.
package unlimited

import (
	"time"

	"github.com/carawaybeam/carawaybeam"
)

// Limiter admits every request. The zero value is ready to use.
type Limiter struct{}

func init() {
	carawaybeam.Limiters.Register("unlimited", func() carawaybeam.Limiter { return Limiter{} })
}

// Admit admits the request.
func (Limiter) Admit(time.Time, carawaybeam.AdmitRequest) carawaybeam.AdmitDecision {
	return carawaybeam.AdmitDecision{Admitted: true}
}

// Release does nothing.
func (Limiter) Release(time.Time, carawaybeam.AdmitRequest, time.Duration) {}
