package prover_test

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam/fakes/booker"
	"github.com/carawaybeam/carawaybeam/fakes/launcher"
	"github.com/carawaybeam/carawaybeam/prover"
)

const (
	suspensions = 3

	// suspensionTime is longer than the time after which entries take an agent for
	// silent and an agent takes itself for suspended.
	suspensionTime = 2600 * time.Millisecond

	// resumptionTime is how long after it resumes an agent must start nothing.
	resumptionTime = 150 * time.Millisecond

	lookupCallers  = 40
	lookupInterval = 20 * time.Millisecond
)

// TestPromiseProcessSuspended suspends an agent again and again under steady traffic,
// with requests on the way to it. When it resumes it must not give its backend server
// what it was sent before: entries have long sent it elsewhere, and the server may be
// leaving.
func TestPromiseProcessSuspended(t *testing.T) {
	f := startFleet(t)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for caller := range lookupCallers {
		callers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(lookupInterval):
					lookUp(f.Entries[i%len(f.Entries)], fmt.Sprintf("s%d-%d", caller, i))
				}
			}
		})
	}
	defer callers.Wait()
	defer close(stop)
	violations := 0
	for range suspensions {
		time.Sleep(time.Second)
		resumed := suspend(t, f.Slots[0].Agent)
		time.Sleep(resumptionTime)
		var counts booker.Counts
		if err := launcher.FetchJSON(t.Context(), f.Slots[0].URL+"/counts", &counts); err != nil {
			t.Fatal(err)
		}
		if after := counts.LastStart.Sub(resumed); after > 0 && after < resumptionTime {
			violations++
			t.Logf("a lookup was started %v after the agent resumed", after)
		}
	}
	prover.Report(t, prover.LeavingServer, suspensions, violations)
}

// suspend suspends a process for suspensionTime and returns when it let it resume.
func suspend(t *testing.T, p *launcher.Process) time.Time {
	t.Helper()
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(suspensionTime)
	resumed := time.Now()
	if err := p.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	return resumed
}
