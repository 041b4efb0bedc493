// Package readier serves the readiness check by which an external load balancer
// learns whether a process accepts clients.
package readier

import (
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/carawaybeam/carawaybeam/keeper"
)

const (
	// readTimeout is the timeout of reading a request of the load balancer, and idleTimeout how long
	// its connection may be idle between two.
	readTimeout = time.Second
	idleTimeout = 5 * time.Second

	// maxConnections is the maximum number of connections, also of others than the load balancer. Those
	// with the least progress are closed for new ones, and half as many may be closing.
	maxConnections = 192

	// maxRequests is the maximum number of requests on one connection.
	maxRequests = 16

	// headerBytes is the maximum size of the header of a request.
	headerBytes = 4 << 10
)

// Readier answers every request with 200 while the process accepts clients, and
// with 503 otherwise.
type Readier struct {
	keeper *keeper.Keeper
}

// New returns a Readier that serves the listener until Close. The function ready
// reports whether the process accepts clients.
func New(listener net.Listener, ready func() bool, log zerolog.Logger) *Readier {
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			// The answer does not wait for the body, which is not read.
			_ = http.NewResponseController(w).EnableFullDuplex()
			w.Header().Set("Connection", "close")
		}
		status := http.StatusServiceUnavailable
		if ready() {
			status = http.StatusOK
		}
		w.WriteHeader(status)
	}
	return &Readier{keeper: keeper.New(listener, keeper.Options{
		Component:     "readier",
		Handler:       http.HandlerFunc(handler),
		IdleLimit:     func() time.Duration { return idleTimeout },
		HeaderTimeout: readTimeout,
		ReadTimeout:   readTimeout,
		HeaderBytes:   headerBytes,
		Bound:         maxConnections,
		Checks:        true,
		MaxRequests:   maxRequests,
		Scope:         tally.NoopScope,
		Log:           log,
	})}
}

// Close closes the listener and waits for the server to stop.
func (r *Readier) Close() error { return r.keeper.Close() }
