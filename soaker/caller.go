package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/carawaybeam/carawaybeam/platform/emulator"
)

const (
	// callerTimeout is how long a caller waits for an answer. It exceeds the time that
	// an answer may take.
	callerTimeout = emulator.RouteTimeout + 2*time.Second

	// requestsPerConnection is how many requests a caller sends on one connection.
	// Every other caller instead uses a connection until it is closed by the entry
	// or fails, and never abandons a request.
	requestsPerConnection = 60

	thinkTime = 30 * time.Millisecond
	// abandonShare is the share of requests that the remaining callers abandon, at
	// most maxAbandonDelay after sending them.
	abandonShare    = 0.03
	maxAbandonDelay = 400 * time.Millisecond
	// withdrawnKeyShare is the share of requests that use a withdrawn key.
	withdrawnKeyShare = 0.1
)

var paths = []string{"/book/visits", "/look/orders", "/move/vans", "/stream/summary"}

// runCaller sends the requests of one caller, one after another, until the end time.
func (s *Soaker) runCaller(ctx context.Context, random *rand.Rand, number int, end time.Time) {
	for n := 0; time.Now().Before(end); {
		e := s.pickEntry(random)
		conn, err := emulator.Dial(ctx, e.callers)
		if err != nil {
			time.Sleep(thinkTime)
			continue
		}
		keepsOpen := number%2 == 0
		for i := 0; (i < requestsPerConnection || keepsOpen) && time.Now().Before(end); i++ {
			n++
			abandons := !keepsOpen && random.Float64() < abandonShare
			if !s.send(conn, random, e, fmt.Sprintf("%d-%d-%d", s.options.Seed, number, n), abandons) {
				break
			}
			time.Sleep(thinkTime)
		}
		// Closing a connection that has no request in flight has no effect on the results.
		_ = conn.Close()
	}
}

// pickEntry returns a random ready entry, or any entry if none is ready.
func (s *Soaker) pickEntry(random *rand.Rand) *daemon {
	var ready []*daemon
	for _, e := range s.entries {
		if e.isReady() {
			ready = append(ready, e)
		}
	}
	if len(ready) == 0 {
		ready = s.entries
	}
	return ready[random.IntN(len(ready))]
}

// send sends one request and records it and its reply. If abandons is set, the
// connection is closed after a random delay. It reports whether the connection can be
// used for another request.
func (s *Soaker) send(conn *emulator.Connection, random *rand.Rand, e *daemon, id string, abandons bool) bool {
	sent := sentRequest{
		id:     id,
		entry:  e.index,
		path:   paths[random.IntN(len(paths))],
		key:    s.history.pickKey(random.Float64() < withdrawnKeyShare),
		sentAt: time.Now(),
	}
	if abandons {
		sent.abandoned = true
		timer := time.AfterFunc(time.Duration(random.Int64N(int64(maxAbandonDelay))), func() { _ = conn.Close() })
		defer timer.Stop()
	}
	s.history.addRequest(sent)
	sent.reply, sent.whole, sent.err = conn.Do(id, sent.path, sent.key, callerTimeout)
	sent.endedAt = time.Now()
	s.history.addRequest(sent)
	return sent.err == nil && !sent.reply.Closes && !sent.abandoned
}
