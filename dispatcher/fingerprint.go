package dispatcher

import (
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/quarantiner"
)

// bodyHash returns a hash that differs between requests with the same
// idempotency key and different content.
func bodyHash(r Request) string {
	return quarantiner.NewFingerprint(r.Body, r.Method, r.Path, r.ContentType).String()
}

// fingerprint identifies the request in the quarantine of requests that crash
// backend servers.
func (r Request) fingerprint() quarantiner.Fingerprint {
	return quarantiner.NewFingerprint(
		r.Body, string(r.Class.ID), string(r.Organisation), r.Method, r.Path, r.ContentType,
	)
}

// quarantineError returns the error of a quarantined request. The outcome is
// that of its last attempt, or OutcomeNotRun if there was none.
func quarantineError(outcome carawaybeam.Outcome) *carawaybeam.RequestError {
	return &carawaybeam.RequestError{
		Outcome:    outcome,
		Reason:     carawaybeam.ReasonQuarantined,
		Detail:     "request was running in several crashes of backend servers",
		RetryAfter: quarantiner.RetryAfter.Round(time.Second),
	}
}
