package quarantiner

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// fingerprintBytes is the length to which the hash of a fingerprint is truncated.
	fingerprintBytes = 16

	// partMark begins the fingerprint of a part of a prompt.
	partMark = "\x00part"
)

// Fingerprint identifies requests that are identical to a backend server, or those whose
// prompts have a part in common. It is a binary hash.
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

// NewPartFingerprint returns the fingerprint of the requests for a pool whose prompts have a
// part in common.
func NewPartFingerprint(pool carawaybeam.PoolID, part string) Fingerprint {
	return partMark + NewFingerprint(nil, string(pool), part)
}

// IsPart reports whether the fingerprint is that of a part of a prompt.
func (f Fingerprint) IsPart() bool { return strings.HasPrefix(string(f), partMark) }

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString([]byte(f)) }
