// Package readier serves the readiness check by which an external load balancer
// learns whether a process accepts clients.
package readier

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
)

// readTimeout is the timeout of reading a request of the load balancer.
const readTimeout = 2 * time.Second

// Readier answers every request with 200 while the process accepts clients, and
// with 503 otherwise.
type Readier struct {
	http *http.Server
	done chan struct{}
}

// New returns a Readier that serves the listener until Close. The function ready
// reports whether the process accepts clients.
func New(listener net.Listener, ready func() bool, log zerolog.Logger) *Readier {
	handler := func(w http.ResponseWriter, _ *http.Request) {
		status := http.StatusServiceUnavailable
		if ready() {
			status = http.StatusOK
		}
		w.WriteHeader(status)
	}
	r := &Readier{
		http: &http.Server{Handler: http.HandlerFunc(handler), ReadTimeout: readTimeout},
		done: make(chan struct{}),
	}
	go func() {
		defer close(r.done)
		if err := r.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.Error().Err(err).Msg("readier: readiness checks are no longer answered")
		}
	}()
	return r
}

// Close closes the listener and waits for the server to stop.
func (r *Readier) Close() error {
	err := r.http.Close()
	<-r.done
	return err
}
