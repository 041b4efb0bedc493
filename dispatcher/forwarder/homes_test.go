package forwarder_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/dispatcher/forwarder"
	"github.com/carawaybeam/carawaybeam/hedger"
	"github.com/carawaybeam/carawaybeam/matcher"
	"github.com/carawaybeam/carawaybeam/pooler"
	"github.com/carawaybeam/carawaybeam/prover"
)

type (
	// relocatingMembers are the backend servers of an environment, whose regions are swapped after a
	// number of questions.
	relocatingMembers struct {
		*environment

		questions int
	}

	// pooledMembers are the backend servers of several pools.
	pooledMembers struct {
		*environment

		pools map[carawaybeam.PoolID][]carawaybeam.Instance
	}

	// changingHomes are a configuration and backend servers that change while requests run.
	changingHomes struct {
		*raceScene

		random *rand.Rand

		mu        sync.Mutex
		config    *matcher.Matcher
		instances []carawaybeam.Instance
		// sent is the number of requests that were sent, and outside that of those to a backend server
		// that was not in a home region then.
		sent, outside int
	}
)

func (m *relocatingMembers) Instances(pool carawaybeam.PoolID) []carawaybeam.Instance {
	if m.questions--; m.questions < 0 {
		for i := range m.instances {
			m.instances[i].Region = "south"
		}
	}
	return m.environment.Instances(pool)
}

func (m *pooledMembers) Instances(pool carawaybeam.PoolID) []carawaybeam.Instance {
	return m.pools[pool]
}

// newRegionalEnvironment returns an environment whose backend servers a and b are in the regions north and
// south.
func newRegionalEnvironment(behaviours ...behaviour) *environment {
	env := newDividedEnvironment(behaviours...)
	env.instances[0].Region, env.instances[1].Region = "north", "south"
	return env
}

// setHomes sets the homes of all routes.
func (env *environment) setHomes(homes ...carawaybeam.Region) {
	for i := range env.routing.Routes {
		env.routing.Routes[i].Homes = homes
	}
}

// TestHomeRegion guards against first attempts, retries and resumed streams outside the homes of the route
// or the organisation.
func TestHomeRegion(t *testing.T) {
	for name, set := range map[string]func(*environment){
		"route":        func(env *environment) { env.setHomes("north") },
		"organisation": func(env *environment) { env.routing.KeyHolders[0].Homes = []carawaybeam.Region{"north"} },
		"both": func(env *environment) {
			env.setHomes("north", "east")
			env.routing.KeyHolders[0].Homes = []carawaybeam.Region{"south", "north"}
		},
		"unreadable in part": func(env *environment) {
			env.setHomes("north")
			env.routing.Routes[0].HomesFault, env.routing.Routes[2].HomesFault = "homes[1] is 3", "homes[1] is 3"
		},
		"public route": func(env *environment) {
			env.routing.KeyHolders[0].Homes = []carawaybeam.Region{"north"}
			env.routing.Routes[0].Public, env.routing.Routes[2].Public = true, true
			env.age = time.Minute // Keys are not believed any more.
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newRegionalEnvironment()
				var log bytes.Buffer
				env.log = zerolog.New(&log)
				set(env)
				for range 20 {
					env.sender.behaviours = []behaviour{whole("x")}
					_, failure := env.serve(request(carawaybeam.RouteSafe))
					is.True(failure == nil)
				}
				is.Equal(env.sentTo(), map[carawaybeam.BackendID]int{"a": 20})
				is.Equal(strings.Count(log.String(), `"tries":1,`), 20) // No attempt is used up by b.
				cutStream := reply(http.StatusOK, cut("id: 1\ndata: x\n\n"), func(h *carawaybeam.ReplyHead) {
					h.Header.Set("Content-Type", "text/event-stream")
				})
				for _, first := range []behaviour{broken(), refused(), unreachable(), cutStream} {
					env.sender.behaviours = []behaviour{first, broken(), broken(), broken(), broken()}
					_, failure := env.serve(request(carawaybeam.RouteStream))
					is.True(failure != nil)
				}
				is.Equal(env.sentTo()["b"], 0)
			})
		})
	}
}

