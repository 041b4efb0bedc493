package subscriber_test

import (
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/subscriber"
)

const agentPort = 7340

// fleet is the agents of backend servers. An agent that runs answers each request with a
// status.
type fleet struct {
	mu        sync.Mutex
	instances []carawaybeam.Instance
	stopped   bool
	requests  map[carawaybeam.Address]int
	near      map[carawaybeam.Address]bool
	reported  time.Time
}

func (f *fleet) send(agent carawaybeam.Address, frame *framer.Frame) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests[agent]++
	f.near[agent] = frame.GetStatusRequest().GetNear()
	return nil
}

// lastReport returns the present time while the agents run.
func (f *fleet) lastReport(carawaybeam.Address) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.stopped {
		f.reported = time.Now()
	}
	return f.reported
}

func (f *fleet) stop(stopped bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = stopped
}

// take returns the requests that each agent received since the last call.
func (f *fleet) take() map[carawaybeam.Address]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	taken := maps.Clone(f.requests)
	clear(f.requests)
	return taken
}

func instance(address carawaybeam.Address, dataCentre carawaybeam.DataCentre) carawaybeam.Instance {
	return carawaybeam.Instance{Address: address, DataCentre: dataCentre}
}

// run calls the function with a subscriber for two agents, in a bubble.
func run(t *testing.T, f func(t *testing.T, agents *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		agents := &fleet{
			instances: []carawaybeam.Instance{instance("10.0.0.1:80", "a"), instance("10.0.0.2:80", "b")},
			requests:  make(map[carawaybeam.Address]int),
			near:      make(map[carawaybeam.Address]bool),
		}
		s := subscriber.New(subscriber.Options{
			DataCentre: "a",
			Instances: func() []carawaybeam.Instance {
				agents.mu.Lock()
				defer agents.mu.Unlock()
				return agents.instances
			},
			Reported:  agents.lastReport,
			Send:      agents.send,
			AgentPort: agentPort,
			Log:       zerolog.Nop(),
		})
		f(t, agents)
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
}

// TestRequestsAreRenewed checks that agents that report are asked about once a second, which
// is several times within the time for which they keep a request.
func TestRequestsAreRenewed(t *testing.T) {
	run(t, func(t *testing.T, agents *fleet) {
		is := is.New(t)
		time.Sleep(time.Second)
		agents.take()
		time.Sleep(10 * time.Second)
		taken := agents.take()
		for _, agent := range []carawaybeam.Address{"10.0.0.1:7340", "10.0.0.2:7340"} {
			if n := taken[agent]; n < 9 || n > 14 {
				t.Errorf("%d requests to %s in 10 s", n, agent)
			}
			agents.mu.Lock()
			near := agents.near[agent]
			agents.mu.Unlock()
			is.Equal(near, agent == "10.0.0.1:7340")
		}
	})
}

// TestRestartedAgents checks that agents that have lost their requests, as after a restart of all
// processes at once, are asked within tenths of a second of their return, and that those that
// do not return cost no more than others.
func TestRestartedAgents(t *testing.T) {
	run(t, func(t *testing.T, agents *fleet) {
		is := is.New(t)
		time.Sleep(3 * time.Second)
		agents.stop(true)
		time.Sleep(2 * time.Second)
		agents.take()
		time.Sleep(200 * time.Millisecond)
		is.True(agents.take()["10.0.0.1:7340"] >= 1)
		time.Sleep(5 * time.Second)
		agents.take()
		time.Sleep(10 * time.Second)
		is.True(agents.take()["10.0.0.1:7340"] <= 14)
	})
}

// TestGoneBackendServer checks that the agent next to a backend server that is no longer announced
// is not asked.
func TestGoneBackendServer(t *testing.T) {
	run(t, func(t *testing.T, agents *fleet) {
		is := is.New(t)
		time.Sleep(time.Second)
		agents.mu.Lock()
		agents.instances = agents.instances[:1]
		agents.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		agents.take()
		time.Sleep(5 * time.Second)
		taken := agents.take()
		is.True(taken["10.0.0.1:7340"] > 0)
		is.Equal(taken["10.0.0.2:7340"], 0)
	})
}
