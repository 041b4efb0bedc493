package applier_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/applier"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/dispatcher"
	"github.com/carawaybeam/carawaybeam/fakes/assembler"
	"github.com/carawaybeam/carawaybeam/fakes/linker"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/prover"
)

// TestPromiseConfigInForceAtFirstContact checks that an entry with a stale
// configuration catches up when an agent refuses its request. The entry is cut off
// from the store and all other entries, and the heartbeats and deltas of its agents
// are dropped, so that nothing else informs it of the change.
func TestPromiseConfigInForceAtFirstContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3, 2)
		change := func(target time.Duration) applier.Result {
			return f.entries[0].Load().applier.Apply(t.Context(), applier.Change{
				ID: configurer.NewChangeID(), Kind: carawaybeam.KindClass, Name: "a", Document: classDocument(target),
			})
		}
		org := []byte(`{"tokenHash":"` + configurer.HashToken("t") + `"}`)
		f.entries[0].Load().applier.Apply(t.Context(), applier.Change{
			ID: configurer.NewChangeID(), Kind: carawaybeam.KindOrganisation, Name: "org", Document: org,
		})
		is.Equal(change(2*time.Second).Status, applier.StatusAccepted)
		time.Sleep(time.Second)

		cut := f.entries[2].Load()
		cut.store.cut.Store(true)
		f.cutPeers(2, true)
		until := time.Now().Add(2 * time.Second)
		f.network.SetInjector(func(_ carawaybeam.Address, to linker.Direction, frame *framer.Frame) linker.Decision {
			update := frame.GetHeartbeat() != nil || frame.GetConfigDelta() != nil
			return linker.Decision{
				Drop:    update && to == linker.ToDialer && time.Now().Before(until),
				Latency: linkDelay,
			}
		})
		is.Equal(change(3*time.Second).Status, applier.StatusAccepted)
		time.Sleep(500 * time.Millisecond)
		old, _ := cut.configurer.Class("a")
		is.Equal(old.Targets.Completed, 2*time.Second) // the entry does not know of the change yet

		var answer assembler.Answer
		started := time.Now()
		failure := cut.dispatcher.Do(t.Context(), dispatcher.Request{
			ID: carawaybeam.NewRequestID(), Class: old, Organisation: "org", Method: "POST", Path: "/",
			Body: []byte("body"), Deadline: time.Now().Add(8 * time.Second), ConfigVersion: cut.configurer.Version(),
		}, &answer)
		now, _ := cut.configurer.Class("a")
		violations := 0
		if now.Targets.Completed != 3*time.Second {
			violations++ // the request was served under the old configuration
		}
		t.Log("answered after", time.Since(started))
		is.NoErr(f.close())
		prover.Report(t, prover.ConfigInForce, 1, violations)
		is.True(failure == nil)
		is.Equal(answer.Body.String(), assembler.FullAnswer("body"))
	})
}
