// Package forwarder takes a client's request to a backend server that itself
// proves what it has not run, and brings the answer back unchanged.
//
// It is the dispatcher for pools without agents in the path: nothing has to be
// settled with an agent, since a backend server that refuses a request says so.
package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/matcher"
	"github.com/carawaybeam/carawaybeam/pooler"
	"github.com/carawaybeam/carawaybeam/randomizer"
	"github.com/carawaybeam/carawaybeam/router/counter"
)

const (
	// unknownAge is the age of the configuration above which an unknown route or
	// key may be one that is not known here yet.
	unknownAge = 3 * time.Second

	// defaultPatience is how long a client is taken to wait that does not tell,
	// on a route without a timeout.
	defaultPatience = 30 * time.Second

	// comeBackSoon is when a client should come back that another entry can
	// serve at once.
	comeBackSoon = 100 * time.Millisecond
)

type (
	// AnswerWriter takes an answer as it arrives.
	AnswerWriter interface {
		// Head begins an answer of the given length, or -1 where it is not known.
		Head(status int, header http.Header, length int) error
		// Write adds to the answer.
		Write(data []byte) (int, error)
		// Flush sends what was written.
		Flush() error
	}

	// Configuration is the view of the routing configuration.
	Configuration interface {
		// Current returns the configuration in force, or nil.
		Current() *matcher.Matcher
	}

	// Members is the view of the backend servers.
	Members interface {
		// Instances returns those of a pool that may take work.
		Instances(pool carawaybeam.PoolID) []carawaybeam.Instance
		// Misdirected notes that another backend server answered at the address of
		// one life, which is over then.
		Misdirected(life carawaybeam.BackendIncarnation)
	}

	// Sender puts requests to backend servers.
	Sender interface {
		Send(ctx context.Context, address carawaybeam.Address, request pooler.Request) (*pooler.Reply, error)
		// Forget gives up kept connections to an address.
		Forget(address carawaybeam.Address)
	}

	// Report is what a backend server told of itself.
	Report struct {
		Load carawaybeam.Load
		At   time.Time
		// StepTime is the mean duration of a step of its group, or 0.
		StepTime time.Duration
		// ClosedFor is how long its group is expected to take no requests, or 0.
		ClosedFor time.Duration
	}

	// Options is what a Forwarder is made from.
	Options struct {
		DataCentre    carawaybeam.DataCentre
		Configuration Configuration
		// ConfigAge returns how long ago the configuration was known to be the newest.
		ConfigAge func() (time.Duration, bool)
		// MaxKeyAge returns the age of the configuration up to which keys are
		// believed, or 0 for any age.
		MaxKeyAge func() time.Duration
		Members   Members
		Sender    Sender
		// Report returns what the backend server at an address reported lately.
		// It reports false when there is no recent report.
		Report func(address carawaybeam.Address) (Report, bool)
		// Encode returns the header of a request for a backend server.
		Encode  func(*carawaybeam.ClientRequest, carawaybeam.Forwarding) http.Header
		Router  carawaybeam.Router
		Limiter carawaybeam.Limiter
		Retrier carawaybeam.Retrier
		Log     zerolog.Logger
	}

	// Forwarder serves requests. Its methods may be used by several goroutines
	// at once.
	Forwarder struct {
		options Options
		random  *rand.Rand
		counter *counter.Counter
	}
)

// New returns a Forwarder.
func New(options Options) *Forwarder {
	return &Forwarder{options: options, random: randomizer.New(), counter: counter.New()}
}

// Limits returns the bounds on clients. It reports false while no configuration
// is known.
func (f *Forwarder) Limits() (carawaybeam.ClientLimits, bool) {
	current := f.options.Configuration.Current()
	if current == nil {
		return carawaybeam.ClientLimits{}, false
	}
	return current.Limits(), true
}

// Serve serves one request that arrived at the given time, and returns nil once
// its whole answer was written. The error is the final word on the request; part
// of an answer may have been written then.
func (f *Forwarder) Serve(
	ctx context.Context,
	arrived time.Time,
	request *carawaybeam.ClientRequest,
	w AnswerWriter,
) *carawaybeam.RequestError {
	p, failure := f.identify(arrived, request)
	if failure == nil {
		p.writer = w
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, p.deadline)
		defer cancel()
		failure = f.pursue(ctx, p)
	}
	f.logEnd(ctx, p, failure)
	return failure
}

