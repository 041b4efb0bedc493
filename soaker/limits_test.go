package soaker

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam/platform/emulator"
)

// TestLimitsAreWholeMilliseconds guards against limits that the judge takes for longer than they
// are, since the configuration holds whole milliseconds.
func TestLimitsAreWholeMilliseconds(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	c := &emulator.Configuration{}
	for range 100 {
		changeIdleLimit(c, random)
		changeRouteTimeout(c, random)
		is.Equal(c.Limits.IdleTimeout%time.Millisecond, time.Duration(0))
		is.Equal(c.RouteTimeout%time.Millisecond, time.Duration(0))
	}
}
