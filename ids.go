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

	// OrganisationID names the organisation that a caller sends requests for.
	OrganisationID string

	// DataCentre names one data centre.
	DataCentre string

	// Region names a set of data centres under the same rules for where data may be processed.
	Region string

	// VMID names one VM of the platform.
	VMID string

	// BackendID names one backend server.
	BackendID string

	// PoolID names a set of interchangeable backend servers.
	PoolID string

	// GroupID names a group of ranks that execute steps in lock-step.
	GroupID string

	// Address is an IP address and port.
	Address string

	// Incarnation identifies one run of a process. It changes at every
	// restart.
	Incarnation string

	// RequestID identifies one request of a caller.
	RequestID string

	// AttemptID identifies one attempt to run a request on a backend server.
	AttemptID string

	// IdempotencyKey is a key sent by the caller so that a request sent again
	// with the same key is not run again.
	IdempotencyKey string

	// ConfigVersion orders configurations. It is the store version of the
	// configuration object that was changed last.
	ConfigVersion uint64

	// Epoch is the fencing token of a lease. It increases with every new
	// holder.
	Epoch uint64

	// MapVersion orders the expert maps of a group. Newer maps have higher
	// versions.
	MapVersion uint64

	// Step is the number of a lock-step of a group.
	Step uint64

	// Rank is the index of a member in its group, from 0.
	Rank int

	// Expert is the index of an expert in its layer, from 0.
	Expert int

	// Tokens is a number of model tokens.
	Tokens int

	// Bytes is a size or an offset in bytes.
	Bytes int64

	// RequestRate is a number of requests per second.
	RequestRate float64
)

// keyedAttemptBytes is the length to which KeyedAttempt truncates the hash.
const keyedAttemptBytes = 16

// NewIncarnation returns a random incarnation.
func NewIncarnation() Incarnation {
	return Incarnation(uuid.NewString())
}

// NewRequestID returns a random request identifier.
func NewRequestID() RequestID {
	return RequestID(uuid.NewString())
}

// Attempt returns the identifier of attempt number n of the request.
func (r RequestID) Attempt(n int) AttemptID {
	return AttemptID(string(r) + "." + strconv.Itoa(n))
}

// KeyedAttempt returns the attempt identifier of a request with an idempotency
// key. It is a hash of the arguments, so that all entries compute the same
// identifier for the same request.
func KeyedAttempt(org OrganisationID, class ClassID, key IdempotencyKey) AttemptID {
	h := sha256.New()
	for _, part := range []string{string(org), string(class), string(key)} {
		h.Write([]byte(strconv.Itoa(len(part))))
		h.Write([]byte{':'})
		h.Write([]byte(part))
	}
	return AttemptID("key-" + hex.EncodeToString(h.Sum(nil)[:keyedAttemptBytes]))
}
