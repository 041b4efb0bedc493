package tracker_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/dispatcher"
	"github.com/carawaybeam/carawaybeam/fakes/assembler"
	"github.com/carawaybeam/carawaybeam/fakes/linker"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/prover"
)

const (
	// leaveBound is the time after the start of a drain from which a backend
	// server must get no new work.
	leaveBound = 3 * time.Second

	listLag = time.Minute

	// observationTime is how long the calls of a draining backend server are
	// counted after leaveBound.
	observationTime = 12 * time.Second
)

// traffic sends requests through all entries until stopped.
type traffic struct {
	assembler *assembler.Assembler
	wait      sync.WaitGroup
	stop      context.CancelFunc

	mu       sync.Mutex
	answered int
	refused  int
}

func newTraffic(t *testing.T, a *assembler.Assembler) *traffic {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	f := &traffic{assembler: a, stop: cancel}
	for i := range a.Entries {
		f.wait.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				f.wait.Go(func() { f.send(i, fmt.Sprintf("%d-%d", i, n)) })
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	return f
}

func (f *traffic) send(entry int, body string) {
	var answer assembler.Answer
	failure := f.assembler.Entries[entry].Dispatcher.Do(context.Background(), dispatcher.Request{
		ID:           carawaybeam.NewRequestID(),
		Class:        carawaybeam.Class{ID: "lookups", Kind: carawaybeam.WorkService, Pool: assembler.Pool},
		Organisation: "org", Method: "POST", Path: "/", Body: []byte(body),
		Deadline: time.Now().Add(20 * time.Second),
	}, &answer)
	f.mu.Lock()
	defer f.mu.Unlock()
	if failure == nil && answer.Body.String() == assembler.FullAnswer(body) {
		f.answered++
	} else {
		f.refused++
	}
}

// end stops the traffic and returns how many requests were answered and how
// many were not.
func (f *traffic) end() (answered, refused int) {
	f.stop()
	f.wait.Wait()
	return f.answered, f.refused
}

func TestPromiseLeavingServerGetsNoNewWork(t *testing.T) {
	trials, violations, unanswered := 0, 0, 0
	for seed := range prover.Seeds() {
		t.Run(fmt.Sprint("seed", seed+1), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, broken, refused := leave(t, rand.New(rand.NewPCG(uint64(seed+1), 0)))
				trials += n
				violations += broken
				unanswered += refused
			})
		})
	}
	prover.Report(t, prover.LeavingServer, trials, violations)
	if unanswered > 0 {
		t.Errorf("%d requests got no answer though other backend servers were up", unanswered)
	}
}

// leave drains some backend servers at random times, while the list of VMs is a
// minute out of date and the heartbeats of some agents are lost. It counts the
// backend servers that took work after leaveBound.
func leave(t *testing.T, draw *rand.Rand) (trials, violations, refused int) {
	t.Helper()
	a := assembler.New(assembler.Options{Entries: 3, Agents: 6, Concurrency: 100, PartTime: 20 * time.Millisecond})
	a.Store.SetListLag(listLag)
	f := newTraffic(t, a)
	var drains sync.WaitGroup
	for i := range 3 {
		time.Sleep(time.Duration(draw.IntN(5000)) * time.Millisecond)
		until := time.Now().Add(time.Duration(draw.IntN(10000)) * time.Millisecond)
		a.Network.SetInjector(dropHeartbeats(a.Slots[i].VM.Address, until))
		begun := time.Now()
		drains.Go(func() {
			if err := a.DrainAgent(t.Context(), i); err != nil {
				t.Error(err)
			}
		})
		time.Sleep(time.Until(begun.Add(leaveBound)))
		before := a.Slots[i].Backend.Calls()
		trials++
		drains.Go(func() {
			time.Sleep(observationTime)
			if late := a.Slots[i].Backend.Calls() - before; late > 0 {
				t.Logf("backend server %d took %d calls too late", i, late)
				violations++
			}
		})
	}
	drains.Wait()
	_, refused = f.end()
	if err := a.Close(); err != nil {
		t.Error(err)
	}
	return trials, violations, refused
}

// dropHeartbeats drops the heartbeats of an agent until the given time.
func dropHeartbeats(address carawaybeam.Address, until time.Time) linker.Injector {
	return func(to carawaybeam.Address, _ linker.Direction, frame *framer.Frame) linker.Decision {
		silent := to == address && time.Now().Before(until) && frame.GetHeartbeat() != nil
		return linker.Decision{Drop: silent}
	}
}

func TestWrongListDropsNoConnectedAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := assembler.New(assembler.Options{Entries: 2, Agents: 4, Concurrency: 100, PartTime: 20 * time.Millisecond})
		f := newTraffic(t, a)
		a.Store.SetVMs(nil)
		time.Sleep(2 * time.Minute)
		a.Store.SetVMs([]carawaybeam.VM{a.Slots[0].VM})
		time.Sleep(2 * time.Minute)
		answered, refused := f.end()
		is.True(answered > 0)
		is.Equal(refused, 0)
		is.Equal(len(a.Entries[0].Tracker.All()), 4)
		is.NoErr(a.KillAgent(2)) // neither listed nor reachable
		time.Sleep(2 * time.Minute)
		is.Equal(len(a.Entries[0].Tracker.All()), 3)
		is.NoErr(a.Close())
	})
}

func TestReplacedVMAtSameAddressGetsWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := assembler.New(assembler.Options{Entries: 1, Agents: 1, Concurrency: 100, PartTime: 20 * time.Millisecond})
		a.Slots[0].VM.State = carawaybeam.VMLeaving
		a.PublishVMs()
		time.Sleep(5 * time.Second)
		is.True(a.Entries[0].Tracker.All()[0].Leaving)
		is.NoErr(a.KillAgent(0))
		a.StartAgent(0) // the list still contains the previous VM
		a.Slots[0].VM.ID = "vm-new"
		a.Slots[0].VM.State = carawaybeam.VMLive
		a.PublishVMs()
		time.Sleep(5 * time.Second)
		members := a.Entries[0].Tracker.Members(assembler.Pool)
		is.Equal(len(members), 1)
		is.True(members[0].Linked && !members[0].Leaving)
		f := newTraffic(t, a)
		time.Sleep(time.Second)
		answered, refused := f.end()
		is.True(answered > 0)
		is.Equal(refused, 0)
		is.NoErr(a.Close())
	})
}
