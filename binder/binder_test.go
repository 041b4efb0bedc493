package binder_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/binder"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
)

const (
	// maxWritesPerSecond is the documented bound on the store writes of all
	// entries together.
	maxWritesPerSecond = 200

	measuredTime = 20 * time.Second
	storeLatency = 3 * time.Millisecond
	entries      = 3
)

func want(i int) binder.Binding {
	return binder.Binding{
		Backend:     carawaybeam.BackendID(fmt.Sprintf("desk-%d", i%3)),
		Incarnation: carawaybeam.Incarnation(fmt.Sprintf("4c1d8a52-6a7b-4a55-9d7c-00000000000%d", i%3)),
		BodyHash:    fmt.Sprintf("%032x", i),
	}
}

// TestStoreWritesAreBounded checks that the rate of store writes stays below its
// documented bound at any rate of bookings, here distributed over three entries.
func TestStoreWritesAreBounded(t *testing.T) {
	for _, rate := range []int{1, 10, 100, 1000} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store := storer.New()
			store.SetFault(storer.Fault{Mode: storer.FaultSlow, Delay: storeLatency})
			var binders [entries]*binder.Binder
			for i := range binders {
				binders[i] = binder.New(store)
			}
			var wait sync.WaitGroup
			var mu sync.Mutex
			var failed int
			var total, longest time.Duration
			n := rate * int(measuredTime/time.Second)
			for i := range n {
				time.Sleep(time.Second / time.Duration(rate))
				wait.Go(func() {
					start := time.Now()
					key := carawaybeam.KeyedAttempt("org", "bookings", carawaybeam.IdempotencyKey(fmt.Sprint(i)))
					_, err := binders[i%entries].Bind(t.Context(), key, want(i), binder.Binding{})
					mu.Lock()
					defer mu.Unlock()
					if err != nil {
						failed++
					}
					took := time.Since(start)
					total += took
					longest = max(longest, took)
				})
			}
			wait.Wait()
			counts := store.Counts()
			writes := float64(counts.Writes) / measuredTime.Seconds()
			reads := float64(counts.Reads) / measuredTime.Seconds()
			fmt.Printf(
				"bookings/s %d store writes/s %.1f reads/s %.1f writes per booking %.3f mean wait %v longest %v\n",
				rate,
				writes,
				reads,
				float64(counts.Writes)/float64(n),
				total/time.Duration(n),
				longest,
			)
			is.Equal(failed, 0)
			is.True(writes <= maxWritesPerSecond)
			for _, b := range binders {
				is.NoErr(b.Close())
			}
		})
	}
}

// TestEntriesAgree checks that all entries see the same binding of a key. Several
// entries bind the same keys to different agents while the store loses answers and
// fails, and the heads grow until segments are sealed.
func TestEntriesAgree(t *testing.T) {
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 1))
			store := storer.New()
			var binders [entries]*binder.Binder
			for i := range binders {
				binders[i] = binder.New(store)
			}
			bound := make(map[carawaybeam.AttemptID]binder.Binding)
			var mu sync.Mutex
			var wait sync.WaitGroup
			for i := range 3000 {
				if i%100 == 0 {
					store.SetFault(faults[random.IntN(len(faults))])
				}
				time.Sleep(time.Millisecond)
				key := carawaybeam.AttemptID(fmt.Sprintf("key-%032d", random.IntN(2000)))
				b := binders[random.IntN(entries)]
				wait.Go(func() {
					got, err := b.Bind(t.Context(), key, want(i), binder.Binding{})
					mu.Lock()
					defer mu.Unlock()
					if err != nil {
						var failure *carawaybeam.RequestError
						is.True(errors.As(err, &failure))
						is.Equal(failure.Outcome, carawaybeam.OutcomeNotRun)
						is.True(failure.RetryAfter > 0)
						return
					}
					if known, ok := bound[key]; ok {
						is.Equal(got, known)
					}
					bound[key] = got
				})
			}
			wait.Wait()
			store.SetFault(storer.Fault{})
			fresh := binder.New(store)
			for key, known := range bound {
				got, err := fresh.Bind(context.Background(), key, want(1), binder.Binding{})
				is.NoErr(err)
				is.Equal(got, known)
			}
			for _, b := range append(binders[:], fresh) {
				is.NoErr(b.Close())
			}
		})
	}
}

var faults = []storer.Fault{
	{},
	{},
	{Mode: storer.FaultLostAnswer, Calls: 5},
	{Mode: storer.FaultDown, Calls: 20},
	{Mode: storer.FaultSlow, Delay: 40 * time.Millisecond},
}

// TestReleasedBindingIsReplaced checks that only a binding that equals the
// released one is replaced.
func TestReleasedBindingIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := storer.New()
		a, b := binder.New(store), binder.New(store)
		first, err := a.Bind(t.Context(), "key-1", want(0), binder.Binding{})
		is.NoErr(err)
		known, err := b.Bind(t.Context(), "key-1", want(1), binder.Binding{})
		is.NoErr(err)
		is.Equal(known, first)
		second, err := b.Bind(t.Context(), "key-1", want(1), first)
		is.NoErr(err)
		is.Equal(second, want(1))
		// An entry that still has the released binding in memory gets the new one.
		third, err := a.Bind(t.Context(), "key-1", want(2), first)
		is.NoErr(err)
		is.Equal(third, want(1))
		is.NoErr(a.Close())
		is.NoErr(b.Close())
	})
}
