// Package forwarder sends a client's request to a backend server and forwards
// the answer unchanged.
//
// It takes the place of the dispatcher for pools whose backend servers are
// reached without agents. There is no agent to resolve an attempt, but a backend
// server that refuses a request proves that it has not run it.
package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/detector"
	"github.com/carawaybeam/carawaybeam/finisher"
	"github.com/carawaybeam/carawaybeam/hedger"
	"github.com/carawaybeam/carawaybeam/limiter/precedence"
	"github.com/carawaybeam/carawaybeam/matcher"
	"github.com/carawaybeam/carawaybeam/pooler"
	"github.com/carawaybeam/carawaybeam/quarantiner"
	"github.com/carawaybeam/carawaybeam/randomizer"
	"github.com/carawaybeam/carawaybeam/reserver"
	"github.com/carawaybeam/carawaybeam/router/counter"
	"github.com/carawaybeam/carawaybeam/throttler"
	"github.com/carawaybeam/carawaybeam/warmer"
)

const (
	// maxAgeForUnknown is the age of the configuration above which a route or
	// key that it lacks may exist in a newer one.
	maxAgeForUnknown = 3 * time.Second

	// defaultTimeout is how long a client is assumed to wait if neither its
	// request nor the route has a timeout.
	defaultTimeout = 30 * time.Second

	// shortRetryAfter is when the client may retry if another entry can
	// probably serve the request at once.
	shortRetryAfter = 100 * time.Millisecond
)

type (
	// AnswerWriter receives an answer as it arrives.
	AnswerWriter interface {
		// Head begins an answer of the given length in bytes, or -1 if it is
		// unknown.
		Head(status int, header http.Header, length int) error
		// Write appends data to the answer.
		Write(data []byte) (int, error)
		// Flush sends everything written so far to the client.
		Flush() error
		// Interrupt makes a Write or Flush of another goroutine, and all later ones,
		// fail.
		Interrupt()
	}

	// Configuration provides the routing configuration.
	Configuration interface {
		// Current returns the configuration in force, or nil if there is none
		// yet.
		Current() *matcher.Matcher
	}

	// Members is the view of the backend servers.
	Members interface {
		// Instances returns the backend servers of a pool that accept work.
		Instances(pool carawaybeam.PoolID) []carawaybeam.Instance
		// ReportMisdirected reports that another backend server answered at the
		// address of an incarnation, which has therefore ended.
		ReportMisdirected(incarnation carawaybeam.BackendIncarnation)
	}

	// Sender sends requests to backend servers.
	Sender interface {
		// Send sends a request and returns once the answer begins. An error
		// that wraps *carawaybeam.NotSentError proves that the backend server
		// did not receive the request.
		Send(ctx context.Context, address carawaybeam.Address, request pooler.Request) (*pooler.Reply, error)
		// CloseIdle closes the idle connections to an address.
		CloseIdle(address carawaybeam.Address)
	}

	// Report is the latest report of a backend server on its load.
	Report struct {
		Load carawaybeam.Load
		// At is when the report was made.
		At time.Time
		// StepTime is the mean duration of a step of its group, or 0 if
		// unknown.
		StepTime time.Duration
		// ClosedFor is how long its group is expected to refuse requests, or 0.
		ClosedFor time.Duration
		// Group is its group, or empty if it has none.
		Group carawaybeam.GroupID
		// MemoryUsed and MemoryTotal are the use and the size of its KV cache.
		// MemoryTotal is 0 if unknown.
		MemoryUsed  carawaybeam.Tokens
		MemoryTotal carawaybeam.Tokens
	}

	// Options configures a Forwarder.
	Options struct {
		DataCentre    carawaybeam.DataCentre
		Configuration Configuration
		// ConfigAge returns how long ago the configuration was known to be the
		// newest, or false if there is no configuration yet.
		ConfigAge func() (time.Duration, bool)
		// MaxKeyAge returns the age of the configuration up to which its keys
		// are accepted, or 0 if they are accepted at any age.
		MaxKeyAge func() time.Duration
		Members   Members
		Sender    Sender
		// Report returns the latest report of the backend server at an address,
		// or false if there is no recent report.
		Report func(address carawaybeam.Address) (Report, bool)
		// Encode returns the header of the request to a backend server.
		Encode func(*carawaybeam.ClientRequest, carawaybeam.Forwarding) http.Header
		// Detector detects which requests were running when a backend server
		// crashed.
		Detector *detector.Detector
		// Quarantiner knows the requests that crash backend servers.
		Quarantiner *quarantiner.Quarantiner
		// CrashesShared reports whether Quarantiner knows what the other entries
		// know of the crashes that count against a request, as far as this entry
		// can tell.
		CrashesShared func(fingerprint quarantiner.Fingerprint) bool
		// ConductsTrial reports whether this entry is the only one that may send a
		// request on trial, whose trials have the key.
		ConductsTrial func(key quarantiner.Fingerprint) bool
		// Entries returns the number of entries, or 0 if it is not known. They share the
		// connections that a backend server accepts.
		Entries func() int
		// Finisher knows which requests can be finished before the process ends. If nil,
		// the process never ends.
		Finisher *finisher.Finisher
		// Memory bounds the memory for answers that are not streams. If nil, it is not
		// bounded.
		Memory *reserver.Reserver
		// Streams bounds what is held of streams for clients that read slowly.
		Streams StreamOptions
		// Overload decides whether the process can take another request. If nil, it always
		// can.
		Overload Overload
		// Throttler knows the restrictions that backend servers have named.
		Throttler *throttler.Throttler
		// Evacuations knows the evacuated data centres. If nil, there are none.
		Evacuations Evacuations
		// Warmer bounds the requests to cold backend servers. If nil, none is cold.
		Warmer *warmer.Warmer
		// HomeRefused is called for each request that is rejected because of its homes. It may be nil.
		HomeRefused func()
		// Hedger decides on second attempts. If nil, there are none.
		Hedger    *hedger.Hedger
		Router    carawaybeam.Router
		Limiter   carawaybeam.Limiter
		Retrier   carawaybeam.Retrier
		Admission Admission
		Log       zerolog.Logger
	}

	// Forwarder serves requests. Its methods are safe for concurrent use.
	Forwarder struct {
		options Options
		random  *rand.Rand
		counter *counter.Counter
		trials  trials
		gaps    *precedence.Gaps
	}
)

