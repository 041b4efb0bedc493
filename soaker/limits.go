package soaker

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/carawaybeam/carawaybeam/platform/emulator"
)

const (
	// Limits of the first configuration. Other configurations have an idle limit of at
	// least minIdleLimit, and a route timeout from minRouteTimeout to maxRouteTimeout.
	firstIdleLimit    = 5 * time.Second
	minIdleLimit      = 300 * time.Millisecond
	firstRouteTimeout = 5 * time.Second
	minRouteTimeout   = 1500 * time.Millisecond
	maxRouteTimeout   = 6 * time.Second

	// A run has minLimitFaults faults of the limitKinds, up to extraLimitFaults-1 more,
	// and one of the limitPairs. They are drawn from the random numbers of the stream
	// limitStream.
	minLimitFaults   = 3
	extraLimitFaults = 4
	limitStream      = 1 << 33

	// seriesInterval is the time between the changes of a series.
	seriesInterval = 450 * time.Millisecond

	// stutterTime is how long a stuttering process is suspended each time, and how long
	// it runs in between.
	stutterTime = 60 * time.Millisecond
)

// limitKinds are the kinds of faults that concern limits of clients and timeouts of
// routes, and those that make the processes late to apply them.
var limitKinds = []string{
	"idleLimit", "idleLimitBrief", "idleLimitSeries", "routeTimeout", "routeTimeoutSeries", "sizeLimits", "stutter",
}

// limitPairs are faults that put requests on kept connections at risk in combination.
var limitPairs = [][2]string{
	{"idleLimit", "stutter"},
	{"idleLimitSeries", "stop"},
	{"stutter", "idleLimitBrief"},
	{"idleLimit", "pause"},
	{"idleLimitSeries", "reload"},
	{"routeTimeoutSeries", "stop"},
	{"idleLimit", "kill"},
	{"idleLimitSeries", "move"},
	{"routeTimeout", "withdrawKey"},
	{"stutter", "stop"},
}

// newLimitFaults returns the faults of a run that concern limits. They do not depend on
// the other faults of the seed.
func newLimitFaults(options Options) []fault {
	random := rand.New(rand.NewPCG(options.Seed, limitStream))
	faults := make([]fault, 0, minLimitFaults+extraLimitFaults+1)
	for range minLimitFaults + random.IntN(extraLimitFaults) {
		faults = append(faults, newFault(random, options, limitKinds))
	}
	return append(faults, newPair(random, options, limitPairs)...)
}

// pickDuration returns a random duration between two limits.
func pickDuration(random *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(random.Int64N(int64(to-from)+1))
}

// changeLimits returns an action that changes limits in the configuration, and changes them
// again each seriesInterval if series is set.
func changeLimits(change func(c *emulator.Configuration, random *rand.Rand), series bool) action {
	return func(ctx context.Context, s *Soaker, f fault) {
		random := rand.New(rand.NewPCG(s.options.Seed, limitStream+uint64(f.at)))
		end := time.Now().Add(f.duration)
		for {
			s.reconfigure(ctx, func(c *emulator.Configuration) { change(c, random) })
			if !series || time.Now().After(end) {
				return
			}
			time.Sleep(seriesInterval)
		}
	}
}

// changeIdleLimit lowers a high idle limit, and sets a random one in place of a low one.
func changeIdleLimit(c *emulator.Configuration, random *rand.Rand) {
	longest := firstIdleLimit
	if c.Limits.IdleTimeout > firstIdleLimit/2 {
		longest = firstIdleLimit / 4
	}
	c.Limits.IdleTimeout = pickDuration(random, minIdleLimit, longest).Truncate(time.Millisecond)
}

// changeRouteTimeout sets a random timeout of all routes.
func changeRouteTimeout(c *emulator.Configuration, random *rand.Rand) {
	c.RouteTimeout = pickDuration(random, minRouteTimeout, maxRouteTimeout).Truncate(time.Millisecond)
}

// changeSizeLimits changes limits within which all callers stay.
func changeSizeLimits(c *emulator.Configuration, random *rand.Rand) {
	c.Limits.HeaderBytes = 1 << (11 + random.IntN(4))
	c.Limits.BodyBytes = 1 << (10 + random.IntN(11))
	c.Limits.HeaderTimeout = pickDuration(random, time.Second, firstRouteTimeout)
}

// lowerIdleLimitBriefly lowers the idle limit and restores it at the end of the fault.
func lowerIdleLimitBriefly(ctx context.Context, s *Soaker, f fault) {
	s.reconfigure(ctx, func(c *emulator.Configuration) { c.Limits.IdleTimeout = minIdleLimit })
	time.Sleep(f.duration)
	s.reconfigure(ctx, func(c *emulator.Configuration) { c.Limits.IdleTimeout = firstIdleLimit })
}

// stutter suspends an entry again and again, as a busy machine does.
func stutter(_ context.Context, s *Soaker, f fault) {
	for end := time.Now().Add(f.duration); time.Now().Before(end); time.Sleep(stutterTime) {
		process := s.entries[f.target].running(false)
		if process.Signal(syscall.SIGSTOP) != nil {
			continue
		}
		time.Sleep(stutterTime)
		_ = process.Signal(syscall.SIGCONT)
	}
}
