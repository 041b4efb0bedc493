package prover_test

import (
	"syscall"
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/fakes/forwarder"
	"github.com/carawaybeam/carawaybeam/fakes/launcher"
	"github.com/carawaybeam/carawaybeam/fakes/stepper"
	"github.com/carawaybeam/carawaybeam/prover"
)

const (
	groupRanks = 4

	// switchTimeout bounds the wait for map switches. How long a switch takes is
	// not checked.
	switchTimeout = 90 * time.Second

	// agentPause is how long an agent is paused, and the wait after each further
	// step of pauseAndRestart.
	agentPause = 2 * time.Second

	// linkOutage is how long the link of an agent is interrupted. It exceeds the
	// time from a change of the popular expert to the switch to the next map.
	linkOutage = 4 * time.Second

	// controllerPause exceeds the lifetime of a lease.
	controllerPause = 14 * time.Second
)

// startGroup starts a group with its agents and two controllers. They are stopped
// when the test ends.
func startGroup(t *testing.T, fencing bool) *launcher.Group {
	t.Helper()
	g, err := launcher.StartGroup(t.Context(), launcher.GroupOptions{
		Directory: t.TempDir(), Module: "..", Ranks: groupRanks, Entries: 2, CheckFencing: fencing,
	})
	t.Cleanup(func() {
		if err := g.Close(); err != nil {
			t.Log("stop:", err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return g
}

func history(t *testing.T, g *launcher.Group) stepper.History {
	t.Helper()
	var h stepper.History
	if err := launcher.FetchJSON(t.Context(), g.URL+"/history", &h); err != nil {
		t.Fatal(err)
	}
	return h
}

// countViolations returns the number of violations and of map switches in a history.
// A violation is a rank that enters a step with another map than the first rank to
// enter it, or that returns to an earlier map.
func countViolations(h stepper.History) (violations, switches int) {
	maps := make(map[carawaybeam.Step]carawaybeam.ProposalID)
	last := make(map[carawaybeam.Rank]carawaybeam.ProposalID)
	for _, entered := range h.Steps {
		id := carawaybeam.ProposalID{Epoch: entered.Epoch, Version: entered.Version}
		first, ok := maps[entered.Step]
		if !ok {
			maps[entered.Step] = id
			if entered.Step > 1 && maps[entered.Step-1] != id {
				switches++
			}
		} else if first != id {
			violations++
		}
		if id.Less(last[entered.Rank]) {
			violations++
		}
		last[entered.Rank] = id
	}
	return violations, switches
}

// awaitSwitches waits until the group has switched maps the given number of times.
func awaitSwitches(t *testing.T, g *launcher.Group, more int) {
	t.Helper()
	_, before := countViolations(history(t, g))
	for began := time.Now(); time.Since(began) < switchTimeout; time.Sleep(200 * time.Millisecond) {
		if _, now := countViolations(history(t, g)); now >= before+more {
			return
		}
	}
	t.Errorf("group did not switch maps %d more times in time", more)
}

// TestPromiseOneMapProcesses checks that all ranks of a group of real processes use
// the same map in a step, while links of agents are interrupted and agents and
// controllers are paused, killed and restarted.
func TestPromiseOneMapProcesses(t *testing.T) {
	for name, fencing := range map[string]bool{"checks fencing": true, "ignores fencing": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startGroup(t, fencing)
			awaitSwitches(t, g, 2)
			for _, link := range []*forwarder.Forwarder{g.Links[1], g.Links[3]} {
				interruptLink(link)
				awaitSwitches(t, g, 1)
			}
			for _, p := range []*launcher.Process{g.Agents[2], g.Agents[0]} {
				pauseAndRestart(t, p, agentPause)
				awaitSwitches(t, g, 1)
			}
			for _, p := range g.Entries {
				pauseAndRestart(t, p, controllerPause)
				awaitSwitches(t, g, 1)
			}
			h := history(t, g)
			violations, switches := countViolations(h)
			t.Logf("%d steps entered by ranks, %d switches, %d holds", len(h.Steps), switches, h.Held)
			prover.Report(t, prover.OneMap, switches, violations)
		})
	}
}

// interruptLink cuts the connections of an agent and refuses new ones for linkOutage.
// Meanwhile proposals reach all other agents.
func interruptLink(link *forwarder.Forwarder) {
	link.SetFault(forwarder.Fault{Refuse: true})
	link.Cut()
	time.Sleep(linkOutage)
	link.SetFault(forwarder.Fault{})
}

// pauseAndRestart pauses a process, resumes it, then kills it and starts it again.
func pauseAndRestart(t *testing.T, p *launcher.Process, pause time.Duration) {
	t.Helper()
	for _, step := range []struct {
		act  func() error
		wait time.Duration
	}{
		{func() error { return p.Signal(syscall.SIGSTOP) }, pause},
		{func() error { return p.Signal(syscall.SIGCONT) }, agentPause},
		{p.Kill, agentPause},
		{p.Start, agentPause},
	} {
		if err := step.act(); err != nil {
			t.Error(err)
		}
		time.Sleep(step.wait)
	}
}
