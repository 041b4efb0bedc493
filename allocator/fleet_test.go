package allocator_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/allocator"
	"github.com/carawaybeam/carawaybeam/fakes/arbiter"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
	"github.com/carawaybeam/carawaybeam/follower"
	"github.com/carawaybeam/carawaybeam/throttler"
)

const (
	// settleTime is the time from the first naming of a limit on at which the rule holds.
	settleTime = 3 * time.Second

	// maxTravel is the longest way of a request to the backend server, and maxAnswerTime
	// the longest time from its arrival to the beginning of the answer, except for late
	// answers.
	maxTravel     = 20 * time.Millisecond
	maxAnswerTime = 400 * time.Millisecond
	lateAnswer    = 2 * time.Second
)

var backend = carawaybeam.BackendIncarnation{ID: "b", Started: 1}

type (
	// fleet is a set of entries with one backend server, without a network.
	fleet struct {
		store *storer.Storer
		wait  sync.WaitGroup
		// rate is the number of requests per second that each entry would send.
		rate float64

		mu      sync.Mutex
		limit   float64
		changes []arbiter.Change
		arrived []arbiter.Arrival
		told    map[arbiter.Sender]time.Time
		entries []*entry
		// found holds the violations of limits that have ended.
		found []string
		// history holds the log lines of all entries, to be kept if a limit was not kept.
		history bytes.Buffer
		log     zerolog.Logger
	}

	// historyWriter writes the log lines of an entry to the history of its fleet.
	historyWriter struct{ fleet *fleet }

	// entry is one incarnation of an entry. The rule counts incarnations of their own.
	entry struct {
		fleet     *fleet
		name      string
		number    arbiter.Sender
		store     *storer.Link
		allocator *allocator.Allocator
		throttler *throttler.Throttler
		follower  *follower.Follower
		cancel    context.CancelFunc
		ctx       context.Context
		frozen    atomic.Bool
		running   sync.WaitGroup
		log       zerolog.Logger
	}
)

// Write adds a log line to the history.
func (w historyWriter) Write(line []byte) (int, error) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return w.fleet.history.Write(line)
}

// logger returns the logger of an entry, or of the fleet.
func (f *fleet) logger(name string) zerolog.Logger {
	return zerolog.New(historyWriter{f}).With().Timestamp().Str("entry", name).Logger()
}

// keepHistory writes the history to a file, since a seed repeats only in part, and returns its path.
func (f *fleet) keepHistory(t *testing.T) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	file, err := os.CreateTemp("", "serverLimit-*.log")
	if err != nil {
		t.Logf("history cannot be kept: %v", err)
		return ""
	}
	_, err = file.Write(f.history.Bytes())
	if err = errors.Join(err, file.Close()); err != nil {
		t.Logf("history cannot be kept: %v", err)
	}
	return file.Name()
}

func newFleet(entries int, rate float64) *fleet {
	f := &fleet{store: storer.New(), rate: rate, limit: math.Inf(1), told: make(map[arbiter.Sender]time.Time)}
	f.log = f.logger("")
	f.store.SetEra(1)
	for i := range entries {
		f.start(fmt.Sprintf("entry-%d", i))
	}
	return f
}

// start starts an incarnation of an entry.
func (f *fleet) start(name string) {
	ctx, cancel := context.WithCancel(context.Background())
	e := &entry{
		fleet: f, name: name, store: storer.NewLink(f.store, 0), ctx: ctx, cancel: cancel, log: f.logger(name),
	}
	clock := func() time.Duration { return time.Since(time.Unix(0, 0)) }
	e.allocator = allocator.New(allocator.Options{
		Store: e.store, Name: name, Clock: clock, Entries: f.size,
		Era: func() carawaybeam.StoreEra {
			era, _ := e.follower.Era()
			return era
		},
		Age: func() (time.Duration, bool) { return e.follower.Age() },
		Log: e.log,
	})
	e.throttler = throttler.New(throttler.Options{
		Shares: e.allocator, InUse: func(carawaybeam.BackendIncarnation) bool { return true }, Log: e.log,
	})
	f.mu.Lock()
	e.number = arbiter.Sender(len(f.entries))
	f.entries = append(f.entries, e)
	f.mu.Unlock()
	ready := make(chan struct{})
	e.follower = follower.New(follower.Options{
		Store: e.store, Kind: carawaybeam.KindLimit, Sink: waitingSink{ready, e.allocator}, Clock: clock,
		Wait: 30 * time.Second, MinInterval: time.Second, Log: e.log,
	})
	close(ready)
	e.running.Go(e.send)
}

