// Package detector determines which requests were running on a backend server when
// it crashed, for backend servers that no agent observes.
//
// An attempt that breaks off may have been cut by the network, or its backend server
// may have ended. The Detector therefore connects to the backend server: a refused
// connection shows that no process listens there any more. If the backend server
// cannot be reached, or has started again before the Detector connects, a later
// incarnation that announces itself or answers shows it, unless the first one has
// answered another request since. So does a crash that another process has recorded. A
// backend server that has announced that it leaves, or whose announcement is gone, is
// expected to end, which is no crash.
package detector

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/quarantiner"
)

const (
	// probeTimeout is the timeout for connecting to a backend server.
	probeTimeout = 300 * time.Millisecond

	// maxProbeWait is how long a broken attempt waits for the result. A refused
	// connection takes a round trip; an unreachable backend server must not delay
	// the next attempt.
	maxProbeWait = 50 * time.Millisecond

	// repeatDelay is the time after which a backend server that accepted a connection is
	// probed once more, because the port of one that ends may close after its
	// connections.
	repeatDelay = 100 * time.Millisecond

	// settleTime is the time in which the attempts on a backend server that has crashed
	// break off.
	settleTime = 100 * time.Millisecond

	// returnTime is how long after an attempt broke off a later incarnation proves a
	// crash. A crashed backend server returns within some seconds.
	returnTime = 15 * time.Second

	// sweepInterval is how often the state of unused incarnations is dropped.
	sweepInterval = 10 * time.Second

	// maxLogged is the maximum number of requests in a log line.
	maxLogged = 24
)

const (
	// Answered means that the backend server answered the request.
	Answered Ending = iota
	// Refused means that the backend server, or the next one at its address, refused
	// the request without running it.
	Refused
	// NotReceived means that the backend server did not receive the request.
	NotReceived
	// Abandoned means that the caller left.
	Abandoned
)

type (
	// Options configures a Detector.
	Options struct {
		// Probe connects to an address. Its error wraps syscall.ECONNREFUSED if no
		// process listens there.
		Probe func(ctx context.Context, address carawaybeam.Address) error
		// InUse reports whether a backend server is announced and not leaving.
		InUse func(instance carawaybeam.Instance) bool
		// Quarantiner receives the requests that were running in a crash. It may hold
		// crashes that other processes have recorded.
		Quarantiner *quarantiner.Quarantiner
		Log         zerolog.Logger
	}

	// Ending is how an attempt ended that did not break off.
	Ending int

	// Detector detects crashes until Close. It is safe for concurrent use.
	Detector struct {
		options Options
		ctx     context.Context
		cancel  context.CancelFunc
		wait    sync.WaitGroup

		mu        sync.Mutex
		instances map[carawaybeam.BackendIncarnation]*instanceState
		lastSweep time.Time
		crashes   uint64
	}

	// Run is one attempt to run a request on a backend server. Exactly one of End
	// and BreakOff must be called.
	Run struct {
		detector    *Detector
		request     carawaybeam.RequestID
		fingerprint quarantiner.Fingerprint
		// parts are the parts of the prompt, until the answer begins.
		parts []quarantiner.Fingerprint
		state *instanceState
		began time.Time
		// afterCrash is set if the attempt began after the crash of its backend
		// server was recorded.
		afterCrash bool
	}

	// instanceState is one incarnation of a backend server with the attempts on it.
	instanceState struct {
		instance carawaybeam.Instance
		runs     map[*Run]struct{}
		broken   []brokenRun
		probe    *probe
		// leaving is set once the backend server has announced that it leaves.
		leaving bool
		// crash identifies the crash that ended the incarnation, or is empty.
		// crashed holds the attempts that it is laid to.
		crash     quarantiner.CrashID
		crashedAt time.Time
		crashed   []*Run
		// disproved is set once the backend server has answered after a crash was
		// recorded.
		disproved bool
	}

	// brokenRun is an attempt that broke off for a reason that is not known yet.
	brokenRun struct {
		*Run
		at time.Time
	}

	// probe is one attempt to connect. done is closed when it has ended. repeats is set
	// if it follows an earlier one that was accepted.
	probe struct {
		began   time.Time
		done    chan struct{}
		repeats bool
	}

	// State is the state dump of a Detector.
	State struct {
		// Crashes is the number of crashes that were detected.
		Crashes uint64 `json:"crashes"`
	}
)

