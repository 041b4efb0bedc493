package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam/platform/emulator"
)

const (
	// callerTimeout is how long a caller waits for an answer. It exceeds the time that
	// an answer may take.
	callerTimeout = maxRouteTimeout + time.Second

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

	// crashingInterval is the mean time after which a request that crashes backend
	// servers is sent again. It is sent no more in the crashingMargin before the final
	// phase.
	crashingInterval = 250 * time.Millisecond
	crashingMargin   = 6 * time.Second

	// crowdSize is the number of crashing requests that are sent together, and crowdStream
	// the stream of random numbers of their first sending.
	crowdSize   = 6
	crowdStream = 1 << 35

	// partStream is the stream of random numbers of the first crashing part.
	partStream = 1 << 36

	// streamPath is the path of requests that are answered by streams.
	streamPath = "/stream/summary"

	// idleStream is the stream of random numbers of the first idle caller.
	idleStream = 1 << 34
	// withinShare is the share of requests before which an idle caller stays within the
	// idle limit it knows of. Before the others it exceeds that limit by up to maxExcess.
	withinShare = 0.4
	maxExcess   = 1200 * time.Millisecond
)

var paths = []string{"/book/visits", "/look/orders", "/move/vans", streamPath}

// runCaller sends the requests of one caller, one after another, until the end time. It
// sends a request that failed once more, with another identifier.
func (s *Soaker) runCaller(ctx context.Context, random *rand.Rand, number int, end time.Time) {
	var failed *sentRequest
	for n := 0; time.Now().Before(end); {
		e := s.pickEntry(random)
		conn, err := emulator.Dial(ctx, e.callers)
		if err != nil {
			time.Sleep(thinkTime)
			continue
		}
		keepsOpen, connectedAt, previous := number%2 == 0, time.Now(), ""
		for i := 0; (i < requestsPerConnection || keepsOpen) && time.Now().Before(end); i++ {
			n++
			next := sentRequest{
				id:          fmt.Sprintf("%d-%d-%d", s.options.Seed, number, n),
				path:        paths[random.IntN(len(paths))],
				abandoned:   !keepsOpen && random.Float64() < abandonShare,
				connectedAt: connectedAt, previous: previous,
			}
			if failed != nil {
				next.id, next.path = emulator.RepetitionOf(failed.id, 1), failed.path
			}
			sent := s.send(conn, random, e, next)
			if failed == nil && sent.mayRepeat() {
				failed = &sent
			} else {
				failed = nil
			}
			if !sent.keepsConnection() {
				break
			}
			previous = sent.id
			time.Sleep(thinkTime)
		}
		// Closing a connection that has no request in flight has no effect on the results.
		_ = conn.Close()
	}
}

// runIdleCaller sends the requests of one idle caller, one after another, until the end
// time. It uses a connection until it is closed by the entry or fails.
func (s *Soaker) runIdleCaller(ctx context.Context, random *rand.Rand, number int, end time.Time) {
	for n := 1; time.Now().Before(end); {
		e := s.pickEntry(random)
		conn, err := emulator.Dial(ctx, e.callers)
		if err != nil {
			time.Sleep(thinkTime)
			continue
		}
		connectedAt := time.Now()
		var sent sentRequest
		for ; sent.keepsConnection() && time.Now().Before(end); n++ {
			sent = s.send(conn, random, e, sentRequest{
				id:          fmt.Sprintf("%d-idle%d-%d", s.options.Seed, number, n),
				path:        paths[random.IntN(len(paths))],
				connectedAt: connectedAt, previous: sent.id,
			})
			if sent.keepsConnection() {
				time.Sleep(min(pickIdleTime(random, s.history.idleLimit()), time.Until(end)))
			}
		}
		// Closing a connection that has no request in flight has no effect on the results.
		_ = conn.Close()
	}
}

// pickIdleTime returns how long a caller that knows of an idle limit leaves its connection
// idle.
func pickIdleTime(random *rand.Rand, limit time.Duration) time.Duration {
	safe := usableIdleTime(limit)
	if random.Float64() < withinShare {
		return time.Duration(random.Int64N(int64(safe)))
	}
	return pickDuration(random, safe, limit+maxExcess)
}

// usableIdleTime returns how long callers may count on a connection with an idle limit.
func usableIdleTime(limit time.Duration) time.Duration { return limit * 4 / 5 }