// waitingSink passes objects on once the follower is known to the entry.
type waitingSink struct {
	ready <-chan struct{}
	follower.Sink
}

func (s waitingSink) Replace(objects []carawaybeam.Object) {
	<-s.ready
	s.Sink.Replace(objects)
}

func (f *fleet) size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.entries)
}

// send sends requests at random times until the entry ends.
func (e *entry) send() {
	for {
		pause := time.Duration(rand.ExpFloat64() / e.fleet.rate * float64(time.Second))
		select {
		case <-time.After(pause):
		case <-e.ctx.Done():
			return
		}
		if e.frozen.Load() {
			continue
		}
		if now := time.Now(); e.throttler.Status(now, backend).Open() && e.throttler.Take(now, backend) {
			e.fleet.wait.Go(func() { e.exchange(now) })
		}
	}
}

// exchange makes one request. Few answers are late.
func (e *entry) exchange(sent time.Time) {
	f := e.fleet
	time.Sleep(rand.N(maxTravel))
	f.mu.Lock()
	f.arrived = append(f.arrived, arbiter.Arrival{Sender: e.number, At: time.Now()})
	f.mu.Unlock()
	own, all := e.allocator.Shares(backend)
	e.log.Info().Int("own", own).Int("all", all).Msg("fleet: request arrived")
	time.Sleep(rand.N(maxAnswerTime))
	f.mu.Lock()
	var signals carawaybeam.BackendSignals
	if limit := f.limit; !math.IsInf(limit, 1) {
		rate := carawaybeam.RequestRate(limit)
		signals.Limit = &rate
		if _, ok := f.told[e.number]; !ok {
			f.told[e.number] = time.Now()
		}
	}
	f.mu.Unlock()
	travel := rand.N(maxTravel)
	if rand.Float64() < 0.05 {
		travel = rand.N(lateAnswer)
	}
	time.Sleep(travel)
	e.throttler.Observe(backend, throttler.Exchange{Sent: sent, Answered: time.Now()}, signals)
}

// setLimit changes the limit that the backend server names. It is infinite if it names none.
func (f *fleet) setLimit(limit float64) {
	f.log.Info().Str("limit", fmt.Sprint(limit)).Msg("fleet: backend server names another limit")
	if math.IsInf(limit, 1) {
		f.found = append(f.found, f.record().Violations()...)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limit = limit
	f.changes = append(f.changes, arbiter.Change{At: time.Now(), Limit: limit})
	if math.IsInf(limit, 1) {
		clear(f.told)
	}
}

// violations returns the violations of all limits so far.
func (f *fleet) violations() []string { return append(f.found, f.record().Violations()...) }

// stop ends an entry. A killed one gives no shares back.
func (e *entry) stop(killed bool) {
	if killed {
		e.store.SetCut(true)
	}
	e.cancel()
	e.running.Wait()
	_ = e.follower.Close()
	_ = e.allocator.Close()
}

// freeze suspends an entry: it neither sends requests nor reaches the store.
func (e *entry) freeze(duration time.Duration) {
	e.frozen.Store(true)
	e.store.SetCut(true)
	time.Sleep(duration)
	e.store.SetCut(false)
	e.frozen.Store(false)
}

func (f *fleet) close() {
	for _, e := range f.entries {
		e.stop(false)
	}
	f.wait.Wait()
}

// record returns the record of the present limit, in order of arrival.
func (f *fleet) record() arbiter.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	slices.SortFunc(f.arrived, func(a, b arbiter.Arrival) int { return a.At.Compare(b.At) })
	return arbiter.Record{
		Changes: slices.Clone(f.changes), Arrivals: slices.Clone(f.arrived), Told: maps.Clone(f.told),
		SettleTime: settleTime,
	}
}

// arrivedSince returns the number of requests since a time.
func (f *fleet) arrivedSince(at time.Time) int {
	count := 0
	for _, a := range f.record().Arrivals {
		if a.At.After(at) {
			count++
		}
	}
	return count
}