// TestNoServerInHomeRegion guards against requests that wait, or are sent, though no backend server may
// serve them, and against an error that does not name the reason.
func TestNoServerInHomeRegion(t *testing.T) {
	for name, set := range map[string]func(*environment){
		"other region": func(env *environment) { env.setHomes("east") },
		"nothing in common": func(env *environment) {
			env.setHomes("north")
			env.routing.KeyHolders[0].Homes = []carawaybeam.Region{"south"}
		},
		"unreadable": func(env *environment) { env.routing.KeyHolders[0].HomesFault = "homes are no list" },
		"unknown regions of servers": func(env *environment) {
			env.setHomes("north")
			env.instances[0].Region, env.instances[1].Region = "", ""
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newRegionalEnvironment(whole("x"))
				var log bytes.Buffer
				env.log = zerolog.New(&log)
				set(env)
				refused := 0
				env.adjust = func(options *forwarder.Options) { options.HomeRefused = func() { refused++ } }
				began := time.Now()
				_, failure := env.serve(request(carawaybeam.RouteSafe))
				is.True(failure != nil)
				is.Equal(failure.Outcome, carawaybeam.OutcomeNotRun)
				is.Equal(failure.Reason, carawaybeam.ReasonNoBackend)
				is.Equal(time.Since(began), time.Duration(0))
				is.Equal(len(env.sender.sent), 0)
				is.Equal(refused, 1)
				is.True(strings.Contains(log.String(), "no backend server of the pool is in a home region"))
				env.instances = nil
				_, without := env.serve(request(carawaybeam.RouteSafe))
				is.Equal(failure.RetryAfter, without.RetryAfter)
				is.Equal(refused, 1)
			})
		})
	}
}

// TestServerMovedMeanwhile guards against sending to a backend server whose region has changed, or became
// known, after it was chosen.
func TestServerMovedMeanwhile(t *testing.T) {
	for questions := range 2 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			env := newRegionalEnvironment(whole("x"))
			env.setHomes("north")
			env.adjust = func(options *forwarder.Options) {
				options.Members = &relocatingMembers{environment: env, questions: questions}
			}
			_, failure := env.serve(request(carawaybeam.RouteUnsafe))
			is.True(failure != nil)
			is.Equal(failure.Outcome, carawaybeam.OutcomeNotRun)
			is.Equal(len(env.sender.sent), 0)
		})
	}
}

// TestHomesSetMeanwhile guards against attempts outside homes that were set while the request runs, also if
// only the connection to the backend server was waited for.
func TestHomesSetMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newRegionalEnvironment()
		permitted := true
		set := func(r pooler.Request) (*pooler.Reply, error) {
			env.setHomes("east")
			permitted = r.Permit == nil || r.Permit()
			return broken()(r)
		}
		env.setHomes("north", "south")
		env.sender.behaviours = []behaviour{set, whole("x")}
		_, failure := env.serve(request(carawaybeam.RouteSafe))
		is.True(failure != nil)
		is.Equal(len(env.sender.sent), 1)
		is.True(!permitted)
		// What was accepted under homes goes nowhere else after its key was withdrawn.
		env.setHomes()
		env.routing.KeyHolders[0].Homes = []carawaybeam.Region{"north"}
		env.forwarded = nil
		withdraw := func(r pooler.Request) (*pooler.Reply, error) {
			env.routing.KeyHolders[0] = carawaybeam.KeyHolder{ID: "other", Keys: []carawaybeam.APIKey{"other"}}
			return broken()(r)
		}
		env.sender.behaviours = []behaviour{withdraw, broken()}
		_, _ = env.serve(request(carawaybeam.RouteSafe))
		is.Equal(env.sentTo()["b"], 0)
	})
}

