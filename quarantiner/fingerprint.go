package quarantiner

import (
	"crypto/sha256"
	"encoding/hex"
)

// fingerprintBytes is the length to which the hash of a fingerprint is truncated.
const fingerprintBytes = 16

// Fingerprint identifies requests that are identical to a backend server. It is a
// binary hash.
type Fingerprint string

// NewFingerprint returns the fingerprint of a request with the body. The parts are the
// other properties in which identical requests agree.
func NewFingerprint(body []byte, parts ...string) Fingerprint {
	h := sha256.New()
	for _, part := range parts {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return Fingerprint(h.Sum(nil)[:fingerprintBytes])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString([]byte(f)) }
