package dispatcher

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/quarantiner"
)

// fingerprintBytes is the length to which hash truncates a hash.
const fingerprintBytes = 16

// hash returns a hash of the parts and of the request's method, path, content
// type and body.
func (r Request) hash(parts ...string) []byte {
	h := sha256.New()
	for _, part := range append(parts, r.Method, r.Path, r.ContentType) {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(r.Body)
	return h.Sum(nil)[:fingerprintBytes]
}

// bodyHash returns a hash that differs between requests with the same
// idempotency key and different content.
func bodyHash(r Request) string { return hex.EncodeToString(r.hash()) }

// fingerprint identifies the request in the quarantine of requests that crash
// backend servers.
func (r Request) fingerprint() quarantiner.Fingerprint {
	return quarantiner.Fingerprint(r.hash(string(r.Class.ID), string(r.Organisation)))
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
