package balanced_test

import (
	"math"
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/router/balanced"
	"github.com/carawaybeam/carawaybeam/router/occupancy"
)

// seeds is the number of runs of each load pattern.
const seeds = 3

func newRouter() carawaybeam.Router { return balanced.New() }

// newPreviousRouter returns the router with which entries choose without the router balanced.
func newPreviousRouter() carawaybeam.Router { return occupancy.New() }

// checkBesidePrevious fails the test if fewer streams of a period were in time, or more were late or crossed data
// centres, than with the previous router under the same load.
func checkBesidePrevious(t *testing.T, f, previous *fleet, from, until time.Duration) {
	t.Helper()
	inTime, late, _ := f.served(from, until)
	previousInTime, previousLate, _ := previous.served(from, until)
	crossed, previousCrossed := f.crossed(from, until), previous.crossed(from, until)
	t.Logf("beside the previous router: %.3f and %.3f in time, %.3f and %.3f late, %.3f and %.3f crossed",
		inTime, previousInTime, late, previousLate, crossed, previousCrossed)
	if inTime < previousInTime || late > previousLate || crossed > previousCrossed {
		t.Errorf("streams from %v to %v are served worse than with the previous router", from, until)
	}
}

// sustained returns how many streams per second the groups beside a lost one serve in time at most, and
// the offered rate at which they do.
func sustained(seed uint64) (inTime, offered float64) {
	for rate := 0.4; rate <= 1.01; rate += 0.1 {
		f := newFleet(seed, newRouter)
		f.lost = func(dataCentre int, _ time.Duration) bool { return dataCentre == 0 }
		f.rate = func(int, time.Duration) float64 { return rate * fleetRate / 2 }
		f.run(14 * time.Second)
		if good, _, _ := f.served(2*time.Second, 11*time.Second); good*rate*fleetRate > inTime {
			inTime, offered = good*rate*fleetRate, rate*fleetRate
		}
	}
	return inTime, offered
}

// checkShares fails the test if a group had a share outside the bounds in a period.
func checkShares(t *testing.T, f *fleet, group int, from, until time.Duration, least, most float64) {
	t.Helper()
	if low, high := f.share(group, from, until); low < least || high > most {
		t.Errorf("group %d had %.2f to %.2f of the requests from %v to %v, want %.2f to %.2f",
			group, low, high, from, until, least, most)
	}
}

// checkInTime fails the test if too few streams of a period were in time.
func checkInTime(t *testing.T, f *fleet, from, until time.Duration, least float64) {
	t.Helper()
	inTime, late, refused := f.served(from, until)
	t.Logf("%v to %v: %.3f in time, %.3f late, %.3f refused", from, until, inTime, late, refused)
	if inTime < least {
		t.Errorf("%.3f of the streams from %v to %v were in time, want %.3f", inTime, from, until, least)
	}
}

// TestSlowGroup makes a group 5 times slower and lets it recover. It fails if streams still go to the
// slow group, or if the entries move together between the others or back to it again and again.
func TestSlowGroup(t *testing.T) {
	const slowFrom, slowUntil = 10 * time.Second, 22 * time.Second
	for seed := range uint64(seeds) {
		f := newFleet(seed, newRouter)
		f.rate = func(int, time.Duration) float64 { return 200. / fleetGroups }
		f.slowness = func(group int, at time.Duration) float64 {
			if group == 0 && at >= slowFrom && at < slowUntil {
				return 5
			}
			return 1
		}
		f.run(36 * time.Second)
		checkInTime(t, f, slowFrom+2*time.Second, slowUntil, 0.95)
		checkShares(t, f, 0, slowFrom+2*time.Second, slowUntil, 0, 0.05)
		checkShares(t, f, 1, slowFrom+2*time.Second, slowUntil, 0.3, 0.7)
		checkShares(t, f, 2, slowFrom+2*time.Second, slowUntil, 0.3, 0.7)
		checkInTime(t, f, slowUntil, 34*time.Second, 0.99)
		for group := range fleetGroups {
			checkShares(t, f, group, slowUntil+3*time.Second, 34*time.Second, 0.15, 0.55)
		}
	}
}

