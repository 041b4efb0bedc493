package granter_test

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the synctest bubbles on one processor, so that the order of events
// hardly varies between runs. With several processors, the race detector of Go
// 1.26.8 itself sometimes crashes while it records the timers of a bubble, which
// all threads share (StackDepot::Put below internal/synctest.Run).
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
