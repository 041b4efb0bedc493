package hedger

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// periods of periodTime each are remembered of the latencies of a kind. A quantile of one kind
	// thus follows a change of load within a minute. A period with few latencies lasts until there
	// are enough, at most sparsePeriodTime: an entry may get a kind only every few seconds.
	periods          = 3
	periodTime       = 20 * time.Second
	sparsePeriodTime = time.Minute

	// minLonger is the number of known latencies above the time that an attempt has taken from which
	// they tell how long it still takes.
	minLonger = 3

	// updateInterval is how often the quantiles are computed. It takes microseconds.
	updateInterval = 250 * time.Millisecond

	// unit is the unit of the histograms, maxLatency the highest latency that they tell from
	// others, and digits their precision: 2 KB for each period.
	unit       = 100 * time.Microsecond
	maxLatency = time.Minute
	digits     = 1

	// middle is the percentile of the median.
	middle  = 50
	percent = 100

	// eventTime is the time, and minEvents and maxEvents are the numbers of attempts, that
	// decide on whether backend servers are slow as a whole. Entries with few requests see less
	// than one of a pool in a second.
	eventTime = time.Second
	minEvents = 8
	maxEvents = 64
)

type (
	// latencies is what is known of the latencies of one kind.
	latencies struct {
		window *hdrhistogram.WindowedHistogram
		// rotated is when the current period began, and ends when it ends.
		rotated, ends time.Time
		// cancelled holds those in window of attempts that would have taken longer.
		cancelled *hdrhistogram.WindowedHistogram

		// updated is when the quantiles were computed, from so many samples in known.
		updated       time.Time
		known, cut    *hdrhistogram.Histogram
		samples       int64
		delay, median time.Duration
	}

	// lateness holds for the last attempts of a pool whether they took longer than most of their
	// kind, in a ring.
	lateness struct {
		at   [maxEvents]time.Time
		late [maxEvents]bool
		// next is the index after the last one, and known how many there are.
		next, known int
	}
)

func newLatencies(now time.Time) *latencies {
	l := &latencies{window: newWindow(), cancelled: newWindow()}
	l.begin(now)
	return l
}

func newWindow() *hdrhistogram.WindowedHistogram {
	return hdrhistogram.NewWindowed(periods, 1, int64(maxLatency/unit), digits)
}

// record records one latency, which is that of an attempt that was cancelled if cut is set.
func (l *latencies) record(now time.Time, latency time.Duration, cut bool) {
	value := int64(min(max(latency, unit), maxLatency) / unit)
	// The only error is about a latency above the maximum.
	_ = l.window.Current.RecordValue(value)
	if cut {
		_ = l.cancelled.Current.RecordValue(value)
	}
	if l.window.Current.TotalCount() == minSamples {
		l.ends = l.rotated.Add(max(periodTime, now.Sub(l.rotated)))
	}
}

// update forgets old latencies and computes the quantiles, if they were not computed just now.
func (l *latencies) update(now time.Time, quantile float64) {
	if now.Sub(l.updated) < updateInterval {
		return
	}
	l.updated = now
	for range periods {
		if now.Before(l.ends) {
			break
		}
		l.window.Rotate()
		l.cancelled.Rotate()
		l.begin(l.ends)
	}
	if !now.Before(l.ends) {
		l.begin(now)
	}
	l.known, l.cut = l.window.Merge(), l.cancelled.Merge()
	l.samples = l.known.TotalCount()
	l.delay = time.Duration(l.known.ValueAtQuantile(quantile*percent)) * unit
	l.median = time.Duration(l.known.ValueAtQuantile(middle)) * unit
}

// begin begins a period, which has no latencies yet.
func (l *latencies) begin(at time.Time) { l.rotated, l.ends = at, at.Add(sparsePeriodTime) }

// remaining returns how long an attempt that has taken some time is expected to take still: the mean
// residual latency. If hardly any known latency was longer, that is the time by which the attempt
// exceeds the usual one, as the residual grows with it for a long tail.
func (l *latencies) remaining(elapsed time.Duration) time.Duration {
	count, sum := longer(l.known, elapsed)
	if count < minLonger {
		return elapsed - l.median
	}
	// Attempts that were cancelled are taken to have needed as long again. Otherwise the second attempts
	// that won would make further ones seem useless.
	_, more := longer(l.cut, elapsed)
	return time.Duration(sum+more)*unit/time.Duration(count) - elapsed
}

// longer returns the number and the sum of the latencies that are longer than elapsed.
func longer(h *hdrhistogram.Histogram, elapsed time.Duration) (count, sum int64) {
	for _, bar := range h.Distribution() {
		if bar.From > int64(elapsed/unit) {
			count += bar.Count
			sum += bar.Count * (bar.From + bar.To) / 2
		}
	}
	return count, sum
}

// add adds an attempt.
func (l *lateness) add(now time.Time, late bool) {
	l.at[l.next], l.late[l.next] = now, late
	l.next = (l.next + 1) % maxEvents
	l.known = min(l.known+1, maxEvents)
}

// most reports whether more than half of the attempts of the last eventTime, or of the last minEvents,
// took longer than most of their kind. The median of the latency then exceeds the usual quantile, also
// if none of these attempts has ended.
func (l *lateness) most(now time.Time) bool {
	counted, late := 0, 0
	for i := range l.known {
		at := (l.next - 1 - i + maxEvents) % maxEvents
		if i >= minEvents && now.Sub(l.at[at]) > eventTime {
			break
		}
		counted++
		if l.late[at] {
			late++
		}
	}
	return late*2 > counted
}
