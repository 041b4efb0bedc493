package leaser_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
	"github.com/carawaybeam/carawaybeam/leaser"
)

const duration = 10 * time.Second

func newLeaser(store carawaybeam.Store, holder carawaybeam.Incarnation) *leaser.Leaser {
	return leaser.New(leaser.Options{Store: store, Name: "group", Holder: holder, Duration: duration})
}

// TestPausedHolderLosesLease checks that a holder that is paused for longer than
// the duration loses the lease, and that only then another process acquires it.
func TestPausedHolderLosesLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, store := is.New(t), context.Background(), storer.New()
		a, b := newLeaser(store, "a"), newLeaser(store, "b")
		is.NoErr(a.AcquireOrRenew(ctx))
		epoch, held := a.Held()
		is.True(held)
		is.Equal(epoch, carawaybeam.Epoch(1))
		for range 4 {
			is.NoErr(b.AcquireOrRenew(ctx))
			_, held = b.Held()
			is.True(!held)
			time.Sleep(duration / 3)
		}
		// a has been paused all the time and resumes now.
		_, held = a.Held()
		is.True(!held)
		is.NoErr(b.AcquireOrRenew(ctx))
		epoch, held = b.Held()
		is.True(held)
		is.Equal(epoch, carawaybeam.Epoch(2))
		is.NoErr(a.AcquireOrRenew(ctx))
		_, held = a.Held()
		is.True(!held)
	})
}

// TestRenewalKeepsEpoch checks that the epoch stays the same while the holder
// renews its lease in time, and grows when the holder lets it expire.
func TestRenewalKeepsEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, store := is.New(t), context.Background(), storer.New()
		a, b := newLeaser(store, "a"), newLeaser(store, "b")
		for range 20 {
			is.NoErr(a.AcquireOrRenew(ctx))
			is.NoErr(b.AcquireOrRenew(ctx))
			epoch, held := a.Held()
			is.True(held)
			is.Equal(epoch, carawaybeam.Epoch(1))
			time.Sleep(duration / 3)
		}
		// The holder acquires its own expired lease under a new epoch.
		time.Sleep(duration)
		is.NoErr(a.AcquireOrRenew(ctx))
		epoch, _ := a.Held()
		is.Equal(epoch, carawaybeam.Epoch(2))
	})
}

// TestUncertainWriteIsReadBack checks that a renewal whose answer was lost counts
// if reading it back shows it, and that a lease outlasts a store failure only until
// it expires.
func TestUncertainWriteIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, store := is.New(t), context.Background(), storer.New()
		a, b := newLeaser(store, "a"), newLeaser(store, "b")
		is.NoErr(a.AcquireOrRenew(ctx))
		store.SetFault(storer.Fault{Mode: storer.FaultLostAnswer, Calls: 2})
		is.NoErr(a.AcquireOrRenew(ctx))
		_, held := a.Held()
		is.True(held)
		store.SetFault(storer.Fault{Mode: storer.FaultDown})
		is.True(a.AcquireOrRenew(ctx) != nil)
		_, held = a.Held()
		is.True(held)
		time.Sleep(duration + time.Second)
		is.True(b.AcquireOrRenew(ctx) != nil)
		_, held = b.Held()
		is.True(!held)
		_, held = a.Held()
		is.True(!held)
	})
}

// TestSlowReadDoesNotShortenLease guards against an observer that counts the
// duration from the start of a slow read. The holder may have renewed the lease
// before the read returned, so that the observer would treat it as expired too
// early.
func TestSlowReadDoesNotShortenLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, store := is.New(t), context.Background(), storer.New()
		a, b := newLeaser(store, "a"), newLeaser(store, "b")
		is.NoErr(a.AcquireOrRenew(ctx))
		store.SetFault(storer.Fault{Mode: storer.FaultSlow, Delay: 8 * time.Second, Calls: 1})
		done := make(chan error)
		go func() { done <- b.AcquireOrRenew(ctx) }()
		time.Sleep(7 * time.Second)
		is.NoErr(a.AcquireOrRenew(ctx))
		is.NoErr(<-done)
		time.Sleep(duration - 7*time.Second)
		is.NoErr(b.AcquireOrRenew(ctx))
		_, held := b.Held()
		is.True(!held)
		_, held = a.Held()
		is.True(held)
	})
}

