package applier_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/applier"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
)

// allHold is a Replicator whose peers hold each change at once.
type allHold struct{}

// AwaitHeld returns the number of peers.
func (allHold) AwaitHeld(_ context.Context, _ carawaybeam.ConfigVersion, peers int) int { return peers }

// TestSettleOverOlderCopy guards against a change that is told as not applied and takes
// effect later, since its condition holds in a later era of the store.
func TestSettleOverOlderCopy(t *testing.T) {
	withPool := func(pool string) []byte {
		return fmt.Appendf(nil, `{"kind":"service","pool":%q,"idempotent":false,`+
			`"targets":{"completed":"2s","completion":"99%%"}}`, pool)
	}
	for name, lost := range map[string]bool{"object as expected": false, "expected version lost": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, ctx, store := is.New(t), t.Context(), storer.New()
				store.SetEra(1)
				a := applier.New(applier.Options{
					Store: store.NewClient(zerolog.Nop()), Configurer: configurer.New(), Replicator: allHold{},
					Log: zerolog.Nop(),
				})
				change := applier.Change{
					ID: "1", Kind: carawaybeam.KindClass, Name: "a", Document: withPool("p"), By: "operator",
				}
				is.Equal(a.Apply(ctx, change).Status, applier.StatusAccepted)
				copied := store.Snapshot()
				if lost {
					change.ID, change.Document = "lost", withPool("q")
					is.Equal(a.Apply(ctx, change).Status, applier.StatusAccepted)
				}
				stored, err := store.Get(ctx, change.Kind, change.Name)
				is.NoErr(err)
				store.SetFault(storer.Fault{Mode: storer.FaultLateWrite, Delay: 12 * time.Second})
				change.ID, change.Document, change.Expect = "late", nil, &stored.Version
				is.Equal(a.Apply(ctx, change).Status, applier.StatusUncertain)
				store.Restore(copied)
				store.SetFault(storer.Fault{})
				settled := a.Settle(ctx, change)
				if lost {
					// The next change gets the version that the late write expects.
					next := applier.Change{
						ID: "next", Kind: change.Kind, Name: change.Name, By: "operator",
						Document: withPool("r"),
					}
					is.Equal(a.Apply(ctx, next).Status, applier.StatusAccepted)
				}
				time.Sleep(15 * time.Second)
				stored, err = store.Get(ctx, change.Kind, change.Name)
				is.NoErr(err)
				took := configurer.Record(stored).Includes("late")
				is.True(!took || settled.Status != applier.StatusNotApplied)
				is.Equal(settled.Status == applier.StatusUncertain, lost)
			})
		})
	}
}
