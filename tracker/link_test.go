package tracker_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/fakes/assembler"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/tracker"
)

// failingLister is a platform whose list of VMs cannot be read.
type failingLister struct{}

func (failingLister) List(context.Context) ([]carawaybeam.VM, error) { return nil, io.ErrUnexpectedEOF }

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

// TestStreamIsNotOpenedOnEndingLink checks that no request is sent over a link that a
// change of the subset ends at the same moment, which would close it on the request.
func TestStreamIsNotOpenedOnEndingLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := assembler.New(assembler.Options{Agents: 4, Concurrency: 1, PartTime: time.Millisecond})
		vms := make([]carawaybeam.VM, 0, len(a.Slots))
		for _, s := range a.Slots {
			vms = append(vms, s.VM)
		}
		for i := range vms {
			tr := tracker.New(tracker.Options{
				Process: "entry", Lister: failingLister{}, Dialer: a.Network, Config: configurer.New(),
				SubsetSize: 1, MaxFullPool: 1, Log: zerolog.Nop(),
			})
			tr.ApplyList(vms[i : i+1])
			time.Sleep(time.Second)
			is.Equal(linked(tr), 1)
			tr.ApplyList(vms)
			stream, err := tr.Open(t.Context(), carawaybeam.BackendID(fmt.Sprintf("desk-%d", i)))
			if err == nil {
				time.Sleep(time.Millisecond)
				is.NoErr(stream.Send(&framer.Frame{Body: &framer.Frame_KeepAlive{KeepAlive: &framer.KeepAlive{}}}))
				is.NoErr(stream.Close())
			}
			is.NoErr(tr.Close())
		}
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
