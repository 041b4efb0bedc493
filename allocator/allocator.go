// Package allocator divides the request limits of backend servers among the entries.
//
// A limit consists of shares, each of which is an object in the platform's store that one
// entry holds at a time as a lease. Only holders send requests to the backend server. The
// bound on all requests therefore holds whatever the entries know of each other: with each
// change of its holder a share begins without a request that is allowed.
//
// The time of leases is taken from a clock that includes the time for which the VM was
// suspended. A holder counts from before its last write, and another entry from when it
// first read the object, so that the first always ends earlier.
package allocator

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/pacer"
)

const (
	// leaseTime is how long a holder uses a share after its last successful write.
	leaseTime = 5 * time.Second

	// renewInterval is how often a holder writes its share again.
	renewInterval = 1500 * time.Millisecond

	// takeoverTime is how long the object of a share must not have changed until
	// another entry takes the share over.
	takeoverTime = leaseTime + time.Second

	// idleTime is how long a request could have been sent with a share, and none was,
	// until its holder gives it back.
	idleTime = 3 * time.Second

	// demandTime is how long a request that found no share, or none left, counts as
	// demand for one.
	demandTime = time.Second

	// growInterval is the minimum time between two attempts of an entry to take shares
	// of the same limit if it has as many as the others would leave it, or the last one
	// failed.
	growInterval = time.Second

	// freshTime is how long what this entry was told of a limit is recent enough to take
	// shares of it, confirmedTime how long what another entry has written is.
	freshTime     = 2 * time.Second
	confirmedTime = 3 * time.Second

	// maxAcquireDelay bounds the random delay before a share is taken, so that not all
	// entries write at the same time.
	maxAcquireDelay = 150 * time.Millisecond

	// stepInterval is how often shares are checked while there are any.
	stepInterval = 200 * time.Millisecond

	// callTimeout is the timeout of one call to the store. closeTimeout is that of all
	// calls which give shares back at a stop.
	callTimeout  = 2 * time.Second
	closeTimeout = 500 * time.Millisecond

	// maxShareRate is the highest rate of one share, and maxShares the highest number
	// of shares of a limit, which may have higher rates.
	maxShareRate = 2
	maxShares    = 64

	// sweepTime is how long the object of a share must not have changed until any entry
	// deletes it, and maxSweepDelay bounds a random delay that each entry adds.
	sweepTime     = 30 * time.Second
	maxSweepDelay = 30 * time.Second
)

type (
	// Options configures an Allocator.
	Options struct {
		Store carawaybeam.Store
		// Name is the name of this entry.
		Name string
		// Clock returns the time since some fixed moment, including the time for which
		// the VM was suspended.
		Clock func() time.Duration
		// Entries returns the number of entries, or 0 if it is not known. It only
		// balances the shares.
		Entries func() int
		// Era returns the era of the store in which the objects were read last, and Age
		// how long ago they were known to be the newest.
		Era func() carawaybeam.StoreEra
		Age func() (time.Duration, bool)
		Log zerolog.Logger
	}

	// Allocator holds the shares of one entry until Close. A follower of the store
	// passes it the objects of all shares through Replace and Apply. It is safe for
	// concurrent use.
	Allocator struct {
		options     Options
		incarnation carawaybeam.Incarnation
		ctx         context.Context
		cancel      context.CancelFunc
		wait        sync.WaitGroup
		// wake makes the goroutine check the shares at once.
		wake chan struct{}

		mu     sync.Mutex
		closed bool
		// own holds the shares that this entry holds or is about to take.
		own map[shareID]*share
		// stored holds the objects of all shares as they were read last.
		stored map[shareID]storedShare
		// backends holds the indexes of the stored shares of each backend server.
		backends map[carawaybeam.BackendIncarnation]map[int]struct{}
		demand   map[carawaybeam.BackendIncarnation]*demand
		// toldBy holds when the request was sent whose answer named the limit last.
		toldBy map[carawaybeam.BackendIncarnation]time.Duration
		loaded bool
		era    carawaybeam.StoreEra
		// absentFrom is when the absence of an object begins to mean that no entry holds
		// the share.
		absentFrom time.Duration
	}

	// shareID identifies one share of the limit of a backend server.
	shareID struct {
		backend carawaybeam.BackendIncarnation
		index   int
	}

	// share is a share that this entry holds.
	share struct {
		limit carawaybeam.RequestRate
		// held is set once the share was taken. It can be used until validUntil.
		held       bool
		validUntil time.Duration
		version    carawaybeam.StoreVersion
		renewal    uint64
		// takenAt is when the share was taken. confirmed is set once this entry was told
		// the limit since.
		takenAt   time.Duration
		confirmed bool
		// writtenAt is when the object was last written, and written its value.
		writtenAt time.Duration
		written   value
		// failed is set if the last write failed.
		failed bool
		// calling is set while a call to the store is running.
		calling bool
		// ended is set once the limit has ended, and surplus if it has fewer shares now.
		ended, surplus bool
		// pacer paces the requests. It is nil until the share is held.
		pacer *pacer.Pacer
	}

	// demand is the demand for shares of a limit.
	demand struct {
		limit carawaybeam.RequestRate
		// at is when a request last could have been sent, and unmetAt when one was not.
		at, unmetAt time.Duration
		// tookAt is when this entry last tried to take a share. failed is set if the
		// store did not take it.
		tookAt time.Duration
		failed bool
	}
)

