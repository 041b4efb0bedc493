package dispatcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/binder"
	"github.com/carawaybeam/carawaybeam/dispatcher"
	"github.com/carawaybeam/carawaybeam/fakes/assembler"
	"github.com/carawaybeam/carawaybeam/fakes/linker"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/limiter/unlimited"
	"github.com/carawaybeam/carawaybeam/prover"
	"github.com/carawaybeam/carawaybeam/quarantiner"
	"github.com/carawaybeam/carawaybeam/retrier/proof"
	"github.com/carawaybeam/carawaybeam/router/leastinflight"
	"github.com/carawaybeam/carawaybeam/tracker"
)

// regionalSystem is a system of agents in the regions north and south in turn. It is the configuration of its
// dispatcher, whose homes can change.
type regionalSystem struct {
	*assembler.Assembler

	dispatcher *dispatcher.Dispatcher
	quarantine *quarantiner.Quarantiner
	refused    atomic.Int64
	// linking is called before the agent that a key or a ticket names is linked to, unless it is nil.
	linking func()

	mu sync.Mutex
	// class and organisation are the homes in force.
	class, organisation []carawaybeam.Region
	// first holds the homes of the class and the organisation with which each request began.
	first map[carawaybeam.RequestID][2][]carawaybeam.Region
	// dispatched is the number of requests that were sent to agents in each region, and outside that
	// of those to agents that were not in a home region then.
	dispatched map[carawaybeam.Region]int
	outside    int
}

// regionalMembers are the agents of a regionalSystem.
type regionalMembers struct {
	*tracker.Tracker

	system *regionalSystem
}

func newRegionalSystem(t *testing.T, agents int) *regionalSystem {
	t.Helper()
	s := &regionalSystem{
		Assembler:  newSystem(t, agents),
		quarantine: quarantiner.New(quarantiner.Complete),
		first:      make(map[carawaybeam.RequestID][2][]carawaybeam.Region),
		dispatched: make(map[carawaybeam.Region]int),
	}
	keys := binder.New(s.Store)
	t.Cleanup(func() { _ = keys.Close() })
	regions := make(map[carawaybeam.Address]carawaybeam.Region)
	for i, slot := range s.Slots {
		slot.VM.DataCentre = carawaybeam.DataCentre(fmt.Sprint("dc-", i%2))
		regions[slot.VM.Address] = s.region(slot.VM.DataCentre)
	}
	s.PublishVMs()
	time.Sleep(30 * time.Second) // Until the list is read again.
	s.dispatcher = dispatcher.New(dispatcher.Options{
		Members:        regionalMembers{Tracker: s.Entries[0].Tracker, system: s},
		Binder:         keys,
		ConfigObserver: s.Entries[0].Configurer,
		Configuration:  s,
		Router:         leastinflight.Router{},
		Limiter:        unlimited.Limiter{},
		Retrier:        proof.Retrier{},
		Quarantiner:    s.quarantine,
		Region:         s.region,
		HomeRefused:    func() { s.refused.Add(1) },
		Log:            zerolog.Nop(),
	})
	s.Network.SetInjector(func(address carawaybeam.Address, _ linker.Direction, f *framer.Frame) linker.Decision {
		if sent := f.GetDispatch(); sent != nil {
			s.observe(regions[address], sent)
		}
		return linker.Decision{}
	})
	return s
}

// EnsureLink links to a backend server.
func (m regionalMembers) EnsureLink(
	ctx context.Context,
	pool carawaybeam.PoolID,
	backend carawaybeam.BackendID,
) bool {
	if m.system.linking != nil {
		m.system.linking()
	}
	return m.Tracker.EnsureLink(ctx, pool, backend)
}

func (*regionalSystem) region(dataCentre carawaybeam.DataCentre) carawaybeam.Region {
	return map[carawaybeam.DataCentre]carawaybeam.Region{"dc-0": "north", "dc-1": "south"}[dataCentre]
}

