package warmer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/enroller"
	"github.com/carawaybeam/carawaybeam/evacuator"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
	"github.com/carawaybeam/carawaybeam/follower"
	"github.com/carawaybeam/carawaybeam/warmer"
)

const (
	kindServer     carawaybeam.StoreKind = "testServers"
	kindEvacuation carawaybeam.StoreKind = "testEvacuations"

	// renewTime is how often backend servers renew their announcements.
	renewTime = 1200 * time.Millisecond

	// unnoticedTime is how long a backend server may have become cold, without having been started or
	// evacuated, before the rule holds: the age up to which announcements count, and two renewals.
	unnoticedTime = 6500 * time.Millisecond

	// evacuationTime is the time from the acknowledgement of an evacuation on at which it is in force.
	evacuationTime = 5 * time.Second

	// maxTravel is the longest way of a request to a backend server.
	maxTravel = 20 * time.Millisecond

	serversPerDataCentre = 3
)

var dataCentres = []carawaybeam.DataCentre{"dc0", "dc1"}

type (
	// fleet is a set of entries in front of backend servers in two data centres, without a network.
	fleet struct {
		store *storer.Storer
		pool  carawaybeam.Pool
		// demand is the number of requests per second that each entry would send.
		demand float64
		wait   sync.WaitGroup
		ctx    context.Context
		cancel context.CancelFunc

		mu      sync.Mutex
		servers []*fakeServer
		entries []*fakeEntry
		// evacuated holds since when data centres are evacuated.
		evacuated map[carawaybeam.DataCentre]time.Time
		// operated holds the data centres whose evacuations are being set or lifted, or in force.
		operated map[carawaybeam.DataCentre]bool
		// storeDisturbed is until when the store was disturbed last.
		storeDisturbed time.Time
		// evacuationRuns counts the requests to data centres whose evacuation is in force.
		evacuationRuns int
		arrived        int
	}

	// fakeServer is a backend server. Its incarnations share a name.
	fakeServer struct {
		id         carawaybeam.BackendID
		dataCentre carawaybeam.DataCentre
		started    int64
		coldUntil  time.Time
		// countsFrom is from when the rule holds for the present cold time, and counted are the
		// requests since.
		countsFrom time.Time
		counted    []time.Time
		violations int
	}

	announced struct {
		Started    int64                  `json:"started"`
		DataCentre carawaybeam.DataCentre `json:"dataCentre"`
		ColdMs     int64                  `json:"coldMs"`
	}

	// fakeEntry is one incarnation of an entry.
	fakeEntry struct {
		fleet       *fleet
		name        string
		store       *storer.Link
		set         *enroller.EntrySet
		enroller    *enroller.Enroller
		evacuator   *evacuator.Evacuator
		warmer      *warmer.Warmer
		instances   atomic.Pointer[follower.Follower]
		followers   []*follower.Follower
		ctx         context.Context
		cancel      context.CancelFunc
		running     sync.WaitGroup
		frozen      atomic.Bool
		disturbed   time.Time
		mu          sync.Mutex
		known       map[carawaybeam.BackendID]carawaybeam.Instance
		hasReadThem bool
	}
)

// newTestFleet returns a fleet whose demand on each backend server is well above what a cold one
// sustains.
func newTestFleet(entries int, rate carawaybeam.RequestRate) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	servers := serversPerDataCentre * len(dataCentres)
	f := &fleet{
		store:  storer.New(),
		pool:   carawaybeam.Pool{ID: "pool", ColdRate: rate, ColdStart: 8 * time.Second},
		demand: (3*float64(rate) + 20) * float64(servers) / float64(entries),
		ctx:    ctx, cancel: cancel, evacuated: make(map[carawaybeam.DataCentre]time.Time),
		operated: make(map[carawaybeam.DataCentre]bool),
	}
	f.store.SetEra(1)
	for i := range servers {
		server := &fakeServer{
			id: carawaybeam.BackendID(fmt.Sprintf("s%d", i)), dataCentre: dataCentres[i%len(dataCentres)],
			started: time.Now().Add(-time.Hour).UnixMilli(),
		}
		f.servers = append(f.servers, server)
		f.wait.Go(func() { f.renew(server) })
	}
	time.Sleep(time.Millisecond)
	for i := range entries {
		f.start(fmt.Sprintf("entry-%d", i))
	}
	return f
}

