package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam/platform/attacker"
	"github.com/carawaybeam/carawaybeam/platform/emulator"
)

const (
	// A run has up to maxClientFaults faults of the clientKinds. They are drawn from the random numbers of
	// the stream clientStream.
	maxClientFaults = 2
	clientStream    = 1 << 41

	// stalledBodies is the number of connections on which bodies stop short of their end. Of slowReaders clients,
	// those with even numbers read slowBytes after each slowPause, and the others do not read.
	stalledBodies = 100
	slowReaders   = 20
	slowBytes     = 1 << 10
	slowPause     = 50 * time.Millisecond

	// While only clients misbehave, an entry serves at least minServedShare of the others' requests, if there are
	// minCounted.
	minServedShare = 0.95
	minCounted     = 20
)

// clientKinds are the kinds of faults in which clients send or read slowly.
var clientKinds = []string{"stalledBodies", "slowReaders"}

// newClientFaults returns the faults of a run in which clients misbehave. They do not depend on the other
// faults of the seed.
func newClientFaults(options Options) []fault {
	random := rand.New(rand.NewPCG(options.Seed, clientStream))
	faults := make([]fault, 0, maxClientFaults)
	for range random.IntN(maxClientFaults + 1) {
		faults = append(faults, newFault(random, options, clientKinds))
	}
	return faults
}

// attackedBy returns the entry that the clients of a fault disturb.
func (s *Soaker) attackedBy(target int) *daemon { return s.entries[target%len(s.entries)] }

// stallBodies sends bodies that stop short of their end to an entry. None of the requests may run.
func stallBodies(ctx context.Context, s *Soaker, f fault) {
	ctx, cancel := context.WithTimeout(ctx, f.duration)
	defer cancel()
	e := s.attackedBy(f.target)
	fields := fmt.Sprintf("Request-Id: stalled-%d-%d\r\nApi-Key: %s\r\nDeadline-Ms: %d\r\n",
		s.options.Seed, f.at, s.history.pickKey(false), callerTimeout.Milliseconds())
	target := attacker.Target{Address: e.callers, Path: paths[f.target], Fields: fields}
	s.wait.Go(func() { s.watchMemory(ctx, e) })
	var a attacker.Attacker
	a.Play(ctx, target, stalledBodies, attacker.ShortBodies, attacker.SmallPieces, attacker.ShortChunks)
}

// readSlowly sends requests with large answers to an entry and reads these slowly, or not at all.
func readSlowly(ctx context.Context, s *Soaker, f fault) {
	ctx, cancel := context.WithTimeout(ctx, f.duration+callerTimeout)
	defer cancel()
	e, until := s.attackedBy(f.target), time.Now().Add(f.duration)
	s.wait.Go(func() { s.watchMemory(ctx, e) })
	var readers sync.WaitGroup
	for n := range slowReaders {
		random, pause := rand.New(rand.NewPCG(s.options.Seed, clientStream+uint64(n))), slowPause
		if n%2 == 1 {
			pause = callerTimeout
		}
		readers.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				conn, err := emulator.DialSlow(ctx, e.callers, slowBytes, pause)
				if err != nil {
					time.Sleep(thinkTime)
					continue
				}
				id := fmt.Sprintf("%s%d-%d-%d-%d-%d", emulator.LargeID, s.options.Seed, f.at, f.target, n, i)
				s.send(conn, random, e, sentRequest{id: id, path: paths[f.target], connectedAt: time.Now(), slow: true})
				_ = conn.Close()
			}
		})
	}
	readers.Wait()
}

// watchMemory records a problem if the resident set of a process exceeds its memory before ctx ends.
func (s *Soaker) watchMemory(ctx context.Context, e *daemon) {
	for ; ctx.Err() == nil; time.Sleep(pollInterval) {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.running(false).PID()))
		if err != nil {
			continue
		}
		var kilobytes int
		_, rest, _ := strings.Cut(string(data), "VmRSS:")
		if _, err := fmt.Sscan(rest, &kilobytes); err == nil && kilobytes > emulator.MemoryMB<<10 {
			s.history.addProblem(fmt.Sprintf("%s used %d KB of its %d MB", e.name, kilobytes, emulator.MemoryMB))
			return
		}
	}
}

// checkOthersServed reports misbehaving clients by which others of the same entry were not served, if no other
// fault explains it.
func (h *history) checkOthersServed(entries int, addViolation func(format string, args ...any)) {
	for _, f := range h.faults {
		if !slices.Contains(clientKinds, f.kind) {
			continue
		}
		total, served := 0, 0
		for _, sent := range h.requests {
			if sent.entry != f.target%entries || sent.sentAt.Before(f.beganAt) || sent.sentAt.After(f.endedAt) ||
				!h.isOrdinary(sent) {
				continue
			}
			total++
			if sent.err == nil && (sent.reply.Status == http.StatusOK || sent.reply.Status == http.StatusUnauthorized) {
				served++
			}
		}
		if total >= minCounted && float64(served) < minServedShare*float64(total) {
			addViolation("%s from %s on: %d of %d other requests to entry-%d were served",
				f.kind, f.beganAt.Format(timeFormat), served, total, f.target%entries)
		}
	}
}

// isOrdinary reports whether a request of a well-behaved caller has to be served, as only callers misbehave.
func (h *history) isOrdinary(s sentRequest) bool {
	if s.slow || s.abandoned || s.crashes() || strings.HasPrefix(s.id, emulator.ConditionalID) ||
		s.closed() && h.mayBeIdleTooLong(s) {
		return false
	}
	from := s.sentAt.Add(-stableWindow)
	return !slices.ContainsFunc(h.faults, func(f injectedFault) bool {
		return !slices.Contains(clientKinds, f.kind) && f.overlaps(from, s.endedAt)
	})
}