// TestLostDataCentre loses the data centre in which half of the requests arrive, with its group.
// Its clients turn to the others, which together sustain less. It fails if these move together
// between the remaining groups, or if few of the streams that the groups sustain are in time.
func TestLostDataCentre(t *testing.T) {
	const lostFrom, lostUntil = 10 * time.Second, 20 * time.Second
	for seed := range uint64(seeds) {
		f, previous := newFleet(seed, newRouter), newFleet(seed, newPreviousRouter)
		f.lost = func(dataCentre int, at time.Duration) bool {
			return dataCentre == 0 && at >= lostFrom && at < lostUntil
		}
		f.rate = func(dataCentre int, at time.Duration) float64 {
			switch {
			case f.lost(0, at):
				return fleetRate / 2
			case dataCentre == 0:
				return fleetRate / 2
			}
			return fleetRate / 4
		}
		previous.lost, previous.rate = f.lost, f.rate
		f.run(32 * time.Second)
		previous.run(32 * time.Second)
		checkInTime(t, f, lostFrom+time.Second, lostUntil, 0.55)
		checkShares(t, f, 0, lostFrom+time.Second, lostUntil, 0, 0.05)
		checkShares(t, f, 1, lostFrom+time.Second, lostUntil, 0.25, 0.75)
		checkShares(t, f, 2, lostFrom+time.Second, lostUntil, 0.25, 0.75)

		// The requirement itself: more is served in time and less late than with the previous router, and the load
		// does not move between the groups in waves. TestLostDataCentreSustained compares with what they sustain.
		checkBesidePrevious(t, f, previous, lostFrom+time.Second, lostUntil)
		low, high := f.share(1, lostFrom+time.Second, lostUntil)
		previousLow, previousHigh := previous.share(1, lostFrom+time.Second, lostUntil)
		if high-low > previousHigh-previousLow {
			t.Errorf(
				"shares of group 1 swing by %.2f, with the previous router by %.2f",
				high-low,
				previousHigh-previousLow,
			)
		}
		checkInTime(t, f, lostUntil+3*time.Second, 30*time.Second, 0.95)
		for group := range fleetGroups {
			checkShares(t, f, group, lostUntil+3*time.Second, 30*time.Second, 0.15, 0.6)
		}
	}
}

// TestLostDataCentreSustained offers the two groups that remain more than they sustain. It fails if they
// serve less in time than they sustain, since the rest is not rejected at once.
func TestLostDataCentreSustained(t *testing.T) {
	for seed := range uint64(seeds) {
		f := newFleet(seed, newRouter)
		f.lost = func(dataCentre int, _ time.Duration) bool { return dataCentre == 0 }
		f.rate = func(int, time.Duration) float64 { return fleetRate / 2 }
		f.run(14 * time.Second)
		inTime, late, rejected := f.served(2*time.Second, 11*time.Second)
		most, offered := sustained(seed)
		t.Logf("%.0f of %d streams/s in time, %.0f late, %.0f rejected; %.0f in time at %.0f offered",
			inTime*fleetRate, fleetRate, late*fleetRate, rejected*fleetRate, most, offered)
		if inTime*fleetRate < 0.95*most {
			t.Errorf("%.0f streams/s are in time, want the %.0f that the groups sustain", inTime*fleetRate, most)
		}
	}
}

// TestDemandWaves lets the demand of each data centre swing by 55%, a third of a period apart. It fails
// if the surplus of a data centre is not served by the others, or if streams cross data centres that
// need not.
func TestDemandWaves(t *testing.T) {
	const period = 12 * time.Second
	for seed := range uint64(seeds) {
		f, previous := newFleet(seed, newRouter), newFleet(seed, newPreviousRouter)
		f.rate = func(dataCentre int, at time.Duration) float64 {
			phase := at.Seconds()/period.Seconds() + float64(dataCentre)/fleetGroups
			return fleetRate / fleetGroups * (1 + 0.55*math.Sin(2*math.Pi*phase))
		}
		previous.rate = f.rate
		f.run(28 * time.Second)
		previous.run(28 * time.Second)
		checkInTime(t, f, 2*time.Second, 26*time.Second, 0.965)

		// The requirement itself: the surplus of a data centre is served in time elsewhere, as if the same demand
		// came evenly, and no more streams cross data centres than with the previous router.
		checkBesidePrevious(t, f, previous, 2*time.Second, 26*time.Second)
		even := newFleet(seed, newRouter)
		even.run(28 * time.Second)
		inTime, _, _ := f.served(2*time.Second, 26*time.Second)
		evenInTime, _, _ := even.served(2*time.Second, 26*time.Second)
		t.Logf("even demand: %.3f in time", evenInTime)
		if inTime < evenInTime-0.02 {
			t.Errorf("%.3f of the streams are in time, %.3f with even demand", inTime, evenInTime)
		}
		for group := range fleetGroups {
			checkShares(t, f, group, 2*time.Second, 26*time.Second, 0.15, 0.62)
		}
	}
}

// TestEvenDemand offers three quarters of what the groups sustain. It fails if more than 8% of
// the streams cross data centres, which is billed.
func TestEvenDemand(t *testing.T) {
	for seed := range uint64(seeds) {
		f := newFleet(seed, newRouter)
		f.run(20 * time.Second)
		checkInTime(t, f, 2*time.Second, 17*time.Second, 0.98)
		if crossed := f.crossed(2*time.Second, 17*time.Second); crossed > 0.08 {
			t.Errorf("%.3f of the streams crossed data centres", crossed)
		}
	}
}
