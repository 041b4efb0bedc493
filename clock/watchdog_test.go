package clock_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam/clock"
)

// TestWatchdog checks that a process counts as suspended until a moment after it runs again.
func TestWatchdog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		// The clock goes on while the process is suspended.
		var suspended atomic.Int64
		p := clock.NewWatchdog(func() time.Duration {
			return time.Since(start) + time.Duration(suspended.Load())
		})
		defer func() { is.NoErr(p.Close()) }()
		time.Sleep(time.Minute)
		is.True(!p.Suspended())
		suspended.Add(int64(time.Second))
		is.True(!p.Suspended())
		time.Sleep(1100 * time.Millisecond)
		suspended.Add(int64(20 * time.Second))
		is.True(p.Suspended())
		time.Sleep(200 * time.Millisecond)
		is.True(p.Suspended())
		time.Sleep(300 * time.Millisecond)
		is.True(!p.Suspended())
	})
}
