package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/carawaybeam/carawaybeam/platform/emulator"
)

const (
	// A run has up to maxForeignFaults faults of the foreignKinds. They are drawn from the
	// random numbers of the stream foreignStream.
	maxForeignFaults = 2
	foreignStream    = 1 << 38

	// conditionalInterval is the time between two requests that no backend server may run.
	conditionalInterval = 100 * time.Millisecond

	// largeBytes is the size of the largest announcement of another writer.
	largeBytes = 900 << 10
)

// foreignKinds are the kinds of faults in which another writer announces something among the backend
// servers, or a caller brings about answers that could be taken for those of others.
var foreignKinds = []string{"oddEntries", "foreignEntries", "conditionalCaller"}

// newForeignFaults returns the faults of a run of the foreignKinds. They do not depend on the other
// faults of the seed.
func newForeignFaults(options Options) []fault {
	random := rand.New(rand.NewPCG(options.Seed, foreignStream))
	faults := make([]fault, 0, maxForeignFaults)
	for range random.IntN(maxForeignFaults + 1) {
		faults = append(faults, newFault(random, options, foreignKinds))
	}
	return faults
}

// runConditionalCaller sends requests that no backend server may run, each through a random entry.
func (s *Soaker) runConditionalCaller(ctx context.Context, path string) {
	random := rand.New(rand.NewPCG(s.options.Seed, foreignStream+uint64(len(path))))
	end := s.history.finalPhaseStart().Add(-crashingMargin)
	for n := 1; time.Now().Before(end); n++ {
		e := s.pickEntry(random)
		if conn, err := emulator.Dial(ctx, e.callers); err == nil {
			id := fmt.Sprintf("%s%d-%s-%d", emulator.ConditionalID, s.options.Seed, path[1:], n)
			s.send(conn, random, e, sentRequest{id: id, path: path, connectedAt: time.Now()})
			_ = conn.Close()
		}
		time.Sleep(conditionalInterval)
	}
}

// announceForeign returns an action in which another writer makes one announcement for each host. They
// stay for the rest of the run.
func announceForeign(announcement func(*host) any) action {
	return func(ctx context.Context, s *Soaker, f fault) {
		for _, h := range s.hosts {
			name := fmt.Sprintf("%s-%d", f.kind, h.index)
			if err := s.platform.AnnounceForeign(ctx, name, announcement(h)); err != nil {
				s.history.addProblem("request to the platform failed: " + err.Error())
			}
		}
	}
}

// oddAnnouncement returns an announcement that names no backend server.
func oddAnnouncement(h *host) any {
	_, pool, _ := h.current()
	odd := []any{
		map[string]any{"service": pool, "addr": "0.0.0.0:0", "zone": "dc", "slots": 4, "state": "ready"},
		map[string]any{"service": pool, "addr": h.linkAddress, "zone": "dc", "slots": -5, "state": "ready"},
		map[string]any{"service": []int{1}, "addr": 7, "state": nil},
		strings.Repeat("x", largeBytes),
		map[string]any{"service": pool, "addr": "10.0.0.1:70000", "zone": "dc", "slots": 4, "state": "ready"},
	}
	return odd[h.index%len(odd)]
}

// foreignAnnouncement returns an announcement at the address of the backend server of a host, of
// another pool and with a later start.
func foreignAnnouncement(h *host) any {
	return map[string]any{
		"service": "metrics", "addr": h.linkAddress, "zone": "dc", "slots": 1, "state": "ready",
		"born": time.Now().Add(time.Minute).UnixMilli(),
	}
}