// TestPartOfConfigurationGone guards against retries outside the homes with which a request was accepted after its
// organisation or route is gone, and against homes set at that time that do not apply.
func TestPartOfConfigurationGone(t *testing.T) {
	for name, c := range map[string]struct {
		accepted, then func(*environment)
	}{
		"organisation of a public route": {
			func(env *environment) { env.routing.KeyHolders[0].Homes = []carawaybeam.Region{"north"} },
			func(env *environment) { env.routing.KeyHolders[0] = carawaybeam.KeyHolder{ID: "other"} },
		},
		"all organisations": {
			func(env *environment) { env.routing.KeyHolders[0].Homes = []carawaybeam.Region{"north"} },
			func(env *environment) { env.routing.KeyHolders = nil },
		},
		"organisation, and the route gets homes": {
			func(*environment) {},
			func(env *environment) { env.routing.KeyHolders = nil; env.setHomes("north") },
		},
		"route": {
			func(env *environment) { env.setHomes("north") },
			func(env *environment) { env.routing.Routes = nil },
		},
		"route, and the organisation gets homes": {
			func(*environment) {},
			func(env *environment) {
				env.routing.Routes, env.routing.KeyHolders[0].Homes = nil, []carawaybeam.Region{"north"}
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				for range 20 {
					env := newRegionalEnvironment()
					env.routing.Routes[0].Public = true
					c.accepted(env)
					env.sender.behaviours = []behaviour{func(r pooler.Request) (*pooler.Reply, error) {
						c.then(env)
						env.forwarded = nil
						return broken()(r)
					}, broken(), broken()}
					_, failure := env.serve(request(carawaybeam.RouteSafe))
					is.True(failure != nil)
					is.Equal(env.sentTo()["b"], 0)
				}
			})
		})
	}
}

// TestFirstHomesSetMeanwhile guards against sending outside the first homes of a configuration, which it gets
// while the connection to the backend server opens.
func TestFirstHomesSetMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newRegionalEnvironment()
		permitted := true
		env.sender.behaviours = []behaviour{func(r pooler.Request) (*pooler.Reply, error) {
			env.setHomes("east")
			permitted = r.Permit == nil || r.Permit()
			return broken()(r)
		}}
		_, _ = env.serve(request(carawaybeam.RouteSafe))
		is.True(!permitted)
	})
}

// TestPoolInHomeRegion guards against a rejection because of the pool that was drawn, while another pool of
// the route is in a home region.
func TestPoolInHomeRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newRegionalEnvironment()
		pools := map[carawaybeam.PoolID][]carawaybeam.Instance{"one": env.instances[:1], "two": env.instances[1:]}
		env.routing.Routes[0].Shares = []carawaybeam.PoolShare{{Pool: "one", Weight: 99}, {Pool: "two", Weight: 1}}
		env.setHomes("south")
		env.adjust = func(options *forwarder.Options) {
			options.Members = &pooledMembers{environment: env, pools: pools}
		}
		for range 20 {
			env.sender.behaviours = []behaviour{whole("x")}
			_, failure := env.serve(request(carawaybeam.RouteSafe))
			is.True(failure == nil)
		}
		is.Equal(env.sentTo(), map[carawaybeam.BackendID]int{"b": 20})
		env.setHomes("east")
		_, failure := env.serve(request(carawaybeam.RouteSafe))
		is.True(failure != nil)
		is.Equal(failure.Reason, carawaybeam.ReasonNoBackend)
	})
}

// TestSecondAttemptInHomeRegion guards against a second attempt outside the homes. The pattern of load is one
// slow backend server; the next one that a second attempt would go to is in another region.
func TestSecondAttemptInHomeRegion(t *testing.T) {
	play(t, 3, func(is *is.I, s *raceScene) {
		s.servers["a"].first = 5 * usual
		for i, region := range []carawaybeam.Region{"north", "south", "north"} {
			s.environment.instances[i].Region = region
		}
		s.setHomes("north")
		answer, failure := s.serve(request(carawaybeam.RouteSafe))
		is.True(failure == nil)
		is.Equal(answer.String(), "id: 1\ndata: c\n\n")
		is.Equal(s.sends(), []int{1, 0, 1})
	})
}

func (c *changingHomes) Current() *matcher.Matcher {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config
}

func (c *changingHomes) Instances(carawaybeam.PoolID) []carawaybeam.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instances
}

