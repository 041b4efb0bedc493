package coordinator

import (
	"math"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/collector"
)

const (
	// loadTimeConstant is the time constant of the exponential decay of loads. It
	// is short because the popularity of experts shifts every few seconds on the
	// users' platform.
	loadTimeConstant = 200 * time.Millisecond

	// minPicks is the mean number of picks per expert that must be known before
	// they are used for a plan.
	minPicks = 20
)

type (
	// loads is the exponentially decaying sum of the picks of all ranks. The
	// field sum contains it by layer and expert, as of updatedAt.
	loads struct {
		updatedAt time.Time
		sum       []float64
		ranks     map[carawaybeam.Address]pickCounts
	}

	// pickCounts contains the last pick counters received from a rank.
	pickCounts struct {
		started int64
		epoch   uint64
		at      time.Time
		picks   []uint32
	}
)

func newLoads() *loads { return &loads{ranks: make(map[carawaybeam.Address]pickCounts)} }

// update adds the picks since the last call and returns the load of each expert by
// layer. It returns false while too few picks are known.
func (l *loads) update(
	now time.Time,
	ranks []collector.Status,
	layout carawaybeam.ExpertLayout,
) ([]carawaybeam.LayerLoad, bool) {
	size := layout.Layers * layout.Experts
	if len(l.sum) != size {
		l.sum = make([]float64, size)
	}
	decay := math.Exp(-now.Sub(l.updatedAt).Seconds() / loadTimeConstant.Seconds())
	l.updatedAt = now
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

// add adds the picks of one rank since its previous status. The first counters
// after a restart of the rank or in a new epoch of the group are only remembered.
func (l *loads) add(s collector.Status, size int) {
	before, known := l.ranks[s.Address]
	if len(s.Picks) != size || known && before.at.Equal(s.PicksReceived) {
		return
	}
	l.ranks[s.Address] = pickCounts{started: s.Started, epoch: s.Epoch, at: s.PicksReceived, picks: s.Picks}
	if !known || before.started != s.Started || before.epoch != s.Epoch || len(before.picks) != size {
		return
	}
	for i, n := range s.Picks {
		l.sum[i] += collector.PicksSince(before.picks[i], n)
	}
}