// New returns an Allocator without shares.
func New(options Options) *Allocator {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Allocator{
		options:     options,
		incarnation: carawaybeam.NewIncarnation(),
		ctx:         ctx,
		cancel:      cancel,
		wake:        make(chan struct{}, 1),
		own:         make(map[shareID]*share),
		stored:      make(map[shareID]storedShare),
		backends:    make(map[carawaybeam.BackendIncarnation]map[int]struct{}),
		demand:      make(map[carawaybeam.BackendIncarnation]*demand),
		toldBy:      make(map[carawaybeam.BackendIncarnation]time.Duration),
	}
	a.wait.Go(a.run)
	return a
}

// Close gives all shares back and stops the Allocator. The error is always nil: shares
// that cannot be given back lapse.
func (a *Allocator) Close() error {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.cancel()
	a.wait.Wait()
	// No other goroutine uses the shares from here on, except for requests, which find
	// none that can be used.
	a.mu.Lock()
	held := maps.Clone(a.own)
	clear(a.own)
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for id, s := range held {
		if s.held {
			a.wait.Go(func() { a.delete(ctx, id, s.version) })
		}
	}
	a.wait.Wait()
	return nil
}

// sharesOf returns the number of shares of a limit and the rate of each.
func sharesOf(limit carawaybeam.RequestRate) (shares int, rate carawaybeam.RequestRate) {
	total := max(limit, pacer.MinRate)
	shares = int(min(math.Ceil(float64(total/maxShareRate)), maxShares))
	return shares, total / carawaybeam.RequestRate(shares)
}

// instant returns a reading of the clock in the form that package pacer uses.
func instant(clock time.Duration) time.Time { return time.Unix(0, int64(clock)) }

// Take takes one request from the shares that this entry holds of a limit. It returns false
// if there is none, and then the Allocator tries to get a share.
func (a *Allocator) Take(backend carawaybeam.BackendIncarnation, limit carawaybeam.RequestRate) bool {
	now := a.options.Clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setLimit(now, backend, limit)
	if s, _ := a.nextShare(now, backend, limit); s != nil && s.pacer.Take(instant(now)) {
		return true
	}
	a.demand[backend].unmetAt = now
	a.wakeUp()
	return false
}

// NextIn returns in what time the shares that this entry holds of a limit allow a request. It
// returns false if this entry holds none.
func (a *Allocator) NextIn(
	backend carawaybeam.BackendIncarnation,
	limit carawaybeam.RequestRate,
) (time.Duration, bool) {
	now := a.options.Clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setLimit(now, backend, limit)
	s, wait := a.nextShare(now, backend, limit)
	if s == nil || wait > 0 {
		a.demand[backend].unmetAt = now
		a.wakeUp()
	}
	return wait, s != nil
}

// setLimit records the demand for a limit and applies a changed one to the shares that this
// entry holds. The caller holds mu.
func (a *Allocator) setLimit(
	now time.Duration,
	backend carawaybeam.BackendIncarnation,
	limit carawaybeam.RequestRate,
) {
	d := a.demand[backend]
	if d == nil {
		d = &demand{unmetAt: now - 2*demandTime, tookAt: now - growInterval}
		a.demand[backend] = d
	}
	changed := d.limit != limit
	d.limit, d.at = limit, now
	if !changed {
		return
	}
	shares, rate := sharesOf(limit)
	for id, s := range a.own {
		if id.backend != backend {
			continue
		}
		if s.held {
			s.pacer.SetRate(instant(now), rate)
		}
		s.limit, s.surplus = limit, id.index >= shares
	}
	a.wakeUp()
}