// runCrashingCaller sends a request that crashes backend servers again and again, each
// time through a random entry and with another identifier.
func (s *Soaker) runCrashingCaller(ctx context.Context, path string) {
	random := rand.New(rand.NewPCG(s.options.Seed, uint64(len(path))))
	id := fmt.Sprintf("%s%d-%s", emulator.CrashingID, s.options.Seed, path[1:])
	end := s.history.finalPhaseStart().Add(-crashingMargin)
	for n := 1; time.Now().Before(end); n++ {
		e := s.pickEntry(random)
		if conn, err := emulator.Dial(ctx, e.callers); err == nil {
			s.send(conn, random, e, sentRequest{id: emulator.RepetitionOf(id, n), path: path, connectedAt: time.Now()})
			_ = conn.Close()
		}
		time.Sleep(crashingInterval/2 + rand.N(crashingInterval))
	}
}

// runCrashingPart sends requests that have a part of the prompt in common which crashes backend
// servers, each through a random entry.
func (s *Soaker) runCrashingPart(ctx context.Context, part int) {
	random := rand.New(rand.NewPCG(s.options.Seed, partStream+uint64(part)))
	end := s.history.finalPhaseStart().Add(-crashingMargin)
	for n := 1; time.Now().Before(end); n++ {
		e := s.pickEntry(random)
		if conn, err := emulator.Dial(ctx, e.callers); err == nil {
			id := fmt.Sprintf("%s%d-%d-%d", emulator.CrashingPartID, part, s.options.Seed, n)
			s.send(conn, random, e, sentRequest{id: id, path: streamPath, connectedAt: time.Now()})
			_ = conn.Close()
		}
		time.Sleep(crashingInterval/2 + rand.N(crashingInterval))
	}
}

// runCrashingCrowd sends crowdSize requests that crash backend servers again and again, all at
// the same time and beside one that is answered, each time through random entries.
func (s *Soaker) runCrashingCrowd(ctx context.Context, path string) {
	random := rand.New(rand.NewPCG(s.options.Seed, crowdStream))
	end := s.history.finalPhaseStart().Add(-crashingMargin)
	for n := 1; time.Now().Before(end); n++ {
		var senders sync.WaitGroup
		for i := range crowdSize + 1 {
			id := fmt.Sprintf("%scrowd-%d-%d", emulator.CrashingID, s.options.Seed, i)
			if i == crowdSize {
				id = fmt.Sprintf("popular-%d", s.options.Seed)
			}
			e, own := s.pickEntry(random), rand.New(rand.NewPCG(s.options.Seed, crowdStream+uint64(n)))
			senders.Go(func() {
				if conn, err := emulator.Dial(ctx, e.callers); err == nil {
					sent := sentRequest{id: emulator.RepetitionOf(id, n), path: path, connectedAt: time.Now()}
					s.send(conn, own, e, sent)
					_ = conn.Close()
				}
			})
		}
		senders.Wait()
		time.Sleep(crashingInterval/2 + rand.N(crashingInterval))
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

// send sends a request to an entry, records it and its reply, and returns both. If the
// caller abandons the request, the connection is closed after a random delay.
func (s *Soaker) send(conn *emulator.Connection, random *rand.Rand, e *daemon, sent sentRequest) sentRequest {
	sent.entry = e.index
	sent.key = s.history.pickKey(random.Float64() < withdrawnKeyShare)
	sent.sentAt = time.Now()
	if sent.abandoned {
		timer := time.AfterFunc(time.Duration(random.Int64N(int64(maxAbandonDelay))), func() { _ = conn.Close() })
		defer timer.Stop()
	}
	s.history.addRequest(sent)
	sent.reply, sent.whole, sent.err = conn.Do(sent.id, sent.path, sent.key, callerTimeout)
	sent.endedAt = time.Now()
	s.history.addRequest(sent)
	return sent
}

// keepsConnection reports whether the connection can be used for another request.
func (s *sentRequest) keepsConnection() bool { return s.err == nil && !s.reply.Closes && !s.abandoned }

// mayRepeat reports whether a caller sends the request again: one that certainly did not
// run, or one that failed and may run more than once.
func (s *sentRequest) mayRepeat() bool {
	switch {
	case s.abandoned:
		return false
	case s.err == nil && isRefusal(s.reply.Status):
		return true
	}
	return !s.unsafe() && (s.err != nil || s.reply.Status >= http.StatusInternalServerError)
}

// unsafe reports whether the request may run only once.
func (s *sentRequest) unsafe() bool { return strings.HasPrefix(s.path, "/book") }

// crashes reports whether the request crashes the backend servers that run it.
func (s *sentRequest) crashes() bool {
	return strings.HasPrefix(s.id, emulator.CrashingID) || strings.HasPrefix(s.id, emulator.CrashingPartID)
}
