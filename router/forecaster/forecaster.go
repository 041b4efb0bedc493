// Package forecaster contains what routers share to estimate how soon a backend server
// with slots, whose engine makes its steps together with the others of its group, begins
// and continues an answer.
package forecaster

import (
	"math"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// defaultSlots is assumed for backend servers that do not report their
	// number of slots.
	defaultSlots = 8

	// MaxIdleOccupancy is the occupancy below which a backend server counts as
	// idle.
	MaxIdleOccupancy = 0.5

	// RemoteRequests is added to the requests of a backend server in another data
	// centre. Among those with free slots and equally many of them, one there is
	// chosen only if it has two requests fewer than all in the own data centre.
	RemoteRequests = 1.5

	// FullCost is added to the occupancy of a backend server without a free slot.
	FullCost = 1

	// ColdCost is added to the occupancy of a cold backend server. It is more than that of a
	// warm one with a free slot in another data centre, and less than that of one without.
	ColdCost = 1.2

	// minUsefulOccupancy is the lowest occupancy to which requests are limited to meet
	// the target of event gaps. If that is not enough, the engines are slow for another
	// reason than the number of requests.
	minUsefulOccupancy = 2.0 / 3
)

// PromptTime returns how long an engine processes the prompt.
func PromptTime(request *carawaybeam.RouteRequest) time.Duration {
	if request.Engine == nil || request.Engine.PromptRate <= 0 {
		return 0
	}
	return time.Duration(float64(request.Prompt) / request.Engine.PromptRate * float64(time.Second))
}

// WaitTime returns how long a request waits for a slot if a step takes stepTime. Answers take
// one step per event, so slots become free at an even rate.
func WaitTime(
	request *carawaybeam.RouteRequest,
	c *carawaybeam.Candidate,
	stepTime time.Duration,
) time.Duration {
	ahead := Running(c) - c.Slots + 1
	if request.Engine == nil || request.Engine.StepsPerPass <= 0 || c.Slots <= 0 || ahead <= 0 {
		return 0
	}
	steps := float64(request.Engine.MeanAnswer) / float64(request.Engine.StepsPerPass)
	return time.Duration(float64(ahead) / float64(c.Slots) * steps * float64(stepTime))
}

// IsCrowded reports whether the event gap exceeds its target with another request on the candidate,
// which the router prefers, but not with fewer.
func IsCrowded(request *carawaybeam.RouteRequest, c *carawaybeam.Candidate) bool {
	if request.Engine == nil || request.EventGap <= 0 || c.StepTime <= 0 || c.Slots <= 0 {
		return false
	}
	running := min(Running(c), c.Slots)
	allowed := float64(request.EventGap) / float64(c.StepTime) * EngineStep(request.Engine, running)
	fewest := FewestUseful(c)
	return running >= fewest && EngineStep(request.Engine, min(running+1, c.Slots)) > allowed &&
		EngineStep(request.Engine, fewest) <= allowed
}

// FewestUseful returns the lowest number of running requests to which a candidate with a known
// number of slots is limited to meet the target of event gaps.
func FewestUseful(c *carawaybeam.Candidate) int {
	return int(math.Ceil(minUsefulOccupancy * float64(c.Slots)))
}

// EngineStep returns the duration of a step of an engine with running requests, in seconds and
// without the time for prompts.
func EngineStep(engine *carawaybeam.EngineProfile, running int) float64 {
	return engine.StepTime.Seconds() + float64(running)*engine.SequenceTime.Seconds()
}

// PassTime returns the duration of a pass in which an engine runs the given number of requests, in seconds and
// without the time for prompts.
func PassTime(engine *carawaybeam.EngineProfile, running int) float64 {
	return float64(max(1, engine.StepsPerPass)) * EngineStep(engine, running)
}

// Slots returns how many requests a candidate runs at once.
func Slots(c *carawaybeam.Candidate) int {
	if c.Slots <= 0 {
		return defaultSlots
	}
	return c.Slots
}

// Occupancy returns the fraction of the slots of a candidate that are in use.
func Occupancy(c *carawaybeam.Candidate) float64 {
	return float64(Running(c)) / float64(Slots(c))
}

// Running returns how many requests a backend server is estimated to
// have: the reported ones and the own ones since the report, or only the own
// ones if there is no report.
func Running(c *carawaybeam.Candidate) int {
	return max(c.OwnRunning, c.Load.Running+c.Load.Waiting+c.OwnRunning-c.OwnReported)
}