// regions returns some regions at random.
func (c *changingHomes) regions() []carawaybeam.Region {
	var regions []carawaybeam.Region
	for _, region := range []carawaybeam.Region{"north", "south", "east"} {
		if c.random.IntN(2) == 0 {
			regions = append(regions, region)
		}
	}
	return regions
}

// change changes homes, and the regions of backend servers.
func (c *changingHomes) change() {
	c.mu.Lock()
	defer c.mu.Unlock()
	routing := c.routing
	routing.Routes = append([]carawaybeam.Route{}, routing.Routes...)
	for i := range routing.Routes {
		routing.Routes[i].Homes, routing.Routes[i].HomesFault = c.regions(), ""
		if c.random.IntN(3) == 0 {
			routing.Routes[i].HomesFault = "homes[9] is 3"
			if c.random.IntN(2) == 0 {
				routing.Routes[i].Homes = nil // None can be read.
			}
		}
	}
	routing.KeyHolders = []carawaybeam.KeyHolder{routing.KeyHolders[0]}
	routing.KeyHolders[0].Homes = c.regions()
	c.config = matcher.New(routing)
	c.instances = append([]carawaybeam.Instance{}, c.environment.instances...)
	for i := range c.instances {
		c.instances[i].Region = []carawaybeam.Region{"north", "south", "north", "south", ""}[c.random.IntN(5)]
	}
}

// isHome reports whether requests with the homes may be served in a region.
func isHome(homes []carawaybeam.Region, fault string, region carawaybeam.Region) bool {
	return len(homes) == 0 && fault == "" || slices.Contains(homes, region)
}

// Send counts requests that are sent to a backend server outside the homes.
func (c *changingHomes) Send(
	ctx context.Context,
	address carawaybeam.Address,
	r pooler.Request,
) (*pooler.Reply, error) {
	c.mu.Lock()
	c.sent++
	for _, instance := range c.instances {
		if string(instance.ID) != r.Header.Get("Backend") {
			continue
		}
		route, holder := c.config.Route(r.Host, r.Target), c.config.Holder("key")
		if !isHome(route.Homes, route.HomesFault, instance.Region) || !isHome(holder.Homes, "", instance.Region) {
			c.outside++
		}
	}
	c.mu.Unlock()
	return c.raceScene.Send(ctx, address, r)
}

// newChangingHomes returns a scene with five backend servers, some of which fail, refuse or break off, and
// one of which is slow.
func newChangingHomes(t *testing.T, seed uint64) *changingHomes {
	t.Helper()
	c := &changingHomes{raceScene: newRaceScene(t, 5), random: rand.New(rand.NewPCG(seed, 0))}
	c.change()
	adjust := c.adjust
	c.adjust = func(options *forwarder.Options) {
		adjust(options)
		options.Configuration, options.Members, options.Sender = c, c, c
	}
	for _, server := range c.servers {
		server.first = time.Duration(1+c.random.IntN(4)) * usual / 2
		server.refuses = c.random.IntN(3) == 0
		switch c.random.IntN(4) {
		case 0:
			server.fail = io.ErrUnexpectedEOF
		case 1:
			server.status = http.StatusBadGateway
		case 2:
			server.first = 10 * usual
		}
	}
	return c
}

// TestPromiseHomeRegions checks over random histories that no first attempt, retry, second attempt or resumed
// stream goes outside the homes, while homes and the regions of backend servers change at any time.
func TestPromiseHomeRegions(t *testing.T) {
	trials, violations, sent := 0, 0, 0
	kinds := []carawaybeam.RouteKind{carawaybeam.RouteSafe, carawaybeam.RouteUnsafe, carawaybeam.RouteStream}
	for seed := range prover.Seeds() {
		synctest.Test(t, func(t *testing.T) {
			c := newChangingHomes(t, uint64(seed))
			ended := make(chan struct{})
			interval := time.Duration(c.random.IntN(int(usual))) + 1
			go func() {
				for {
					select {
					case <-time.After(interval):
						c.change()
					case <-ended:
						return
					}
				}
			}()
			for i := range 20 {
				r := request(kinds[i%len(kinds)])
				r.ID, r.Body = carawaybeam.RequestID(fmt.Sprint(i)), []byte(fmt.Sprint(i))
				_, _ = c.serve(r)
			}
			close(ended)
			synctest.Wait()
			trials++
			sent += c.sent
			violations += c.outside
		})
	}
	if sent < trials {
		t.Errorf("%d requests were sent in %d trials", sent, trials)
	}
	prover.Report(t, prover.HomeRegions, trials, violations)
}