// New returns a Detector that knows of no attempts.
func New(options Options) *Detector {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Detector{
		options:   options,
		ctx:       ctx,
		cancel:    cancel,
		instances: make(map[carawaybeam.BackendIncarnation]*instanceState),
		lastSweep: time.Now(),
	}
	d.wait.Go(d.followRecords)
	return d
}

// Close ends all probes and waits for them. The error is always nil.
func (d *Detector) Close() error {
	d.cancel()
	d.wait.Wait()
	return nil
}

// State returns the state dump.
func (d *Detector) State() State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return State{Crashes: d.crashes}
}

// Begin records that a request is about to be sent to a backend server. The parts are those of
// its prompt that may crash the backend server when it begins to answer.
func (d *Detector) Begin(
	request carawaybeam.RequestID,
	fingerprint quarantiner.Fingerprint,
	instance carawaybeam.Instance,
	parts ...quarantiner.Fingerprint,
) *Run {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sweep(time.Now())
	s, ok := d.instances[instance.BackendIncarnation]
	if !ok {
		s = &instanceState{instance: instance, runs: make(map[*Run]struct{})}
		d.instances[instance.BackendIncarnation] = s
	}
	r := &Run{
		detector: d, request: request, fingerprint: fingerprint, parts: parts, state: s,
		began: time.Now(), afterCrash: s.crash != "",
	}
	s.runs[r] = struct{}{}
	return r
}

// sweep drops incarnations without attempts that may still matter. The caller holds
// mu.
func (d *Detector) sweep(now time.Time) {
	if now.Sub(d.lastSweep) < sweepInterval {
		return
	}
	d.lastSweep = now
	for incarnation, s := range d.instances {
		s.forgetExpired(now)
		if len(s.runs) == 0 && len(s.broken) == 0 && now.Sub(s.crashedAt) > returnTime {
			delete(d.instances, incarnation)
		}
	}
}

// forgetExpired drops attempts that are no longer considered.
func (s *instanceState) forgetExpired(now time.Time) {
	s.broken = slices.DeleteFunc(s.broken, func(b brokenRun) bool { return now.Sub(b.at) >= returnTime })
}

// MarkStarted records that the answer has begun, so that no part of the prompt crashes the
// backend server.
func (r *Run) MarkStarted() {
	r.detector.mu.Lock()
	parts := r.parts
	r.parts = nil
	r.detector.mu.Unlock()
	r.detector.options.Quarantiner.ClearParts(parts)
}

// End records that the attempt ended in a way that no crash explains. A crash that was
// recorded meanwhile then does not count against the request, unless the caller left or
// another attempt with the same content was running.
func (r *Run) End(ending Ending) {
	d := r.detector
	d.mu.Lock()
	defer d.mu.Unlock()
	s := r.state
	delete(s.runs, r)
	if ending == Answered {
		// What broke off before this attempt began did not end the backend server.
		s.broken = slices.DeleteFunc(s.broken, func(b brokenRun) bool { return b.at.Before(r.began) })
	}
	switch {
	case s.crash == "":
	case !r.afterCrash:
		r.endInCrash(ending)
	case ending == Answered:
		d.options.Log.Warn().Str("crash", string(s.crash)).Str("request", string(r.request)).
			Msg("detector: backend server answers, it has not crashed")
		for _, other := range s.crashed {
			for _, fingerprint := range other.fingerprints() {
				d.options.Quarantiner.Acquit(fingerprint, s.crash)
			}
		}
		s.crash, s.crashed, s.disproved = "", nil, true
	}
}

// endInCrash records that the attempt ended after its backend server had crashed. The caller
// holds mu.
func (r *Run) endInCrash(ending Ending) {
	q, crash := r.detector.options.Quarantiner, r.state.crash
	if ending == Abandoned {
		r.confirm()
		return
	}
	r.detector.options.Log.Info().Str("crash", string(crash)).Str("request", string(r.request)).
		Stringer("fingerprint", r.fingerprint).Bool("answered", ending == Answered).
		Msg("detector: attempt was not running in crash")
	if ending == Answered {
		q.Acquit(r.fingerprint, crash)
		q.ClearParts(r.parts)
		return
	}
	for _, fingerprint := range r.fingerprints() {
		q.Retract(fingerprint, crash)
	}
}

