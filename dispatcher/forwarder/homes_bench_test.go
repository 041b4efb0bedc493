package forwarder_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/dispatcher/forwarder"
	"github.com/carawaybeam/carawaybeam/matcher"
)

// fixedConfiguration is a configuration that does not change.
type fixedConfiguration struct{ config *matcher.Matcher }

func (c fixedConfiguration) Current() *matcher.Matcher { return c.config }

// newHomesBenchmark returns a Forwarder with backend servers in two regions. The homes are those of the
// route.
func newHomesBenchmark(b testing.TB, servers int, homes ...carawaybeam.Region) *forwarder.Forwarder {
	b.Helper()
	env := newEnvironment()
	options := newBenchmarkOptions(b, env, servers, nil)
	for i := range env.instances {
		env.instances[i].Region = []carawaybeam.Region{"north", "south"}[i%2]
	}
	env.setHomes(homes...)
	options.Configuration = fixedConfiguration{config: matcher.New(env.routing)}
	return forwarder.New(options)
}

// BenchmarkHomes measures a safe request through the Forwarder, answered at once, without homes and with a
// home region that has half of the backend servers, of which there are 12 and 3,600.
func BenchmarkHomes(b *testing.B) {
	for _, servers := range []int{12, 3600} {
		for name, homes := range map[string][]carawaybeam.Region{"none": nil, "half": {"north"}} {
			b.Run(fmt.Sprintf("%s/%d", name, servers), func(b *testing.B) {
				f := newHomesBenchmark(b, servers, homes...)
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

// TestHomesAllocateOnce guards against a request with homes that needs more memory than one list of backend
// servers and the set of permitted ones.
func TestHomesAllocateOnce(t *testing.T) {
	allocations := func(homes ...carawaybeam.Region) float64 {
		f := newHomesBenchmark(t, 12, homes...)
		r := request(carawaybeam.RouteSafe)
		r.Timeout = time.Minute
		return testing.AllocsPerRun(500, func() {
			_ = f.Serve(context.Background(), time.Now(), r, &recordedAnswer{})
		})
	}
	none, half := allocations(), allocations("north")
	if half > none+2 {
		t.Errorf("allocations are %v without homes and %v with them", none, half)
	}
}