// identify finds the route, the organisation and the pool of a request.
func (f *Forwarder) identify(
	arrived time.Time,
	request *carawaybeam.ClientRequest,
) (*pursuit, *carawaybeam.RequestError) {
	p := &pursuit{request: request, arrived: arrived, lastEvent: request.After}
	current := f.options.Configuration.Current()
	age, known := f.options.ConfigAge()
	p.configAge = age
	if current == nil || !known {
		return p, carawaybeam.NotRun(carawaybeam.ReasonStaleConfig, "no configuration is known yet", comeBackSoon)
	}
	p.config = current
	path := request.Target
	for i := range len(path) {
		if path[i] == '?' {
			path = path[:i]
			break
		}
	}
	p.route = current.Route(request.Host, path)
	if p.route == nil {
		return p, unknown(age, carawaybeam.ReasonUnknownClass, "no route has this host and path")
	}
	p.priority = p.route.Priority
	if current.NeedsKey(p.route) {
		if failure := f.authorize(p, age); failure != nil {
			return p, failure
		}
	} else if holder := current.Holder(request.Key); holder != nil {
		p.organisation = holder.ID
	}
	pool, ok := matcher.ChoosePool(p.route, f.random)
	if !ok {
		return p, carawaybeam.NotRun(carawaybeam.ReasonNoBackend, "route has no pool", comeBackSoon)
	}
	p.pool = current.Pool(pool)
	if p.pool == nil {
		p.pool = &carawaybeam.Pool{ID: pool}
	}
	p.deadline = arrived.Add(patience(request, p.route))
	return p, nil
}

// authorize finds the organisation that holds the key. While the configuration
// is too old to tell withdrawn keys, none is believed.
func (f *Forwarder) authorize(p *pursuit, age time.Duration) *carawaybeam.RequestError {
	if limit := f.options.MaxKeyAge(); limit > 0 && age > limit {
		return carawaybeam.NotRun(
			carawaybeam.ReasonStaleConfig,
			"configuration is too old to believe keys",
			comeBackSoon,
		)
	}
	holder := p.config.Holder(p.request.Key)
	if holder == nil {
		return unknown(age, carawaybeam.ReasonUnauthorized, "no organisation has the key")
	}
	p.organisation = holder.ID
	if holder.Priority != nil {
		p.priority = *holder.Priority
	}
	return nil
}

// unknown refuses a request for something that the configuration does not hold.
// An old one may lack it by its age only.
func unknown(age time.Duration, reason carawaybeam.Reason, detail string) *carawaybeam.RequestError {
	if age > unknownAge {
		return carawaybeam.NotRun(carawaybeam.ReasonStaleConfig, detail+", but the configuration is old", comeBackSoon)
	}
	return carawaybeam.NotRun(reason, detail, 0)
}

func patience(request *carawaybeam.ClientRequest, route *carawaybeam.Route) time.Duration {
	wait := defaultPatience
	if request.Timeout > 0 {
		wait = request.Timeout
	}
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	return wait
}

func mayHaveRun(reason carawaybeam.Reason, detail string) *carawaybeam.RequestError {
	return &carawaybeam.RequestError{Outcome: carawaybeam.OutcomeUnknown, Reason: reason, Detail: detail}
}

// logEnd writes the line that tells how a request ended and on what grounds.
func (f *Forwarder) logEnd(ctx context.Context, p *pursuit, failure *carawaybeam.RequestError) {
	line := f.options.Log.Info().Str("request", string(p.request.ID)).
		Str("organisation", string(p.organisation)).
		Dur("configAge", p.configAge).Int("tries", p.tries).Str("backend", string(p.backend)).
		Dur("first", p.first).Dur("took", time.Since(p.arrived))
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
		line.Str("outcome", string(failure.Outcome)).Msg("forwarder: client has gone")
	default:
		line.Str("outcome", string(failure.Outcome)).Str("reason", string(failure.Reason)).
			Str("detail", failure.Detail).Dur("retryAfter", failure.RetryAfter).
			Msg("forwarder: request failed")
	}
}