// fingerprints returns the fingerprints of the request and of the parts of its prompt.
func (r *Run) fingerprints() []quarantiner.Fingerprint {
	return slices.Concat([]quarantiner.Fingerprint{r.fingerprint}, r.parts)
}

// records returns the records of the crash of the attempt's backend server against the request and
// the parts of its prompt.
func (r *Run) records(tentative bool) []quarantiner.Record {
	record := quarantiner.Record{
		Fingerprint: r.fingerprint, Crash: r.state.crash, At: r.state.crashedAt, Tentative: tentative,
	}
	records := make([]quarantiner.Record, 0, 1+len(r.parts))
	records = append(records, record)
	for i, part := range r.parts {
		record.Fingerprint, record.Position = part, i
		records = append(records, record)
	}
	return records
}

// confirm records that the attempt was running when its backend server crashed.
func (r *Run) confirm() {
	r.detector.options.Quarantiner.Merge(r.records(false))
}

// BreakOff records that the attempt ended without a whole answer although it may have
// run. It returns the crash that caused it, or "" if none is known when the backend
// server has been probed, when maxProbeWait has passed or when ctx ends.
func (r *Run) BreakOff(ctx context.Context) quarantiner.CrashID {
	d := r.detector
	// A planned end of the backend server is no crash.
	expected := !d.options.InUse(r.state.instance)
	now := time.Now()
	d.mu.Lock()
	_, known := r.state.runs[r]
	delete(r.state.runs, r)
	if !known || expected || r.state.crash != "" {
		defer d.mu.Unlock()
		if known && !r.afterCrash && r.state.crash != "" {
			r.confirm()
		}
		return r.state.crash
	}
	r.state.broken = append(r.state.broken, brokenRun{Run: r, at: now})
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, maxProbeWait)
	defer cancel()
	d.awaitProbe(ctx, r.state, now)
	d.mu.Lock()
	defer d.mu.Unlock()
	return r.state.crash
}

// awaitProbe waits until a probe that began at or after the given time has ended, or
// until ctx ends.
func (d *Detector) awaitProbe(ctx context.Context, s *instanceState, since time.Time) {
	for {
		d.mu.Lock()
		p := s.probe
		if p == nil {
			p = &probe{began: time.Now(), done: make(chan struct{})}
			s.probe = p
			d.wait.Go(func() { d.runProbe(s, p) })
		}
		d.mu.Unlock()
		select {
		case <-p.done:
		case <-ctx.Done():
			return
		}
		if !p.began.Before(since) || d.ctx.Err() != nil {
			return
		}
	}
}

// runProbe connects to the backend server and evaluates the result.
func (d *Detector) runProbe(s *instanceState, p *probe) {
	ctx, cancel := context.WithTimeout(d.ctx, probeTimeout)
	defer cancel()
	err := d.options.Probe(ctx, s.instance.Address)
	d.mu.Lock()
	defer d.mu.Unlock()
	s.probe = nil
	defer close(p.done)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		d.recordCrash(s, time.Now(), "connection refused")
	case err == nil && !p.repeats:
		d.wait.Go(func() { d.repeatProbe(s) })
	}
}

// repeatProbe connects to the backend server once more after repeatDelay, if attempts on it
// have broken off for a reason that is not known yet.
func (d *Detector) repeatProbe(s *instanceState) {
	timer := time.NewTimer(repeatDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.ctx.Done():
		return
	}
	// A planned end of the backend server is no crash.
	if !d.options.InUse(s.instance) {
		return
	}
	d.mu.Lock()
	if s.probe != nil || s.crash != "" || len(s.broken) == 0 {
		d.mu.Unlock()
		return
	}
	p := &probe{began: time.Now(), done: make(chan struct{}), repeats: true}
	s.probe = p
	d.mu.Unlock()
	d.runProbe(s, p)
}