// New returns a Forwarder.
func New(options Options) *Forwarder {
	if options.Memory == nil {
		options.Memory = reserver.New(0, 0)
	}
	options.Streams.setDefaults()
	if options.Finisher == nil {
		options.Finisher = finisher.New()
	}
	return &Forwarder{
		options: options, random: randomizer.New(), counter: counter.New(), gaps: precedence.NewGaps(),
	}
}

// Limits returns the limits that apply to clients, or false if there is no
// configuration yet.
func (f *Forwarder) Limits() (carawaybeam.ClientLimits, bool) {
	current := f.options.Configuration.Current()
	if current == nil {
		return carawaybeam.ClientLimits{}, false
	}
	return current.Limits(), true
}

// Serve serves one request that arrived at the given time, and returns nil once
// its whole answer has been written. The error covers all attempts of the
// request; part of an answer may have been written when it is returned.
func (f *Forwarder) Serve(
	ctx context.Context,
	arrived time.Time,
	request *carawaybeam.ClientRequest,
	w AnswerWriter,
) *carawaybeam.RequestError {
	p, failure := f.identify(arrived, request)
	if failure == nil {
		failure = f.overloadError(p)
	}
	if failure == nil {
		p.writer = w
		defer p.releaseMemory()
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, p.deadline)
		defer cancel()
		p.cancel = cancel
		defer p.abandonSpool()
		failure = f.finishStream(p, f.runAttempts(ctx, p))
	}
	f.logEnd(ctx, p, failure)
	return failure
}

// identify determines the route, organisation, pool and deadline of a request.
func (f *Forwarder) identify(
	arrived time.Time,
	request *carawaybeam.ClientRequest,
) (*pendingRequest, *carawaybeam.RequestError) {
	p := &pendingRequest{request: request, arrived: arrived, lastEvent: request.After}
	current := f.options.Configuration.Current()
	age, known := f.options.ConfigAge()
	p.configAge = age
	if current == nil || !known {
		return p, carawaybeam.NotRun(carawaybeam.ReasonStaleConfig, "no configuration is known yet", shortRetryAfter)
	}
	p.config = current
	p.route = routeOf(current, request)
	if p.route == nil {
		return p, unknownError(age, carawaybeam.ReasonUnknownClass, "no route has this host and path")
	}
	p.priority = p.route.Priority
	p.residency = newResidency(current, p.route, request)
	if current.NeedsKey(p.route) {
		if failure := f.authorize(p, age); failure != nil {
			return p, failure
		}
	} else if holder := current.Holder(request.Key); holder != nil && f.believesKeys(age) {
		// Anyone may use the route, and is served without an organisation.
		p.organisation = holder.ID
	}
	pool, ok := f.choosePool(p)
	if !ok {
		return p, carawaybeam.NotRun(carawaybeam.ReasonNoBackend, "route has no pool", shortRetryAfter)
	}
	p.pool = current.Pool(pool)
	if p.pool == nil {
		p.pool = &carawaybeam.Pool{ID: pool}
	}
	p.deadline = arrived.Add(timeout(request, p.route))
	p.fingerprint = fingerprint(request, p.organisation)
	p.parts = partFingerprints(request, p.pool.ID)
	return p, nil
}

