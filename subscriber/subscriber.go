// Package subscriber asks the agents next to backend servers to send the statuses of
// their ranks to this process.
//
// A request is valid for a few seconds and is repeated while the backend server is
// announced. Agents therefore need no list of entries, and no connection to the
// platform's store.
package subscriber

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
)

const (
	// interval is the time between two checks of the backend servers.
	interval = 100 * time.Millisecond

	// renewTime is the time after which a request is repeated. Agents keep a request
	// for three times as long, so that two of them may be lost.
	renewTime = time.Second

	// silentTime is the age of the newest status above which the agent has probably
	// lost the request, for example because it has restarted. The request is then
	// repeated with each check, as is one that was never answered, for at most
	// urgentTime.
	silentTime = 700 * time.Millisecond
	urgentTime = 5 * time.Second
)

type (
	// Options configures a Subscriber.
	Options struct {
		// DataCentre is that of this process.
		DataCentre carawaybeam.DataCentre
		// Instances returns the backend servers next to which agents run.
		Instances func() []carawaybeam.Instance
		// Reported returns when the newest status of the backend server at an
		// address arrived, or the zero time if there is none.
		Reported func(address carawaybeam.Address) time.Time
		// Send sends a frame to the agent at an address.
		Send func(agent carawaybeam.Address, frame *framer.Frame) error
		// AgentPort is the port on which all agents receive requests.
		AgentPort int
		Log       zerolog.Logger
	}

	// Subscriber repeats requests until Close.
	Subscriber struct {
		options Options
		ctx     context.Context
		cancel  context.CancelFunc
		wait    sync.WaitGroup
		// requests holds the requests by the address of the backend server. It is
		// used by the goroutine that runs subscribe.
		requests map[carawaybeam.Address]*request
	}

	request struct {
		// renewAt is when the request is repeated at the latest.
		renewAt time.Time
		// first is when it was first sent, and reported when a status last arrived
		// since then, or zero.
		first, reported time.Time
	}
)

// New returns a Subscriber and starts it.
func New(options Options) *Subscriber {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Subscriber{
		options:  options,
		ctx:      ctx,
		cancel:   cancel,
		requests: make(map[carawaybeam.Address]*request),
	}
	s.wait.Go(s.subscribe)
	return s
}

// Close stops sending requests and waits for the goroutine. The error is always nil.
func (s *Subscriber) Close() error {
	s.cancel()
	s.wait.Wait()
	return nil
}

func (s *Subscriber) subscribe() {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		s.check(time.Now())
		select {
		case <-ticker.C:
		case <-s.ctx.Done():
			return
		}
	}
}

// check sends the requests that are due, and forgets those to agents next to backend servers
// that are gone.
func (s *Subscriber) check(now time.Time) {
	current := make(map[carawaybeam.Address]*request, len(s.requests))
	for _, instance := range s.options.Instances() {
		r, known := s.requests[instance.Address]
		if !known {
			r = &request{first: now}
		}
		current[instance.Address] = r
		if reported := s.options.Reported(instance.Address); reported.After(r.first) {
			r.reported = reported
		}
		if now.Before(r.renewAt) && !r.isUrgent(now) {
			continue
		}
		s.request(instance)
		// The requests of many agents are spread over time.
		r.renewAt = now.Add(renewTime - rand.N(renewTime/4))
	}
	s.requests = current
}

// isUrgent reports whether the agent has probably not received the request.
func (r *request) isUrgent(now time.Time) bool {
	if r.reported.IsZero() {
		return now.Sub(r.first) <= urgentTime
	}
	silent := now.Sub(r.reported)
	return silent > silentTime && silent <= urgentTime
}

func (s *Subscriber) request(instance carawaybeam.Instance) {
	host, _, err := net.SplitHostPort(string(instance.Address))
	if err == nil {
		agent := carawaybeam.Address(net.JoinHostPort(host, strconv.Itoa(s.options.AgentPort)))
		err = s.options.Send(agent, &framer.Frame{Body: &framer.Frame_StatusRequest{
			StatusRequest: &framer.StatusRequest{Near: instance.DataCentre == s.options.DataCentre},
		}})
	}
	if err != nil {
		s.options.Log.Debug().Err(err).Str("backend", string(instance.ID)).
			Msg("subscriber: cannot request statuses")
	}
}
