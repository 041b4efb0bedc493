package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// A run has up to maxForeignFaults faults of the foreignKinds. They are drawn from the
	// random numbers of the stream foreignStream.
	maxForeignFaults = 2
	foreignStream    = 1 << 38

	// largeBytes is the size of the largest announcement of another writer.
	largeBytes = 900 << 10
)

// foreignKinds are the kinds of faults in which another writer announces something among the backend
// servers.
var foreignKinds = []string{"oddEntries", "foreignEntries"}

// newForeignFaults returns the faults of a run in which another writer uses the store. They do not
// depend on the other faults of the seed.
func newForeignFaults(options Options) []fault {
	random := rand.New(rand.NewPCG(options.Seed, foreignStream))
	faults := make([]fault, 0, maxForeignFaults)
	for range random.IntN(maxForeignFaults + 1) {
		faults = append(faults, newFault(random, options, foreignKinds))
	}
	return faults
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
