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

	// groupPatience bounds the wait for switches. No verdict depends on how much
	// of it is used.
	groupPatience = 90 * time.Second

	// agentPause is how long an agent is stopped.
	agentPause = 2 * time.Second

	// cutOff is how long an agent hears nothing, longer than the time from one
	// popular expert to the switch to the next map.
	cutOff = 4 * time.Second

	// controllerPause is longer than a lease holds.
	controllerPause = 14 * time.Second
)

// startGroup starts a group with its agents and two controllers, which end with
// the test.
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

// judge counts the ranks that used another map in a step than the first one, or
// went back to an earlier map, and the switches.
func judge(h stepper.History) (violations, switches int) {
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

// awaitSwitches waits until the group has switched some more times.
func awaitSwitches(t *testing.T, g *launcher.Group, more int) {
	t.Helper()
	_, before := judge(history(t, g))
	for began := time.Now(); time.Since(began) < groupPatience; time.Sleep(200 * time.Millisecond) {
		if _, now := judge(history(t, g)); now >= before+more {
			return
		}
	}
	t.Errorf("group did not switch %d times", more)
}

// TestPromiseOneMapProcesses switches maps of a group of real processes while
// agents and controllers are stopped, go on, are killed and start again.
func TestPromiseOneMapProcesses(t *testing.T) {
	for name, fencing := range map[string]bool{"checks fencing": true, "ignores fencing": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startGroup(t, fencing)
			awaitSwitches(t, g, 2)
			for _, link := range []*forwarder.Forwarder{g.Links[1], g.Links[3]} {
				silence(link)
				awaitSwitches(t, g, 1)
			}
			for _, p := range []*launcher.Process{g.Agents[2], g.Agents[0]} {
				disturb(t, p, agentPause)
				awaitSwitches(t, g, 1)
			}
			for _, p := range g.Entries {
				disturb(t, p, controllerPause)
				awaitSwitches(t, g, 1)
			}
			h := history(t, g)
			violations, switches := judge(h)
			t.Logf("%d entries of steps, %d switches, %d holds", len(h.Steps), switches, h.Held)
			prover.Report(t, prover.OneMap, switches, violations)
		})
	}
}

// silence keeps an agent from hearing anything for a while. Proposals then reach
// all others.
func silence(link *forwarder.Forwarder) {
	link.SetFault(forwarder.Fault{Refuse: true})
	link.Cut()
	time.Sleep(cutOff)
	link.SetFault(forwarder.Fault{})
}

// disturb stops a process for a while, lets it go on, then kills it and starts it
// again.
func disturb(t *testing.T, p *launcher.Process, pause time.Duration) {
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