// routeOf returns the route of a request, or nil if there is none.
func routeOf(config *matcher.Matcher, request *carawaybeam.ClientRequest) *carawaybeam.Route {
	path, _, _ := strings.Cut(request.Target, "?")
	return config.Route(request.Host, path)
}

// partFingerprints identifies the parts of the request's prompt that other requests for the pool
// may have as well, which are all but the last one.
func partFingerprints(request *carawaybeam.ClientRequest, pool carawaybeam.PoolID) []quarantiner.Fingerprint {
	if len(request.Parts) == 0 {
		return nil
	}
	shared := request.Parts[:len(request.Parts)-1]
	fingerprints := make([]quarantiner.Fingerprint, 0, len(shared))
	for _, part := range shared {
		fingerprints = append(fingerprints, quarantiner.NewPartFingerprint(pool, part.ID))
	}
	return fingerprints
}

// fingerprint identifies a request in the quarantine of requests that crash backend
// servers. A client that sends the request again gives it a new identifier, and
// another route or pool may serve it then.
func fingerprint(
	request *carawaybeam.ClientRequest,
	organisation carawaybeam.OrganisationID,
) quarantiner.Fingerprint {
	return quarantiner.NewFingerprint(
		request.Body, string(organisation), request.Method, request.Host, request.Target,
	)
}

// believesKeys reports whether no key can have been revoked, for so long that it must no longer be
// accepted, since the configuration was known to be the newest.
func (f *Forwarder) believesKeys(age time.Duration) bool {
	limit := f.options.MaxKeyAge()
	return limit <= 0 || age <= limit
}

// authorize determines the organisation that holds the request's key. It accepts
// no key while the configuration is so old that keys may have been revoked since.
func (f *Forwarder) authorize(p *pendingRequest, age time.Duration) *carawaybeam.RequestError {
	if !f.believesKeys(age) {
		return carawaybeam.NotRun(
			carawaybeam.ReasonStaleConfig,
			"configuration is too old to believe keys",
			shortRetryAfter,
		)
	}
	holder := p.config.Holder(p.request.Key)
	if holder == nil {
		return unknownError(age, carawaybeam.ReasonUnauthorized, "no organisation has the key")
	}
	p.organisation = holder.ID
	if holder.Priority != nil {
		p.priority = *holder.Priority
	}
	return nil
}

// unknownError returns the error of a request for something that the
// configuration lacks. If the configuration is older than maxAgeForUnknown, a
// newer one may have it, and the reason is ReasonStaleConfig.
func unknownError(age time.Duration, reason carawaybeam.Reason, detail string) *carawaybeam.RequestError {
	if age > maxAgeForUnknown {
		return carawaybeam.NotRun(
			carawaybeam.ReasonStaleConfig,
			detail+", but the configuration is old",
			shortRetryAfter,
		)
	}
	return carawaybeam.NotRun(reason, detail, 0)
}

// timeout returns how long the request may take in all.
func timeout(request *carawaybeam.ClientRequest, route *carawaybeam.Route) time.Duration {
	wait := defaultTimeout
	if request.Timeout > 0 {
		wait = request.Timeout
	}
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	return wait
}

// unknownOutcome returns the error of a request that may have run.
func unknownOutcome(reason carawaybeam.Reason, detail string) *carawaybeam.RequestError {
	return &carawaybeam.RequestError{Outcome: carawaybeam.OutcomeUnknown, Reason: reason, Detail: detail}
}

// logEnd logs how a request ended, with the configuration and backend server
// that were used.
func (f *Forwarder) logEnd(ctx context.Context, p *pendingRequest, failure *carawaybeam.RequestError) {
	line := f.options.Log.Info().Str("request", string(p.request.ID)).
		Str("organisation", string(p.organisation)).
		Dur("configAge", p.configAge).Int("tries", p.attempts).Str("backend", string(p.backend)).
		Str("fingerprint", p.fingerprint.String()).Dur("first", p.firstPart).Dur("took", time.Since(p.arrived))
	if p.config != nil {
		line = line.Uint64("config", uint64(p.config.Version()))
	}
	if p.route != nil {
		line = line.Str("route", string(p.route.ID))
	}
	switch {
	case failure == nil:
		line.Int("status", p.status).Msg("forwarder: request answered")
	case ctx.Err() != nil && time.Now().Before(p.deadline):
		line.Str("outcome", string(failure.Outcome)).Msg("forwarder: request cancelled")
	default:
		line.Str("outcome", string(failure.Outcome)).Str("reason", string(failure.Reason)).
			Str("detail", failure.Detail).Dur("retryAfter", failure.RetryAfter).
			Msg("forwarder: request failed")
	}
}
