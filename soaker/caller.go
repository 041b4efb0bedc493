package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/carawaybeam/carawaybeam/platform/emulator"
)

const (
	// patience is how long a caller waits for an answer, longer than it may take.
	patience = emulator.RouteTimeout + 2*time.Second

	// requestsPerConnection is how many requests a caller sends on a connection
	// while it stays open. Every other caller keeps it until it ends, and never
	// leaves early.
	requestsPerConnection = 60

	thinkTime = 30 * time.Millisecond
	// leaveShare is the share of their requests that the other callers leave, after
	// leaveAfter at most.
	leaveShare = 0.03
	leaveAfter = 400 * time.Millisecond
	// oldKeyShare is the share of requests under a key that has been withdrawn.
	oldKeyShare = 0.1
)

var paths = []string{"/book/visits", "/look/orders", "/move/vans", "/stream/summary"}

// call sends requests of one caller until the end.
func (s *Soaker) call(ctx context.Context, random *rand.Rand, number int, end time.Time) {
	for n := 0; time.Now().Before(end); {
		e := s.pick(random)
		conn, err := emulator.Dial(ctx, e.callers)
		if err != nil {
			time.Sleep(thinkTime)
			continue
		}
		keeps := number%2 == 0
		for i := 0; (i < requestsPerConnection || keeps) && time.Now().Before(end); i++ {
			n++
			leaves := !keeps && random.Float64() < leaveShare
			if !s.send(conn, random, e, fmt.Sprintf("%d-%d-%d", s.options.Seed, number, n), leaves) {
				break
			}
			time.Sleep(thinkTime)
		}
		// The end of a connection that no request is on has no effect.
		_ = conn.Close()
	}
}

// pick returns an entry that takes new callers, or any one if none does.
func (s *Soaker) pick(random *rand.Rand) *daemon {
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

// send sends one request, which its caller may leave early, and tells whether the
// connection takes another one.
func (s *Soaker) send(conn *emulator.Connection, random *rand.Rand, e *daemon, id string, leaves bool) bool {
	sent := sending{
		id:    id,
		entry: e.index,
		path:  paths[random.IntN(len(paths))],
		key:   s.evidence.key(random.Float64() < oldKeyShare),
		at:    time.Now(),
	}
	if leaves {
		sent.left = true
		timer := time.AfterFunc(time.Duration(random.Int64N(int64(leaveAfter))), func() { _ = conn.Close() })
		defer timer.Stop()
	}
	s.evidence.add(sent)
	sent.reply, sent.whole, sent.err = conn.Do(id, sent.path, sent.key, patience)
	sent.ended = time.Now()
	s.evidence.add(sent)
	return sent.err == nil && !sent.reply.Closes && !sent.left
}
