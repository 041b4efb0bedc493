package forwarder_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/detector"
	"github.com/carawaybeam/carawaybeam/dispatcher/forwarder"
	"github.com/carawaybeam/carawaybeam/hedger"
	"github.com/carawaybeam/carawaybeam/limiter/unlimited"
	"github.com/carawaybeam/carawaybeam/pooler"
	"github.com/carawaybeam/carawaybeam/quarantiner"
	"github.com/carawaybeam/carawaybeam/retrier/quota"
	"github.com/carawaybeam/carawaybeam/router/occupancy"
)

// instantSender answers each request at once.
type instantSender struct{}

func (instantSender) Send(_ context.Context, _ carawaybeam.Address, r pooler.Request) (*pooler.Reply, error) {
	return whole("x")(r)
}

func (instantSender) CloseIdle(carawaybeam.Address) {}

// BenchmarkHedging measures a safe request through the Forwarder, answered at once, without a Hedger, with
// hedging off and on, for 12 and 3,600 backend servers.
func BenchmarkHedging(b *testing.B) {
	hedgers := map[string]*hedger.Hedger{
		"none": nil,
		"off":  hedger.New(time.Now(), hedger.Settings{}),
		"on":   hedger.New(time.Now(), hedger.Settings{Ratio: 0.05, MinDelay: time.Second}),
	}
	for _, servers := range []int{12, 3600} {
		for _, name := range []string{"none", "off", "on"} {
			b.Run(fmt.Sprintf("%s/%d", name, servers), func(b *testing.B) {
				f := newBenchmarked(b, servers, hedgers[name])
				r := request(carawaybeam.RouteSafe)
				r.Timeout = time.Minute
				b.ReportAllocs()
				for b.Loop() {
					if failure := f.Serve(b.Context(), time.Now(), r, &recordedAnswer{}); failure != nil {
						b.Fatal(failure)
					}
				}
			})
		}
	}
}

func newBenchmarked(b *testing.B, servers int, decides *hedger.Hedger) *forwarder.Forwarder {
	b.Helper()
	return forwarder.New(newBenchmarkOptions(b, newEnvironment(), servers, decides))
}

// newBenchmarkOptions returns the options of a Forwarder in an environment that gets a number of backend
// servers.
func newBenchmarkOptions(
	b testing.TB,
	env *environment,
	servers int,
	decides *hedger.Hedger,
) forwarder.Options {
	b.Helper()
	env.instances = nil
	for i := range servers {
		env.instances = append(env.instances, carawaybeam.Instance{
			BackendIncarnation: carawaybeam.BackendIncarnation{ID: carawaybeam.BackendID(fmt.Sprint("server-", i))},
			Pool:               "pool", Address: "10.0.0.1:80", Slots: 10,
		})
	}
	quarantine := quarantiner.New(quarantiner.Partial)
	detect := detector.New(detector.Options{
		Probe: env.Probe, InUse: func(carawaybeam.Instance) bool { return true }, Quarantiner: quarantine,
		Log: zerolog.Nop(),
	})
	b.Cleanup(func() { _ = detect.Close() })
	return forwarder.Options{
		Configuration: env,
		ConfigAge:     func() (time.Duration, bool) { return 0, true },
		MaxKeyAge:     func() time.Duration { return 0 },
		Members:       env,
		Detector:      detect,
		Quarantiner:   quarantine,
		CrashesShared: func(quarantiner.Fingerprint) bool { return true },
		ConductsTrial: func(quarantiner.Fingerprint) bool { return true },
		Entries:       func() int { return 1 },
		Throttler:     env.throttle(),
		Sender:        instantSender{},
		Hedger:        decides,
		Report:        func(carawaybeam.Address) (forwarder.Report, bool) { return forwarder.Report{}, false },
		Encode:        func(*carawaybeam.ClientRequest, carawaybeam.Forwarding) http.Header { return nil },
		Router:        occupancy.New(),
		Limiter:       unlimited.Limiter{},
		Retrier: quota.New(quota.Options{
			Bound: quota.Bound{Window: 10 * time.Second}, Entries: func() int { return 1 }, Started: time.Now(),
		}),
		Log: zerolog.Nop(),
	}
}

// TestHedgingOffCostsNothing guards against a timer, a goroutine or memory for requests while hedging is
// off.
func TestHedgingOffCostsNothing(t *testing.T) {
	allocations := func(decides *hedger.Hedger) int64 {
		return testing.Benchmark(func(b *testing.B) {
			f := newBenchmarked(b, 12, decides)
			r := request(carawaybeam.RouteSafe)
			r.Timeout = time.Minute
			b.ReportAllocs()
			for range b.N {
				_ = f.Serve(context.Background(), time.Now(), r, &recordedAnswer{})
			}
		}).AllocsPerOp()
	}
	none, off := allocations(nil), allocations(hedger.New(time.Now(), hedger.Settings{}))
	on := allocations(hedger.New(time.Now(), hedger.Settings{Ratio: 0.05}))
	if off != none || on <= none {
		t.Errorf("allocations are %d without a Hedger, %d with hedging off and %d with it on", none, off, on)
	}
}
