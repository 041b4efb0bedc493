package replicator_test

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the bubbles on one processor. The order of events then hardly
// varies from run to run. With several, the race detector of Go 1.26.8 itself
// crashes now and then in its bookkeeping of a bubble's timers, which all threads
// share (StackDepot::Put below internal/synctest.Run).
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
