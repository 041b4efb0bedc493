package carawaybeam

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"

	"github.com/google/uuid"
)

type (
	// ClassID names a class of work, such as drafting or bookings.
	ClassID string

	// OrganisationID names the organisation on whose behalf a caller asks.
	OrganisationID string

	// DataCentre names one data centre.
	DataCentre string

	// VMID names one VM of the platform.
	VMID string

	// BackendID names one backend server.
	BackendID string

	// PoolID names a set of interchangeable backend servers.
	PoolID string

	// GroupID names a group of ranks that run in lock-step.
	GroupID string

	// Address is an IP address and port.
	Address string

	// Incarnation identifies one life of a process. It changes with every
	// start.
	Incarnation string

	// RequestID identifies one request of a caller.
	RequestID string

	// AttemptID identifies one try to run a request on a backend server.
	AttemptID string

	// IdempotencyKey is the key a caller gives so that resending its request
	// does not run it again.
	IdempotencyKey string

	// ConfigVersion orders configurations. It is the store version of the
	// newest configuration object.
	ConfigVersion uint64

	// Epoch is the fencing number of a lease. It grows with every holder.
	Epoch uint64

	// MapVersion orders the expert maps of a group.
	MapVersion uint64

	// Step counts the lock-steps of a group.
	Step uint64

	// Rank is the position of a member in its group, from 0.
	Rank int

	// Expert is the position of an expert in its layer, from 0.
	Expert int

	// Tokens counts model tokens.
	Tokens int

	// Bytes counts bytes.
	Bytes int64
)

// keyedAttemptBytes is the length of the hash that names a keyed attempt.
const keyedAttemptBytes = 16

// NewIncarnation returns a random incarnation.
func NewIncarnation() Incarnation {
	return Incarnation(uuid.NewString())
}

// NewRequestID returns a random request identifier.
func NewRequestID() RequestID {
	return RequestID(uuid.NewString())
}

// Attempt returns the identifier of try number n of the request.
func (r RequestID) Attempt(n int) AttemptID {
	return AttemptID(string(r) + "." + strconv.Itoa(n))
}

// KeyedAttempt returns the identifier under which a request with an
// idempotency key runs. Every entry derives the same one.
func KeyedAttempt(org OrganisationID, class ClassID, key IdempotencyKey) AttemptID {
	h := sha256.New()
	for _, part := range []string{string(org), string(class), string(key)} {
		h.Write([]byte(strconv.Itoa(len(part))))
		h.Write([]byte{':'})
		h.Write([]byte(part))
	}
	return AttemptID("key-" + hex.EncodeToString(h.Sum(nil)[:keyedAttemptBytes]))
}