// nextShare returns the own share that allows a request next, and in what time, or nil if there
// is none. The caller holds mu.
func (a *Allocator) nextShare(
	now time.Duration,
	backend carawaybeam.BackendIncarnation,
	limit carawaybeam.RequestRate,
) (*share, time.Duration) {
	var (
		best     *share
		bestWait time.Duration
	)
	shares, _ := sharesOf(limit)
	for index := range shares {
		s := a.own[shareID{backend: backend, index: index}]
		if s == nil || !s.usable(now) {
			continue
		}
		if wait := s.pacer.NextIn(instant(now)); best == nil || wait < bestWait {
			best, bestWait = s, wait
		}
	}
	return best, bestWait
}

// usable reports whether requests may be sent with the share.
func (s *share) usable(now time.Duration) bool {
	return s.held && !s.ended && !s.surplus && now < s.validUntil
}

// Limit returns the lowest limit of a backend server that the entries which hold shares of it
// know of. It returns false if none does.
func (a *Allocator) Limit(backend carawaybeam.BackendIncarnation) (carawaybeam.RequestRate, bool) {
	now := a.options.Clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	limit, known := carawaybeam.RequestRate(math.Inf(1)), false
	for index := range a.backends[backend] {
		o := a.stored[shareID{backend: backend, index: index}]
		if !o.Ended && now-o.seenAt <= takeoverTime {
			limit, known = min(limit, o.Limit), true
		}
	}
	return limit, known
}

// Quiet reports whether no shares of any limit are known.
func (a *Allocator) Quiet() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.stored) == 0
}

// Ended reports whether the entries that held shares of a limit have found that it has ended, and
// how long ago that was known to be the newest. An end counts only if the limit was not named since,
// as its object remains for up to a minute.
func (a *Allocator) Ended(backend carawaybeam.BackendIncarnation) (age time.Duration, ended bool) {
	age, known := a.options.Age()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Clock()
	for index := range a.backends[backend] {
		o := a.stored[shareID{backend: backend, index: index}]
		if !o.Ended && now-o.seenAt <= takeoverTime {
			return 0, false
		}
		ended = ended || o.Ended && !o.mayBeOld && !o.outdated
	}
	return age, known && ended
}

// Told records that an answer names a limit, and how long ago its request was sent.
func (a *Allocator) Told(backend carawaybeam.BackendIncarnation, limit carawaybeam.RequestRate, age time.Duration) {
	now := a.options.Clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.toldBy[backend] = now - age
	a.outdate(backend, func(ended storedShare) bool { return ended.seenAt <= now-age })
	for id, s := range a.own {
		if id.backend == backend && s.held && s.takenAt <= now-age {
			s.confirmed = true
		}
	}
	if a.demand[backend] != nil {
		a.setLimit(now, backend, limit)
	}
}

// End ends a limit, as an answer of the backend server has shown. The other entries learn of it
// from the shares that this entry holds.
func (a *Allocator) End(backend carawaybeam.BackendIncarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.demand, backend)
	delete(a.toldBy, backend)
	for id, s := range a.own {
		if id.backend == backend {
			s.ended = true
		}
	}
	a.wakeUp()
}

// Shares returns the number of shares that this entry holds and the number that are held in
// all, as far as it knows.
func (a *Allocator) Shares(backend carawaybeam.BackendIncarnation) (own, all int) {
	now := a.options.Clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, s := range a.own {
		if id.backend == backend && s.usable(now) {
			own++
		}
	}
	for index := range a.backends[backend] {
		if o := a.stored[shareID{backend: backend, index: index}]; !o.Ended && now-o.seenAt <= takeoverTime {
			all++
		}
	}
	return own, all
}