// write writes an object, or deletes it if value is nil, until the store acknowledges it.
func (f *fleet) write(kind carawaybeam.StoreKind, name string, value []byte) {
	for f.ctx.Err() == nil {
		stored, err := f.store.Get(f.ctx, kind, name)
		if value == nil {
			if err == nil {
				_, err = f.store.Delete(f.ctx, kind, name, stored.Version)
			} else if stored.Version == 0 && isMissing(err) {
				return
			}
		} else {
			_, err = f.store.Put(f.ctx, carawaybeam.Object{Kind: kind, Name: name, Value: value}, stored.Version)
		}
		if err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func isMissing(err error) bool {
	failed, ok := err.(*carawaybeam.StoreError) //nolint:errorlint // The stand-in does not wrap it.
	return ok && failed.Failure == carawaybeam.StoreNotFound
}

// renew announces a backend server until the fleet ends. At times it repeats the announcement before.
func (f *fleet) renew(server *fakeServer) {
	var before []byte
	for f.ctx.Err() == nil {
		f.mu.Lock()
		value, _ := json.Marshal(announced{
			Started: server.started, DataCentre: server.dataCentre,
			ColdMs: max(0, time.Until(server.coldUntil).Milliseconds()),
		})
		f.mu.Unlock()
		value, before = repeated(before, value), value
		ctx, cancel := context.WithTimeout(f.ctx, time.Second)
		if stored, err := f.store.Get(ctx, kindServer, string(server.id)); err == nil || isMissing(err) {
			object := carawaybeam.Object{Kind: kindServer, Name: string(server.id), Value: value}
			_, _ = f.store.Put(ctx, object, stored.Version)
		}
		cancel()
		select {
		case <-time.After(renewTime):
		case <-f.ctx.Done():
		}
	}
}

// repeated returns the announcement before, if there is one, or the present one.
func repeated(before, present []byte) []byte {
	if before != nil && rand.IntN(3) == 0 {
		return before
	}
	return present
}

// chill makes a backend server cold. The rule holds after a time. The caller holds mu.
func (s *fakeServer) chill(duration, after time.Duration) {
	now := time.Now()
	if now.Before(s.coldUntil) {
		if after == 0 {
			s.coldUntil = now.Add(max(duration, time.Until(s.coldUntil)))
		}
		return
	}
	s.coldUntil, s.countsFrom, s.counted = now.Add(duration), now.Add(after), nil
}

// arrive records a request that has reached a backend server. The caller holds mu.
func (s *fakeServer) arrive(rate carawaybeam.RequestRate) {
	now := time.Now()
	if now.Before(s.countsFrom) || !now.Before(s.coldUntil) {
		return
	}
	s.counted = slices.DeleteFunc(s.counted, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	s.counted = append(s.counted, now)
	if float64(len(s.counted)) > float64(rate)*overshoot+slack {
		s.violations++
	}
}

// start starts an incarnation of an entry.
func (f *fleet) start(name string) {
	ctx, cancel := context.WithCancel(f.ctx)
	e := &fakeEntry{
		fleet: f, name: name, store: storer.NewLink(f.store, time.Second), ctx: ctx, cancel: cancel,
		set: enroller.NewEntrySet(zerolog.Nop()), evacuator: evacuator.New(evacuator.Options{Log: zerolog.Nop()}),
		known: make(map[carawaybeam.BackendID]carawaybeam.Instance),
	}
	clock := func() time.Duration { return time.Since(time.Unix(0, 0)) }
	e.warmer = warmer.New(warmer.Options{
		Name: name, Entries: e.set, EndedAt: e.evacuator.EndedAt, Clock: clock, Log: zerolog.Nop(),
		Pool: func(carawaybeam.PoolID) *carawaybeam.Pool { return &f.pool },
		Age: func() (time.Duration, bool) {
			if following := e.instances.Load(); following != nil {
				return following.Age()
			}
			return 0, false
		},
	})
	follow := func(kind carawaybeam.StoreKind, sink follower.Sink, wait, interval time.Duration) *follower.Follower {
		started := follower.New(follower.Options{
			Store: e.store, Kind: kind, Sink: sink, Clock: clock, Wait: wait, MinInterval: interval, Log: zerolog.Nop(),
		})
		e.followers = append(e.followers, started)
		return started
	}
	follow(carawaybeam.KindEntry, e.set, 30*time.Second, 2*time.Second)
	follow(kindEvacuation, e.evacuator, 1500*time.Millisecond, 0)
	e.instances.Store(follow(kindServer, e, 1500*time.Millisecond, 200*time.Millisecond))
	e.enroller = enroller.New(enroller.Options{
		Store: e.store, Entry: enroller.Entry{Name: name}, Entries: e.set, Log: zerolog.Nop(),
	})
	f.mu.Lock()
	f.entries = append(f.entries, e)
	f.mu.Unlock()
	e.running.Go(e.send)
	e.running.Go(func() {
		for e.ctx.Err() == nil {
			time.Sleep(time.Second)
			if !e.frozen.Load() {
				e.warmer.Review(e.warmer.Now(), func(carawaybeam.BackendIncarnation) bool { return true })
			}
		}
	})
}

// Replace receives all announcements.
func (e *fakeEntry) Replace(objects []carawaybeam.Object) { e.Apply(objects) }

// Apply receives changed announcements.
func (e *fakeEntry) Apply(objects []carawaybeam.Object) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, o := range objects {
		var a announced
		if o.Deleted || json.Unmarshal(o.Value, &a) != nil {
			continue
		}
		instance := carawaybeam.Instance{
			BackendIncarnation: carawaybeam.BackendIncarnation{ID: carawaybeam.BackendID(o.Name), Started: a.Started},
			Pool:               "pool", DataCentre: a.DataCentre,
		}
		e.known[instance.ID] = instance
		e.warmer.Announce(e.warmer.Now(), instance, says(time.Duration(a.ColdMs)*time.Millisecond))
	}
	e.hasReadThem = true
}

// send sends requests at random times to random backend servers until the entry ends.
func (e *fakeEntry) send() {
	for {
		pause := time.Duration(rand.ExpFloat64() / e.fleet.demand * float64(time.Second))
		select {
		case <-time.After(pause):
		case <-e.ctx.Done():
			return
		}
		if e.frozen.Load() || !e.evacuator.Loaded() {
			continue
		}
		server := e.fleet.servers[rand.IntN(len(e.fleet.servers))]
		e.mu.Lock()
		instance, ok := e.known[server.id]
		e.mu.Unlock()
		if ok && !e.evacuator.Evacuated(instance.DataCentre) && e.warmer.Take(e.warmer.Now(), instance) {
			e.fleet.wait.Go(func() { e.fleet.exchange(e, server, instance) })
		}
	}
}

// exchange makes a request reach a backend server, unless another incarnation runs there.
func (f *fleet) exchange(e *fakeEntry, server *fakeServer, instance carawaybeam.Instance) {
	time.Sleep(rand.N(maxTravel))
	f.mu.Lock()
	defer f.mu.Unlock()
	if server.started != instance.Started {
		return
	}
	f.arrived++
	server.arrive(f.pool.ColdRate)
	since, ok := f.evacuated[server.dataCentre]
	now := time.Now()
	inContact := !e.store.IsCut() && now.Sub(e.disturbed) > evacuationTime &&
		now.Sub(f.storeDisturbed) > evacuationTime
	if ok && now.Sub(since) > evacuationTime+maxTravel && inContact {
		f.evacuationRuns++
	}
}

// evacuate evacuates a data centre for a time. Its backend servers are cold afterwards.
func (f *fleet) evacuate(dataCentre carawaybeam.DataCentre, duration time.Duration) {
	f.mu.Lock()
	running := f.operated[dataCentre]
	f.operated[dataCentre] = true
	f.mu.Unlock()
	if running {
		return
	}
	f.write(kindEvacuation, string(dataCentre), []byte(`{}`))
	f.mu.Lock()
	f.evacuated[dataCentre] = time.Now()
	f.mu.Unlock()
	time.Sleep(duration)
	// If the store may have come back from a copy without the evacuation, it has ended before. The
	// backend servers get cold like any other then.
	after := time.Duration(0)
	if _, err := f.store.Get(f.ctx, kindEvacuation, string(dataCentre)); err != nil {
		after = unnoticedTime
	}
	f.mu.Lock()
	delete(f.evacuated, dataCentre)
	for _, server := range f.servers {
		if server.dataCentre == dataCentre {
			server.chill(12*time.Second, after)
		}
	}
	f.mu.Unlock()
	f.write(kindEvacuation, string(dataCentre), nil)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.operated[dataCentre] = false
}

// disturbStore makes the store fail for a time.
func (f *fleet) disturbStore(fault storer.Fault, duration time.Duration) {
	f.markStore(duration)
	f.store.SetFault(fault)
	time.Sleep(duration)
	f.store.SetFault(storer.Fault{})
	f.markStore(0)
}

// markStore records that the store is disturbed for a time from now on.
func (f *fleet) markStore(duration time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if until := time.Now().Add(duration); until.After(f.storeDisturbed) {
		f.storeDisturbed = until
	}
}

// disturb cuts an entry off from the store, and suspends it too if frozen is set.
func (e *fakeEntry) disturb(duration time.Duration, frozen bool) {
	e.store.SetCut(true)
	e.frozen.Store(frozen)
	time.Sleep(duration)
	e.frozen.Store(false)
	e.store.SetCut(false)
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.disturbed = time.Now()
}

// stop ends an entry. A killed one stays enrolled.
func (e *fakeEntry) stop(killed bool) {
	e.cancel()
	e.running.Wait()
	if killed {
		e.store.SetCut(true)
	}
	_ = e.enroller.Close()
	for _, following := range e.followers {
		_ = following.Close()
	}
}

func (f *fleet) close() {
	f.store.SetFault(storer.Fault{})
	for _, e := range f.entries {
		if e.ctx.Err() == nil {
			e.stop(false)
		}
	}
	f.cancel()
	f.wait.Wait()
}

// coldViolations returns the number of requests above what cold backend servers sustain.
func (f *fleet) coldViolations() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, server := range f.servers {
		count += server.violations
	}
	return count
}