// observe counts a frame with the body of a request to an agent.
func (s *regionalSystem) observe(region carawaybeam.Region, sent *framer.Dispatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatched[region]++
	homes := [2][]carawaybeam.Region{s.class, s.organisation}
	if request, ok := strings.CutSuffix(sent.GetAttempt(), ".1"); ok {
		homes = s.first[carawaybeam.RequestID(request)]
	}
	for _, list := range homes {
		if len(list) > 0 && !slices.Contains(list, region) {
			s.outside++
		}
	}
}

func (s *regionalSystem) setHomes(class, organisation []carawaybeam.Region) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.class, s.organisation = class, organisation
}

func (*regionalSystem) Version() carawaybeam.ConfigVersion { return 1 }

func (*regionalSystem) AwaitNewer(context.Context, carawaybeam.ConfigVersion) bool { return true }

func (s *regionalSystem) Class(id carawaybeam.ClassID) (carawaybeam.Class, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	class := drafting("").Class
	if id != class.ID {
		class = booking("", "").Class
	}
	class.Homes = s.class
	return class, true
}

func (s *regionalSystem) Organisation(id carawaybeam.OrganisationID) (carawaybeam.Organisation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return carawaybeam.Organisation{ID: id, Homes: s.organisation}, true
}

// do serves a request under the homes in force.
func (s *regionalSystem) do(request dispatcher.Request) *carawaybeam.RequestError {
	s.mu.Lock()
	s.first[request.ID] = [2][]carawaybeam.Region{s.class, s.organisation}
	request.Residency = carawaybeam.Residency{
		Route:        carawaybeam.NewHomeRegions(s.class, ""),
		Organisation: carawaybeam.NewHomeRegions(s.organisation, ""),
	}
	s.mu.Unlock()
	var a assembler.Answer
	return s.dispatcher.Do(context.Background(), request, &a)
}

// TestLinkedHomeRegion guards against bodies that are sent to an agent outside the homes of the class or the
// organisation: for plain requests, idempotency keys and tickets.
func TestLinkedHomeRegion(t *testing.T) {
	for name, homes := range map[string][2][]carawaybeam.Region{
		"class":        {{"south"}, nil},
		"organisation": {nil, {"south"}},
		"both":         {{"north", "south"}, {"south", "east"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newRegionalSystem(t, 4)
				s.setHomes(homes[0], homes[1])
				for i := range 8 {
					is.True(s.do(booking(fmt.Sprint("plain", i), "")) == nil)
					is.True(s.do(booking(fmt.Sprint("keyed", i), fmt.Sprint("key", i))) == nil)
					ticket, failure := s.dispatcher.ObtainTicket(t.Context(), booking("", "").Class, "org")
					is.True(failure == nil)
					ticketed := booking(fmt.Sprint("ticketed", i), "")
					ticketed.Ticket = ticket
					is.True(s.do(ticketed) == nil)
				}
				is.Equal(s.dispatched, map[carawaybeam.Region]int{"south": 24})
			})
		})
	}
}

// TestSuspectInHomeRegion guards against a request that is suspected of crashes and, by the choice that all
// entries make for it, goes outside the homes or nowhere.
func TestSuspectInHomeRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newRegionalSystem(t, 4)
		s.setHomes([]carawaybeam.Region{"south"}, nil)
		for i := range 12 {
			request := drafting(fmt.Sprintf(`{"stream":true,"n":%d}`, i))
			for _, slot := range s.Slots {
				slot.Backend.Recover()
				slot.Backend.Poison(string(request.Body))
			}
			time.Sleep(10 * time.Second)
			failure := s.do(request)
			is.True(failure != nil)
			is.True(failure.Reason != carawaybeam.ReasonNoBackend)
		}
		is.Equal(s.dispatched["north"], 0)
		is.True(s.dispatched["south"] >= 24) // Each has crashed more than one backend server.
	})
}

// TestLinkedNoServerInHomeRegion guards against requests that wait, or are sent, though no agent may serve
// them.
func TestLinkedNoServerInHomeRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newRegionalSystem(t, 2)
		s.setHomes([]carawaybeam.Region{"north"}, []carawaybeam.Region{"south"})
		began := time.Now()
		failure := s.do(booking("b", ""))
		is.True(failure != nil)
		is.Equal(failure.Outcome, carawaybeam.OutcomeNotRun)
		is.Equal(failure.Reason, carawaybeam.ReasonNoBackend)
		is.True(failure.RetryAfter > 0)
		is.True(strings.Contains(failure.Detail, "home region"))
		is.Equal(time.Since(began), time.Duration(0))
		is.Equal(s.refused.Load(), int64(1))
		is.Equal(len(s.dispatched), 0)
	})
}