// wakeUp makes run check the shares at once.
func (a *Allocator) wakeUp() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// run checks the shares while there are any, or a demand for them.
func (a *Allocator) run() {
	timer := time.NewTimer(stepInterval)
	defer timer.Stop()
	for {
		if a.step() {
			timer.Reset(stepInterval)
		} else {
			timer.Stop()
		}
		select {
		case <-timer.C:
		case <-a.wake:
			// Requests that find no share wake run up much more often than there is
			// something to do.
			if !a.sleep(rand.N(maxAcquireDelay)) {
				return
			}
		case <-a.ctx.Done():
			return
		}
	}
}

// sleep waits. It returns false if the Allocator was closed.
func (a *Allocator) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-a.ctx.Done():
		return false
	}
}

// step renews, gives back, takes and sweeps shares. It reports whether there is anything to
// check again later.
func (a *Allocator) step() bool {
	now := a.options.Clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, s := range a.own {
		a.keep(now, id, s)
	}
	for backend, d := range a.demand {
		if now-d.at > demandTime {
			delete(a.demand, backend)
			continue
		}
		if now-d.unmetAt <= demandTime {
			a.grow(now, backend, d)
		}
	}
	a.sweep(now)
	for backend, toldBy := range a.toldBy {
		if now-toldBy > freshTime {
			delete(a.toldBy, backend)
		}
	}
	return len(a.own)+len(a.demand)+len(a.stored) > 0
}

// keep renews a share or gives it back, if that is due. The caller holds mu.
func (a *Allocator) keep(now time.Duration, id shareID, s *share) {
	changed := s.limit != s.written.Limit || s.confirmed != s.written.Confirmed
	due := now-s.writtenAt >= renewInterval || changed && !s.failed
	switch {
	case s.calling || !s.held:
	case now >= s.validUntil:
		a.lose(id, s)
	case s.ended:
		a.call(id, s, a.end)
	case s.surplus || s.pacer.UnusedFor(instant(now)) >= idleTime:
		a.call(id, s, a.release)
	case due:
		a.call(id, s, a.renew)
	}
}

// call runs a call to the store for a share. The caller holds mu.
func (a *Allocator) call(id shareID, s *share, call func(context.Context, shareID, *share)) {
	if a.closed {
		return
	}
	s.calling = true
	a.wait.Go(func() {
		ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
		defer cancel()
		call(ctx, id, s)
		a.mu.Lock()
		defer a.mu.Unlock()
		s.calling = false
	})
}

// grow takes another share of a limit if requests found none lately. The caller holds mu.
func (a *Allocator) grow(now time.Duration, backend carawaybeam.BackendIncarnation, d *demand) {
	shares, _ := sharesOf(d.limit)
	if !a.isFresh(now, backend) {
		// The limit may have been lowered. One share is enough to find out.
		shares = 1
	}
	var free []int
	own := 0
	for index := range shares {
		id := shareID{backend: backend, index: index}
		s, ok := a.own[id]
		switch {
		case ok && s.calling && !s.held:
			return
		case ok:
			own++
		case a.isFree(now, id):
			free = append(free, index)
		}
	}
	fair := (shares + max(1, a.options.Entries()) - 1) / max(1, a.options.Entries())
	if len(free) == 0 || (own >= fair || d.failed) && now-d.tookAt < growInterval {
		return
	}
	d.tookAt = now
	id := shareID{backend: backend, index: free[rand.IntN(len(free))]}
	s := &share{
		limit:   d.limit,
		version: a.stored[id].version,
		renewal: a.stored[id].Renewal,
	}
	a.own[id] = s
	a.call(id, s, a.acquire)
}

// isFresh reports whether this entry knows the present limit of a backend server. The caller
// holds mu.
func (a *Allocator) isFresh(now time.Duration, backend carawaybeam.BackendIncarnation) bool {
	if toldBy, ok := a.toldBy[backend]; ok && now-toldBy <= freshTime {
		return true
	}
	for index := range a.backends[backend] {
		o := a.stored[shareID{backend: backend, index: index}]
		if !o.Ended && o.Confirmed && !o.mayBeOld && now-o.seenAt <= confirmedTime {
			return true
		}
	}
	return false
}

// isFree reports whether no other entry may hold a share. The caller holds mu.
func (a *Allocator) isFree(now time.Duration, id shareID) bool {
	o, ok := a.stored[id]
	switch {
	case !a.loaded:
		return false
	case !ok:
		return now >= a.absentFrom
	}
	lapsed := now-o.seenAt > takeoverTime
	return lapsed || !o.mayBeOld && (o.Ended || o.Holder == a.options.Name)
}