// followRecords records the crashes that other processes have recorded, until Close.
func (d *Detector) followRecords() {
	for {
		crashes, changed := d.options.Quarantiner.AllCrashes()
		for _, s := range d.findUnknown(crashes) {
			if d.options.InUse(s.instance) {
				d.mu.Lock()
				d.recordCrash(s, time.Now(), "recorded by another process")
				d.mu.Unlock()
			}
		}
		select {
		case <-changed:
		case <-d.ctx.Done():
			return
		}
	}
}

// findUnknown returns the incarnations with one of the crashes that the Detector has not
// recorded.
func (d *Detector) findUnknown(crashes map[quarantiner.CrashID]struct{}) []*instanceState {
	d.mu.Lock()
	defer d.mu.Unlock()
	var unknown []*instanceState
	for incarnation, s := range d.instances {
		if _, ok := crashes[NewCrashID(incarnation)]; ok && s.crash == "" && !s.disproved {
			unknown = append(unknown, s)
		}
	}
	return unknown
}

// Announced records the announcement of a backend server. It proves the crash of earlier
// incarnations with the same identifier or address that had not announced that they leave.
func (d *Detector) Announced(instance carawaybeam.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if s, ok := d.instances[instance.BackendIncarnation]; ok && instance.Leaving {
		s.leaving = true
	}
	for _, s := range d.instances {
		same := s.instance.ID == instance.ID || s.instance.Address == instance.Address
		if same && s.instance.Started < instance.Started {
			d.recordCrash(s, now, "later incarnation announced")
		}
	}
}

// Replaced records that another backend server answers at the address of an
// incarnation.
func (d *Detector) Replaced(incarnation carawaybeam.BackendIncarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, ok := d.instances[incarnation]; ok {
		d.recordCrash(s, time.Now(), "another backend server answers")
	}
}

// recordCrash records that an incarnation has crashed, with the attempts that were
// running on it or broke off without a known reason. The caller holds mu.
func (d *Detector) recordCrash(s *instanceState, now time.Time, evidence string) {
	s.forgetExpired(now)
	if s.crash != "" || s.leaving || len(s.runs)+len(s.broken) == 0 {
		return
	}
	s.crash, s.crashedAt = NewCrashID(s.instance.BackendIncarnation), now
	d.crashes++
	for r := range s.runs {
		s.crashed = append(s.crashed, r)
	}
	for _, b := range s.broken {
		s.crashed = append(s.crashed, b.Run)
	}
	s.broken = nil
	records := make([]quarantiner.Record, 0, len(s.crashed))
	for _, r := range s.crashed {
		_, running := s.runs[r]
		records = append(records, r.records(running)...)
	}
	d.options.Quarantiner.Merge(records)
	d.log(s, evidence)
	if len(s.runs) > 0 {
		d.wait.Go(func() { d.confirmRunning(s) })
	}
}

// confirmRunning confirms the records of attempts that have not ended within settleTime after
// the crash of their backend server.
func (d *Detector) confirmRunning(s *instanceState) {
	timer := time.NewTimer(settleTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.ctx.Done():
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for r := range s.runs {
		if s.crash != "" && !r.afterCrash {
			r.confirm()
		}
	}
}

// log logs a crash with the requests that were running. The caller holds mu.
func (d *Detector) log(s *instanceState, evidence string) {
	requests, fingerprints, parts := zerolog.Arr(), zerolog.Arr(), zerolog.Arr()
	for _, r := range s.crashed[:min(len(s.crashed), maxLogged)] {
		requests.Str(string(r.request))
		fingerprints.Str(r.fingerprint.String())
		for _, part := range r.parts {
			parts.Str(part.String())
		}
	}
	d.options.Log.Warn().Str("crash", string(s.crash)).Str("backend", string(s.instance.ID)).
		Str("address", string(s.instance.Address)).Str("pool", string(s.instance.Pool)).
		Str("evidence", evidence).Int("running", len(s.crashed)).
		Array("requests", requests).Array("fingerprints", fingerprints).Array("parts", parts).
		Msg("detector: backend server crashed")
}

// NewCrashID returns the identifier of the crash that ended an incarnation. It is the
// same in all processes.
func NewCrashID(incarnation carawaybeam.BackendIncarnation) quarantiner.CrashID {
	return quarantiner.CrashID(string(incarnation.ID) + "@" + strconv.FormatInt(incarnation.Started, 10))
}
