package conductor

import (
	"math"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/collector"
)

const (
	// loadMemory is the time in which a load loses all but 1/e of its weight.
	// Popularity on the users' platform shifts every few seconds.
	loadMemory = 200 * time.Millisecond

	// minPicks is how many picks each expert must have had in the mean before a
	// plan rests on them.
	minPicks = 20
)

type (
	// loads sums the picks of all ranks lately.
	loads struct {
		at    time.Time
		sum   []float64
		ranks map[carawaybeam.Address]seenPicks
	}

	// seenPicks is what was counted of a rank.
	seenPicks struct {
		started int64
		epoch   uint64
		at      time.Time
		picks   []uint32
	}
)

func newLoads() *loads { return &loads{ranks: make(map[carawaybeam.Address]seenPicks)} }

// observe adds the picks since the last call and returns the load of each expert
// by layer. It reports false while too few are known.
func (l *loads) observe(
	now time.Time,
	ranks []collector.Status,
	layout carawaybeam.ExpertLayout,
) ([]carawaybeam.LayerLoad, bool) {
	size := layout.Layers * layout.Experts
	if len(l.sum) != size {
		l.sum = make([]float64, size)
	}
	decay := math.Exp(-now.Sub(l.at).Seconds() / loadMemory.Seconds())
	l.at = now
	total := 0.0
	for i := range l.sum {
		l.sum[i] *= decay
	}
	for _, s := range ranks {
		l.add(s, size)
	}
	for _, n := range l.sum {
		total += n
	}
	if total < float64(size*minPicks) {
		return nil, false
	}
	byLayer := make([]carawaybeam.LayerLoad, layout.Layers)
	for i := range byLayer {
		byLayer[i] = l.sum[i*layout.Experts : (i+1)*layout.Experts]
	}
	return byLayer, true
}

// add counts the picks of one rank since its last ones.
func (l *loads) add(s collector.Status, size int) {
	before, known := l.ranks[s.Address]
	if len(s.Picks) != size || known && before.at.Equal(s.PicksReceived) {
		return
	}
	l.ranks[s.Address] = seenPicks{started: s.Started, epoch: s.Epoch, at: s.PicksReceived, picks: s.Picks}
	if !known || before.started != s.Started || before.epoch != s.Epoch || len(before.picks) != size {
		return
	}
	for i, n := range s.Picks {
		l.sum[i] += collector.PicksSince(before.picks[i], n)
	}
}
