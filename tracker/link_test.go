package tracker_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/fakes/assembler"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/tracker"
)

func linked(tr *tracker.Tracker) int {
	n := 0
	for _, m := range tr.All() {
		if m.Linked {
			n++
		}
	}
	return n
}

// TestLateTimeoutLeavesNewLink checks that a stream which times out on a link that has
// been replaced does not end the streams on the new one.
func TestLateTimeoutLeavesNewLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := assembler.New(assembler.Options{Agents: 1, Concurrency: 1, PartTime: time.Millisecond})
		tr := tracker.New(tracker.Options{
			Process: "entry", Lister: a.Store.VMList(), Dialer: a.Network, Config: configurer.New(), Log: zerolog.Nop(),
		})
		time.Sleep(10 * time.Second)
		old, err := tr.Open(t.Context(), "desk-0")
		is.NoErr(err)
		a.Network.Cut(a.Slots[0].VM.Address)
		time.Sleep(time.Second)
		stream, err := tr.Open(t.Context(), "desk-0")
		is.NoErr(err)
		tr.ReportUnresponsive(old)
		time.Sleep(time.Millisecond)
		is.NoErr(stream.Send(&framer.Frame{Body: &framer.Frame_KeepAlive{KeepAlive: &framer.KeepAlive{}}}))
		is.NoErr(old.Close())
		is.NoErr(stream.Close())
		is.NoErr(tr.Close())
		is.NoErr(a.Close())
	})
}

func TestAgentOutsideSubsetIsReachedOnDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := assembler.New(assembler.Options{Agents: 4, Concurrency: 1, PartTime: time.Millisecond})
		tr := tracker.New(tracker.Options{
			Process: "entry", Lister: a.Store.VMList(), Dialer: a.Network, Config: configurer.New(),
			SubsetSize: 1, MaxFullPool: 1, Log: zerolog.Nop(),
		})
		time.Sleep(10 * time.Second)
		is.Equal(linked(tr), 1)
		begun := time.Now()
		is.True(tr.EnsureLink(t.Context(), assembler.Pool, "desk-0"))
		is.True(tr.EnsureLink(t.Context(), assembler.Pool, "desk-1"))
		is.True(tr.EnsureLink(t.Context(), assembler.Pool, "desk-2"))
		is.True(tr.EnsureLink(t.Context(), assembler.Pool, "desk-3"))
		is.True(time.Since(begun) < time.Second)
		stream, err := tr.Open(t.Context(), "desk-3")
		is.NoErr(err)
		is.True(!tr.EnsureLink(t.Context(), assembler.Pool, "desk-9"))
		time.Sleep(10 * time.Minute)
		is.Equal(linked(tr), 2) // the link in use is kept, the other pinned ones have ended
		is.NoErr(stream.Close())
		is.NoErr(stream.Close())
		time.Sleep(time.Minute)
		is.Equal(linked(tr), 1)
		is.NoErr(tr.Close())
		is.NoErr(a.Close())
	})
}