// TestNeverTwoHolders checks that the lease never has two holders at once and no
// epoch belongs to two processes, while holders pause and answers of the store are
// lost.
func TestNeverTwoHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, store := is.New(t), context.Background(), storer.New()
		all := []*leaser.Leaser{newLeaser(store, "a"), newLeaser(store, "b"), newLeaser(store, "c")}
		epochs := map[carawaybeam.Epoch]int{}
		for round := range 3000 {
			if round%7 == 0 {
				store.SetFault(storer.Fault{Mode: storer.FaultLostAnswer, Calls: 1 + round%3})
			}
			if i := round * 31 % 17 % 3; (round/40)%4 != i {
				_ = all[i].AcquireOrRenew(ctx)
			}
			holders := 0
			for i, l := range all {
				epoch, held := l.Held()
				if !held {
					continue
				}
				holders++
				if before, known := epochs[epoch]; known {
					is.Equal(before, i)
				}
				epochs[epoch] = i
			}
			is.True(holders <= 1)
			time.Sleep(time.Second)
		}
		is.True(len(epochs) > 3)
	})
}

// seize makes a new process seize the lease, and returns its epoch.
func seize(is *is.I, store *storer.Storer, holder carawaybeam.Incarnation) carawaybeam.Epoch {
	is.Helper()
	l := newLeaser(store.NewClient(zerolog.Nop()), holder)
	is.NoErr(l.Observe(context.Background()))
	is.NoErr(l.Seize(context.Background()))
	epoch, held := l.HeldUntilSuperseded()
	is.True(held)
	return epoch
}

// TestEpochsOverOlderCopies guards against giving an epoch again that an older copy of
// the store lacks, also if the store comes back from the same copy twice.
func TestEpochsOverOlderCopies(t *testing.T) {
	is, store := is.New(t), storer.New()
	store.SetEra(1)
	last := seize(is, store, "a")
	copied := store.Snapshot()
	for _, holder := range []carawaybeam.Incarnation{"b", "c", "d"} {
		epoch := seize(is, store, holder)
		is.True(epoch > last)
		last = epoch
		store.Restore(copied)
	}
}

// TestLateWriteOfEarlierEra guards against a write of an earlier era whose condition
// holds by chance and that sets the epoch back.
func TestLateWriteOfEarlierEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, store := is.New(t), t.Context(), storer.New()
		store.SetEra(1)
		copied := store.Snapshot()
		seize(is, store, "lost")
		late := newLeaser(store.NewClient(zerolog.Nop()), "late")
		is.NoErr(late.Observe(ctx))
		store.SetFault(storer.Fault{Mode: storer.FaultLateWrite, Delay: time.Second, Calls: 1})
		is.True(late.Seize(ctx) != nil)
		store.Restore(copied)
		epoch := seize(is, store, "b") // At the revision that late expects.
		time.Sleep(2 * time.Second)
		_, held := late.HeldUntilSuperseded()
		is.True(!held)
		is.True(seize(is, store, "c") > epoch)
	})
}

// TestHolderOverOlderCopy guards against taking the lease from a holder that is still at
// work when an older copy of the store lacks it.
func TestHolderOverOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, store := is.New(t), t.Context(), storer.New()
		store.SetEra(1)
		copied := store.Snapshot()
		a, b := newLeaser(store.NewClient(zerolog.Nop()), "a"), newLeaser(store.NewClient(zerolog.Nop()), "b")
		is.NoErr(a.AcquireOrRenew(ctx))
		before, _ := a.Held()
		is.NoErr(b.AcquireOrRenew(ctx))
		time.Sleep(duration / 3)
		store.Restore(copied)
		is.NoErr(b.AcquireOrRenew(ctx))
		_, held := b.Held()
		is.True(!held)
		is.NoErr(a.AcquireOrRenew(ctx))
		epoch, held := a.Held()
		is.True(held)
		is.True(epoch > before)
		// A holder that does not return is replaced.
		store.Restore(copied)
		is.NoErr(b.AcquireOrRenew(ctx))
		time.Sleep(duration + time.Second)
		is.NoErr(b.AcquireOrRenew(ctx))
		next, held := b.Held()
		is.True(held)
		is.True(next > epoch)
	})
}