// TestBodiesStayInRegion checks over real connections that no byte of a request reaches a backend server in
// another region, while those in the home region are slow, break off or cannot be reached.
func TestBodiesStayInRegion(t *testing.T) {
	is := is.New(t)
	var (
		mu          sync.Mutex
		received    = make(map[string]int)
		connections int
		served      int
	)
	start := func(region string, serve http.HandlerFunc) *httptest.Server {
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			n, _ := io.Copy(io.Discard, r.Body)
			mu.Lock()
			received[region] += int(n)
			mu.Unlock()
			serve(w, r)
		}))
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			mu.Lock()
			defer mu.Unlock()
			if region == "south" && state == http.StateNew {
				connections++
			}
		}
		server.Start()
		t.Cleanup(server.Close)
		return server
	}
	answers := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("x")) }
	servers := []*httptest.Server{
		start("north", func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			served++
			turn := served % 3
			mu.Unlock()
			switch turn {
			case 0:
				panic(http.ErrAbortHandler)
			case 1:
				select {
				case <-r.Context().Done():
				case <-time.After(3 * usual):
				}
			}
			answers(w, r)
		}),
		start("north", answers), start("south", answers), start("south", answers), start("north", answers),
	}
	servers[4].Close() // It cannot be reached.
	sender := pooler.New(pooler.Options{DecodeReply: func(status int, header http.Header) carawaybeam.ReplyHead {
		return carawaybeam.ReplyHead{Request: "id", Status: status, Header: header, Sealed: true}
	}})
	t.Cleanup(func() { _ = sender.Close() })
	env := newEnvironment()
	env.setHomes("north")
	env.instances = nil
	env.reports = make(map[carawaybeam.Address]func() (forwarder.Report, bool))
	for i, server := range servers {
		address := carawaybeam.Address(strings.TrimPrefix(server.URL, "http://"))
		region := carawaybeam.Region("north")
		if i == 2 || i == 3 {
			region = "south"
		}
		env.instances = append(env.instances, carawaybeam.Instance{
			BackendIncarnation: carawaybeam.BackendIncarnation{ID: carawaybeam.BackendID(fmt.Sprint(i))},
			Pool:               "pool",
			Address:            address,
			DataCentre:         carawaybeam.DataCentre(region),
			Region:             region,
			Slots:              4,
		})
		env.reports[address] = func() (forwarder.Report, bool) {
			return forwarder.Report{At: time.Now(), Load: carawaybeam.Load{Running: i % 2}}, true
		}
	}
	decides := hedger.New(time.Now(), hedger.Settings{Ratio: 0.5})
	for range 100 {
		decides.CountRequest(time.Now(), "pool")
		decides.Observe(time.Now().Add(-time.Second), hedger.Kind{Pool: "pool", Route: "safe"}, usual, false)
	}
	env.adjust = func(options *forwarder.Options) {
		options.Sender, options.Hedger = sender, decides
		options.Encode = func(*carawaybeam.ClientRequest, carawaybeam.Forwarding) http.Header { return http.Header{} }
	}
	answered := 0
	for range 30 {
		if _, failure := env.serve(request(carawaybeam.RouteSafe)); failure == nil {
			answered++
		}
	}
	env.setHomes("south", "north")
	env.routing.KeyHolders[0].Homes = []carawaybeam.Region{"east"}
	for range 5 {
		_, failure := env.serve(request(carawaybeam.RouteSafe))
		is.True(failure != nil)
		is.Equal(failure.Outcome, carawaybeam.OutcomeNotRun)
	}
	mu.Lock()
	defer mu.Unlock()
	is.True(answered >= 25)
	is.True(received["north"] > 0)
	is.Equal(received["south"], 0)
	is.Equal(connections, 0)
	is.True(decides.Counts()["safe"].Sent > 0)
}
