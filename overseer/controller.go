package overseer

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// priorities is the number of priorities that are told apart. Less urgent requests count as
	// those of the last one.
	priorities = 10

	// adjustInterval is how often the admitted share is adjusted by the mean delay.
	adjustInterval = 100 * time.Millisecond

	// delayWindow is the time constant of the mean delay.
	delayWindow = 100 * time.Millisecond

	// maxElapsed bounds the weight of one measurement. A process that was suspended for seconds
	// is late once, and not overloaded for that.
	maxElapsed = 100 * time.Millisecond

	// startShare is the fraction of the maximum delay at which requests begin to be refused,
	// and endShare that below which more are admitted again.
	startShare = 0.6
	endShare   = 0.4

	// startMemory and fullMemory are the fractions of the memory in use at which requests begin
	// to be refused, and at which none are admitted. The garbage collector keeps the memory
	// below 0.7 as long as it can (starter.LimitMemory).
	startMemory = 0.8
	fullMemory  = 0.9

	// At each adjustment the admitted share falls by up to maxDecrease, in proportion to the
	// excess, or rises by increase. It takes 4 s to admit all requests again.
	maxDecrease = 0.2
	increase    = 0.025

	// minAdmitted is the least share while the memory is not full. Some requests show
	// whether the overload is over.
	minAdmitted = 0.02

	// countDecay is the weight of earlier counts of requests by priority at an adjustment.
	countDecay = 0.8

	// fractionUnits is the resolution of the admitted share of one priority.
	fractionUnits = 1 << 16
)

type (
	// Controller decides which requests a process admits, from how late its timers are and how
	// much memory it uses. It does no I/O. Observe must be called from one goroutine; the other
	// methods are safe for concurrent use.
	Controller struct {
		maxDelay time.Duration
		// arrived counts the requests since the last adjustment, by priority.
		arrived [priorities]atomic.Uint32
		// cutoff is the first priority that is not fully admitted, times fractionUnits, plus
		// the admitted fraction of it.
		cutoff atomic.Uint32
		// overdue is when the next measurement is overdue, in Unix nanoseconds, or 0. Until it
		// comes, the process is taken for overloaded.
		overdue atomic.Int64
		refused [priorities]atomic.Uint64

		mu       sync.Mutex
		counts   [priorities]float64
		share    float64
		delay    float64 // seconds
		memory   float64
		adjusted time.Time
		// last is the delay of the last measurement.
		last time.Duration
		// braking is set while the delay stands above the maximum.
		braking bool
	}

	// Sample is a measurement.
	Sample struct {
		// Delay is by how much a timer was late, and Elapsed the time since the last sample.
		Delay, Elapsed time.Duration
		// Memory is the memory in use as a fraction of the limit, or 0 if there is no limit.
		Memory float64
	}

	// State is the state dump of a Controller.
	State struct {
		// Admitted is the share of the requests that is admitted.
		Admitted float64 `json:"admitted"`
		// DelayMs is the mean delay of a timer.
		DelayMs float64 `json:"delayMs"`
		// Memory is the memory in use as a fraction of the limit.
		Memory float64 `json:"memory"`
		// Refused is the number of refused requests by priority, the most urgent one first.
		Refused [priorities]uint64 `json:"refused"`
	}
)

// NewController returns a Controller that keeps the mean delay of a timer below maxDelay.
func NewController(maxDelay time.Duration) *Controller {
	c := &Controller{maxDelay: maxDelay, share: 1}
	c.cutoff.Store(priorities * fractionUnits)
	return c
}

// Admit counts a request and reports whether to admit it. A lower priority is more urgent. random is
// uniformly distributed.
func (c *Controller) Admit(now time.Time, priority int, random uint32) bool {
	priority = min(max(0, priority), priorities-1)
	c.arrived[priority].Add(1)
	cutoff := c.cutoff.Load()
	first := int(cutoff / fractionUnits)
	admitted := priority < first || priority == first && random%fractionUnits < cutoff%fractionUnits
	if overdue := c.overdue.Load(); admitted && (overdue == 0 || now.UnixNano() < overdue) {
		return true
	}
	c.refused[priority].Add(1)
	return false
}

// Observe takes a measurement. It reports whether requests began to be refused, or no longer are.
func (c *Controller) Observe(now time.Time, sample Sample) (began, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.share
	delay := min(sample.Delay, 2*c.maxDelay).Seconds()
	weight := 1 - math.Exp(-min(sample.Elapsed, maxElapsed).Seconds()/delayWindow.Seconds())
	c.delay += weight * (delay - c.delay)
	c.memory = sample.Memory
	changed := c.brake(sample.Delay)
	c.last = sample.Delay
	// A measurement that is late itself would show a sudden overload too late.
	c.overdue.Store(now.Add(sample.Elapsed - sample.Delay + c.maxDelay).UnixNano())
	if now.Sub(c.adjusted) >= adjustInterval {
		c.adjusted = now
		c.adjust()
		changed = true
	}
	if changed {
		c.setCutoff()
	}
	return before == 1 && c.share < 1, before < 1 && c.share == 1
}

// brake begins to refuse nearly all requests if two successive timers were later than the maximum, so
// that the work that waits is finished. A single one may follow a short pause. It reports whether that
// changed. The caller holds mu.
func (c *Controller) brake(delay time.Duration) bool {
	before := c.braking
	switch {
	case min(delay, c.last) >= c.maxDelay:
		c.braking = true
		c.share = min(c.share, 1-increase)
	case delay <= c.limit(endShare):
		c.braking = false
	}
	return c.braking != before
}

// limit returns a fraction of the maximum delay.
func (c *Controller) limit(fraction float64) time.Duration {
	return time.Duration(fraction * float64(c.maxDelay))
}

// adjust changes the admitted share by the mean delay and the memory. The caller holds mu.
func (c *Controller) adjust() {
	for i := range c.counts {
		c.counts[i] = countDecay*c.counts[i] + float64(c.arrived[i].Swap(0))
	}
	delay := c.delay / c.maxDelay.Seconds()
	excess := max((delay-startShare)/(1-startShare), (c.memory-startMemory)/(fullMemory-startMemory))
	switch {
	case excess > 0:
		c.share = max(minAdmitted, c.share*(1-maxDecrease*min(1, excess)))
	case delay < endShare && !c.braking:
		c.share = min(1, c.share+increase)
	}
}

// setCutoff derives the cutoff from the share and the requests by priority: the most urgent ones are
// admitted up to the share. The caller holds mu.
func (c *Controller) setCutoff() {
	share := c.share
	switch {
	case c.memory >= fullMemory:
		c.cutoff.Store(0)
		return
	case c.braking:
		share = minAdmitted
	}
	if share == 1 {
		c.cutoff.Store(priorities * fractionUnits)
		return
	}
	sum := 0.0
	for _, n := range c.counts {
		sum += n
	}
	left := share * sum
	for i, n := range c.counts {
		if left < n {
			fraction := min(fractionUnits-1, int(left/n*fractionUnits))
			c.cutoff.Store(uint32(i*fractionUnits + fraction))
			return
		}
		left -= n
	}
	// No requests arrived: the share is that of each priority.
	c.cutoff.Store(uint32(share * priorities * fractionUnits))
}

// State returns the state dump.
func (c *Controller) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := State{Admitted: c.share, DelayMs: c.delay * 1000, Memory: c.memory}
	for i := range state.Refused {
		state.Refused[i] = c.refused[i].Load()
	}
	return state
}