// TestBoundOutsideHomes guards against sending a body to the agent that a key or a ticket names after homes
// have excluded it. The earlier request may have run, so the outcome is not "not run".
func TestBoundOutsideHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newRegionalSystem(t, 2)
		s.setHomes([]carawaybeam.Region{"north"}, nil)
		is.True(s.do(booking("b", "key")) == nil)
		ticket, failure := s.dispatcher.ObtainTicket(t.Context(), booking("", "").Class, "org")
		is.True(failure == nil)
		s.setHomes([]carawaybeam.Region{"south"}, nil)
		ticketed := booking("t", "")
		ticketed.Ticket = ticket
		for _, request := range []dispatcher.Request{booking("b", "key"), ticketed} {
			failure := s.do(request)
			is.True(failure != nil)
			is.Equal(failure.Outcome, carawaybeam.OutcomeUnknown)
			is.Equal(failure.Reason, carawaybeam.ReasonWrongIncarnation)
		}
		is.Equal(s.dispatched, map[carawaybeam.Region]int{"north": 1})
	})
}

// TestHomesSetWhileLinking guards against a first attempt outside homes that were set while the idempotency key was
// bound, or the agent that a key or a ticket names was linked to.
func TestHomesSetWhileLinking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newRegionalSystem(t, 2)
		s.setHomes([]carawaybeam.Region{"north"}, nil)
		ticket, failure := s.dispatcher.ObtainTicket(t.Context(), booking("", "").Class, "org")
		is.True(failure == nil)
		ticketed := booking("t", "")
		ticketed.Ticket = ticket
		for _, request := range []dispatcher.Request{booking("b", "key"), ticketed} {
			s.setHomes([]carawaybeam.Region{"north"}, nil)
			s.linking = func() { s.setHomes([]carawaybeam.Region{"south"}, nil) }
			failure := s.do(request)
			is.True(failure != nil)
			is.Equal(failure.Outcome, carawaybeam.OutcomeUnknown)
		}
		is.Equal(len(s.dispatched), 0)
	})
}

// TestPromiseLinkedHomeRegions checks over random histories that no body is sent to an agent outside the homes,
// while homes change, agents end and start again and requests are suspected of crashes.
func TestPromiseLinkedHomeRegions(t *testing.T) {
	trials, violations, dispatched := 0, 0, 0
	for seed := range prover.Seeds() {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(seed), 0))
			s := newRegionalSystem(t, 4)
			var changes, requests sync.WaitGroup
			changes.Go(func() {
				for range 8 {
					var lists [2][]carawaybeam.Region
					for i := range lists {
						for _, region := range []carawaybeam.Region{"north", "south"} {
							if random.IntN(2) == 0 {
								lists[i] = append(lists[i], region)
							}
						}
					}
					s.setHomes(lists[0], lists[1])
					slot := random.IntN(len(s.Slots))
					_ = s.KillAgent(slot)
					time.Sleep(time.Duration(1 + random.IntN(int(time.Second))))
					s.StartAgent(slot)
					time.Sleep(time.Duration(1 + random.IntN(int(time.Second))))
				}
			})
			for i := range 40 {
				key := ""
				if i%4 == 1 {
					key = fmt.Sprint("key", i%8)
				}
				request := booking(fmt.Sprint("b", i%8), key)
				if i%2 == 0 {
					request = drafting(fmt.Sprintf(`{"stream":true,"n":%d}`, i))
				}
				requests.Go(func() { _ = s.do(request) })
				time.Sleep(300 * time.Millisecond)
			}
			requests.Wait()
			changes.Wait()
			trials++
			violations += s.outside
			for _, n := range s.dispatched {
				dispatched += n
			}
		})
	}
	if dispatched < 10*trials {
		t.Errorf("%d requests were sent in %d trials", dispatched, trials)
	}
	prover.Report(t, prover.HomeRegions, trials, violations)
}
