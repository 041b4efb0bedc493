package dispatcher

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/quarantiner"
)

// fingerprintBytes is the length of the hash that identifies a request.
const fingerprintBytes = 16

// hash returns a hash of the parts and the request's content.
func (r Request) hash(parts ...string) []byte {
	h := sha256.New()
	for _, part := range append(parts, r.Method, r.Path, r.ContentType) {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(r.Body)
	return h.Sum(nil)[:fingerprintBytes]
}

// bodyHash tells requests with one key but other content apart.
func bodyHash(r Request) string { return hex.EncodeToString(r.hash()) }

// fingerprint identifies the request among all that may crash a backend server.
func (r Request) fingerprint() quarantiner.Fingerprint {
	return quarantiner.Fingerprint(r.hash(string(r.Class.ID), string(r.Organisation)))
}

// quarantined refuses a request for good. The outcome is that of its last try,
// or notRun if there was none.
func quarantined(outcome carawaybeam.Outcome) *carawaybeam.RequestError {
	return &carawaybeam.RequestError{
		Outcome:    outcome,
		Reason:     carawaybeam.ReasonQuarantined,
		Detail:     "request was running in several crashes of backend servers",
		RetryAfter: quarantiner.RetryAfter.Round(time.Second),
	}
}
