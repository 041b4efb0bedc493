package allocator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawaybeam/carawaybeam/fakes/storer"
	"github.com/carawaybeam/carawaybeam/prover"
)

// limits are the limits, and sizes the numbers of entries, of the users' record and beyond.
var (
	limits = []float64{0.4, 1, 1.2, 7, 40}
	sizes  = []int{1, 5, 17, 64}
)

// warmUp is longer than shares that are absent are not taken after a start.
const warmUp = 8 * time.Second

// demandFor returns the number of requests per second at each entry for which the backend server is
// wanted. The users' entries get 13.
func demandFor(limit float64, entries int) float64 { return max(5, 4*limit/float64(entries)) }

// TestPromiseServerLimitShares checks that a limit is kept by all entries together, and used, while
// nothing else happens.
func TestPromiseServerLimitShares(t *testing.T) {
	trials, violations := 0, 0
	for _, limit := range limits {
		for _, entries := range sizes {
			t.Run(fmt.Sprintf("%v a second, %d entries", limit, entries), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					const duration = 40 * time.Second
					f := newFleet(entries, demandFor(limit, entries))
					time.Sleep(warmUp)
					f.setLimit(limit)
					time.Sleep(settleTime)
					began := time.Now()
					time.Sleep(duration)
					found := f.violations()
					got, allowed := f.arrivedSince(began), limit*duration.Seconds()
					f.close()
					trials++
					violations += len(found)
					if len(found) > 0 {
						t.Errorf("%d violations, such as: %s", len(found), found[0])
					}
					if float64(got) < 0.8*allowed {
						t.Errorf("%d requests arrived in %v, of %.0f that the limit allows", got, duration, allowed)
					}
					t.Logf("%d requests arrived of %.0f", got, allowed)
				})
			})
		}
	}
	prover.Report(t, prover.ServerLimit, trials, violations)
}

// TestPromiseServerLimitHistories checks that a limit is kept over random histories: entries start,
// stop, are killed, suspended and cut off from the store, the store fails, and the limit changes.
func TestPromiseServerLimitHistories(t *testing.T) {
	trials, violations := 0, 0
	for seed := range prover.Seeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(uint64(seed), 0))
				limit := limits[random.IntN(len(limits))]
				entries := sizes[random.IntN(len(sizes))]
				f := newFleet(entries, demandFor(limit, entries))
				time.Sleep(warmUp)
				f.setLimit(limit)
				for range 20 {
					time.Sleep(rand.N(3 * time.Second))
					f.disturb(random, limit)
				}
				time.Sleep(settleTime)
				found := f.violations()
				f.store.SetFault(storer.Fault{})
				f.close()
				trials++
				violations += len(found)
				if len(found) > 0 {
					t.Errorf("limit %v, %d entries: %d violations, such as: %s; history in %s",
						limit, entries, len(found), found[0], f.keepHistory(t))
				}
			})
		})
	}
	prover.Report(t, prover.ServerLimit, trials, violations)
}

// TestPromiseServerLimitEnds guards against entries that take the end of an earlier limit for that of the
// present one: its objects remain for a while, and count again once the shares that are held lapse.
func TestPromiseServerLimitEnds(t *testing.T) {
	trials, violations := 0, 0
	for trial := range 5 {
		t.Run(fmt.Sprint(trial), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const (
					entries = 5
					rate    = 100
				)
				f := newFleet(entries, rate)
				time.Sleep(warmUp)
				f.setLimit(40) // Has 20 shares, and the next limit one.
				time.Sleep(2 * settleTime)
				f.setLimit(math.Inf(1))
				time.Sleep(settleTime)
				f.setLimit(1.2)
				time.Sleep(2 * settleTime)
				for _, e := range f.entries {
					if own, _ := e.allocator.Shares(backend); own > 0 {
						e.stop(true)
					}
				}
				time.Sleep(warmUp)
				found := f.violations()
				f.close()
				trials++
				violations += len(found)
				if len(found) > 0 {
					t.Errorf("%d violations, such as: %s; history in %s", len(found), found[0], f.keepHistory(t))
				}
			})
		})
	}
	prover.Report(t, prover.ServerLimit, trials, violations)
}

// disturb makes one thing happen to the fleet.
func (f *fleet) disturb(random *rand.Rand, limit float64) {
	e := f.entries[random.IntN(len(f.entries))]
	duration := time.Duration(random.Int64N(int64(9 * time.Second)))
	kind := random.IntN(9)
	e.log.Info().Int("kind", kind).Dur("for", duration).Msg("fleet: disturbance")
	switch kind {
	case 0:
		f.start(fmt.Sprintf("new-%d", len(f.entries)))
	case 1:
		if e.ctx.Err() == nil {
			e.stop(random.IntN(2) == 0)
			f.start(e.name)
		}
	case 2:
		if e.ctx.Err() == nil {
			e.stop(true)
		}
	case 3:
		f.wait.Go(func() { e.freeze(duration) })
	case 4:
		e.store.SetCut(true)
		f.wait.Go(func() {
			time.Sleep(duration)
			e.store.SetCut(e.ctx.Err() != nil)
		})
	case 5:
		modes := []storer.FaultMode{
			storer.FaultDown, storer.FaultLostAnswer, storer.FaultLateWrite, storer.FaultSilentWatch, storer.FaultSlow,
		}
		f.store.SetFault(storer.Fault{Mode: modes[random.IntN(len(modes))], Delay: duration / 3})
		f.wait.Go(func() {
			time.Sleep(duration)
			f.store.SetFault(storer.Fault{})
		})
	case 6:
		f.setLimit(limits[random.IntN(len(limits))])
	case 7:
		f.setLimit(math.Inf(1))
		time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
		f.setLimit(limit)
	case 8:
		copied := f.store.Snapshot()
		time.Sleep(duration / 3)
		f.store.Restore(copied)
	}
}
