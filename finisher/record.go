package finisher

import (
	"math"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// periods is how many periods of the time periodTime a record covers.
	periods    = 6
	periodTime = 20 * time.Second

	// headroom is the ratio by which a request may take longer than the longest of many
	// others.
	headroom = 1.05

	// risk is the accepted probability that a request takes longer than the forecast.
	risk = 0.05

	// fewSamples is the number of requests below which nothing is known of how much they
	// differ.
	fewSamples = 3

	// maxRest is the longest time that is forecast for the rest of an answer.
	maxRest = 24 * time.Hour
)

type (
	// extent is how long a request took, or the maxima over several requests.
	extent struct {
		// first is the time to the first part of the answer, and rest the time from there
		// to the end.
		first, rest time.Duration
		// answer is the maximum length of the answer, and perToken the ratio of rest to it.
		answer   carawaybeam.Tokens
		perToken time.Duration
	}

	// period holds the maxima of the requests that ended within periodTime.
	period struct {
		began   time.Time
		samples int
		// took is how long the requests took together.
		took    time.Duration
		longest extent
	}

	// record holds what is known of the requests of one kind.
	record struct {
		periods [periods]period
		// newest is the index of the newest period.
		newest  int
		running map[*Run]struct{}
	}
)

// observe returns how long the request has taken until now. The caller holds the mutex of the
// Finisher.
func (r *Run) observe(now time.Time) extent {
	took := now.Sub(r.began)
	if r.first == 0 {
		return extent{first: took}
	}
	e := extent{first: r.first, rest: took - r.first, answer: r.answer}
	if r.answer > 0 {
		e.perToken = e.rest / time.Duration(r.answer)
	}
	return e
}

// include raises the maxima to those of another extent.
func (e *extent) include(other extent) {
	e.first = max(e.first, other.first)
	e.rest = max(e.rest, other.rest)
	e.answer = max(e.answer, other.answer)
	e.perToken = max(e.perToken, other.perToken)
}

// total returns how long a request takes at most. answer is the maximum length of its answer, or 0
// if it is not known.
func (e *extent) total(answer carawaybeam.Tokens) time.Duration {
	if answer <= 0 || e.answer == 0 {
		return e.first + e.rest
	}
	rest := time.Duration(min(float64(answer)*float64(e.perToken), float64(maxRest)))
	if answer <= e.answer {
		rest = min(rest, e.rest)
	}
	return e.first + rest
}

// uncertainty returns the ratio by which a request may take longer than the longest of few others, for
// which samples requests took a time together. It takes the times to be distributed exponentially: the
// longest of n is then expected ln(n) scales above the mean, and is exceeded with the probability
// 1/(n+1).
func (e *extent) uncertainty(samples int, took time.Duration) float64 {
	n := float64(samples)
	longest := float64(e.first + e.rest)
	if longest == 0 {
		return 0
	}
	scale := 1.0
	if samples >= fewSamples {
		scale = (longest - float64(took)/n) / longest / math.Log(n)
	}
	return max(0, scale*math.Log(1/(n+1)/risk))
}

// add adds a request that ended now.
func (r *record) add(now time.Time, e extent) {
	p := &r.periods[r.newest]
	if now.Sub(p.began) >= periodTime {
		r.newest = (r.newest + 1) % periods
		p = &r.periods[r.newest]
		*p = period{began: now}
	}
	p.samples++
	p.took += e.first + e.rest
	p.longest.include(e)
}

// longest returns how long a request may take, and the number of ended requests from which that is
// derived. It returns no samples if there are none.
func (r *record) longest(now time.Time, answer carawaybeam.Tokens) (longest time.Duration, samples int) {
	var (
		e    extent
		took time.Duration
	)
	for i := range r.periods {
		if p := &r.periods[i]; !p.expired(now) {
			samples += p.samples
			took += p.took
			e.include(p.longest)
		}
	}
	if samples == 0 {
		return 0, 0
	}
	for run := range r.running {
		e.include(run.observe(now))
	}
	ratio := headroom + e.uncertainty(samples, took)
	return time.Duration(ratio * float64(e.total(answer))), samples
}

// expired reports whether no request has ended for the time that the record covers.
func (r *record) expired(now time.Time) bool { return r.periods[r.newest].expired(now) }

func (p *period) expired(now time.Time) bool { return now.Sub(p.began) >= periods*periodTime }
