package keeper_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/keeper"
	"github.com/carawaybeam/carawaybeam/prover"
	"github.com/carawaybeam/carawaybeam/reserver"
)

const (
	// bound is the maximum number of connections, and room how many there are before some are closed for others.
	bound = 64
	room  = 56
)

// newBoundService returns a service with a bound on its connections.
func newBoundService(change func(*keeper.Options)) *service {
	return newServiceWith(time.Minute, func(o *keeper.Options) {
		o.Bound = bound
		if change != nil {
			change(o)
		}
	})
}

// get sends a request with further fields and returns the answer's status, or 0.
func (c *client) get(fields string) int {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+fields+"\r\n"); err != nil {
		return 0
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// TestConnectionsMakeRoom guards against crowds of connections that make no progress and keep ordinary clients out.
// Each case fills the bound with connections of one kind, while an ordinary client connects again and again.
func TestConnectionsMakeRoom(t *testing.T) {
	tests := map[string]func(c *client){
		"silent": func(*client) {},
		"idle":   func(c *client) { c.get("") },
		"head byte by byte": func(c *client) {
			for _, b := range "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X: y\r\n", 100) {
				if _, err := c.Write([]byte{byte(b)}); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		},
		"body that stops": func(c *client) {
			_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx")
		},
		"answer that is not read": func(c *client) {
			_, _ = io.WriteString(c, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
		},
	}
	for name, attack := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newBoundService(func(o *keeper.Options) {
					// Ends none of the connections in the time of the test.
					o.HeaderTimeout = time.Minute
					o.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						keeper.BeginBody(r.Context(), "")
						_, _ = io.ReadAll(r.Body)
						keeper.EndBody(r.Context())
						if r.URL.Path == "/large" {
							_, _ = w.Write(make([]byte, 1<<20))
						}
					})
				})
				defer s.close()
				var attackers sync.WaitGroup
				defer attackers.Wait()
				for range 2 * bound {
					c := s.connect(nil)
					defer func() { _ = c.Close() }()
					attackers.Go(func() { attack(c) })
				}
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					c := s.connect(nil)
					is.Equal(c.get(""), http.StatusOK)
					_ = c.Close()
					is.True(s.State().Connections <= bound+bound/8)
				}
				is.True(s.State().Shed > 0)
			})
		})
	}
}

// TestServedRequestsStay guards against ending requests that are being served to make room. A connection for
// which there is no room is closed as it comes.
func TestServedRequestsStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newBoundService(nil)
		defer s.close()
		s.delay = 10 * time.Second
		var served atomic.Int64
		var clients sync.WaitGroup
		for range bound {
			c := s.connect(nil)
			clients.Go(func() {
				if c.do() {
					served.Add(1)
				}
			})
			synctest.Wait()
		}
		time.Sleep(2 * time.Second)
		is.True(!s.connect(nil).do())
		clients.Wait()
		is.Equal(served.Load(), int64(bound))
		is.Equal(s.State().Refused, uint64(1))
		is.Equal(s.State().Shed, uint64(0))
	})
}

// lateReader is a connection whose reads return some time after they have ended, as in a process that gets little
// processor time.
type lateReader struct {
	net.Conn
	delay time.Duration
}

func (c *lateReader) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		time.Sleep(c.delay)
	}
	return n, err
}

// TestPromiseChecksAmongCrowd guards against closing the connection of a readiness check before its request has
// arrived, or without having waited for room. A crowd holds all connections and connects again as soon as it is
// closed, from the same address. The check sends its request late, as a client that gets little processor time, or
// the connections of the crowd are late to end.
func TestPromiseChecksAmongCrowd(t *testing.T) {
	tests := map[string]struct{ send, end time.Duration }{
		"request at once":    {},
		"request after 80ms": {send: 80 * time.Millisecond},
		"late ends":          {end: 400 * time.Millisecond},
	}
	trials, violations := 0, 0
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				defer time.Sleep(time.Second) // The connections end late.
				s := newBoundService(func(o *keeper.Options) { o.Checks = true })
				defer s.close()
				var crowd sync.WaitGroup
				defer crowd.Wait()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				for range 2 * bound {
					crowd.Go(func() {
						for ctx.Err() == nil {
							c := s.connect(func(inner net.Conn) net.Conn { return &lateReader{inner, test.end} })
							stop := context.AfterFunc(ctx, func() { _ = c.Close() })
							_, _ = c.reader.ReadByte()
							stop()
							_ = c.Close()
							time.Sleep(10 * time.Millisecond)
						}
					})
				}
				for range 50 {
					time.Sleep(50 * time.Millisecond)
					began := time.Now()
					c := s.connect(nil)
					time.Sleep(test.send)
					trials++
					if status := c.get(""); status != http.StatusOK || time.Since(began) >= time.Second {
						t.Logf("got %d after %v", status, time.Since(began))
						violations++
					}
					_ = c.Close()
				}
				is.True(s.State().Connections <= bound+bound/2)
			})
		})
	}
	prover.Report(t, prover.ReadinessCheck, trials, violations)
}

// TestScansAreBounded guards against looking at all connections for each new one while a crowd connects again and
// again, which takes the processor time that the connections need to end.
func TestScansAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newBoundService(nil)
		defer s.close()
		const connections = 1000
		began := time.Now()
		for range connections {
			c := s.connect(nil)
			defer func() { _ = c.Close() }()
			time.Sleep(500 * time.Microsecond)
		}
		is.True(s.State().Shed >= connections-bound-bound/8)
		is.True(s.State().Scans <= uint64(time.Since(began)/(5*time.Millisecond))+1)
	})
}

// takenConn is a connection whose client takes an answer, while the process learns of it only later.
type takenConn struct {
	net.Conn
	delay time.Duration
}

func (c *takenConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	time.Sleep(c.delay)
	return n, err
}

// TestTakenWriteStays guards against cutting a connection for a write that its client has taken meanwhile. The
// connections of others are all being served, so that the write is the one with the least progress.
func TestTakenWriteStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		defer time.Sleep(2 * time.Second) // The last write ends late.
		s := newBoundService(func(o *keeper.Options) {
			handler := o.Handler
			o.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				is.NoErr(http.NewResponseController(w).SetWriteDeadline(time.Now().Add(time.Minute)))
				handler.ServeHTTP(w, r)
			})
		})
		defer s.close()
		c := s.connect(func(inner net.Conn) net.Conn { return &takenConn{inner, time.Second} })
		is.True(c.do())
		s.delay = 10 * time.Second
		var clients sync.WaitGroup
		for range bound {
			other := s.connect(nil)
			clients.Go(func() { is.True(other.do()) })
			time.Sleep(15 * time.Millisecond)
		}
		time.Sleep(time.Second)
		is.Equal(s.State().Shed, uint64(1))
		is.True(c.do())
		clients.Wait()
	})
}

// TestFewScans guards against looking at all connections for each new one while they are all being served, which
// takes processor time from them.
func TestFewScans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newBoundService(nil)
		defer s.close()
		s.delay = 10 * time.Second
		var clients sync.WaitGroup
		for range bound {
			c := s.connect(nil)
			clients.Go(func() { is.True(c.do()) })
			synctest.Wait()
		}
		is.Equal(s.State().Connections, bound)
		is.Equal(s.State().Scans, uint64(1))
		clients.Wait()
	})
}

// TestPromiseReadIsAnsweredNearBound guards against ending a connection to make room although a request has just
// been read. Clients send requests at the times at which connections are closed for others.
func TestPromiseReadIsAnsweredNearBound(t *testing.T) {
	const clients = 90
	trials, violations := 0, 0
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			s := newBoundService(nil)
			s.delay = 20 * time.Millisecond
			var answered atomic.Int64
			var all sync.WaitGroup
			for n := range clients {
				random := rand.New(rand.NewPCG(seed, uint64(n)))
				all.Go(func() {
					var c *client
					for range 40 {
						if c == nil {
							c = s.connect(nil)
						}
						if c.do() {
							answered.Add(1)
						} else {
							_ = c.Close()
							c = nil
						}
						time.Sleep(time.Duration(random.IntN(8)) * 100 * time.Millisecond)
					}
					if c != nil {
						_ = c.Close()
					}
				})
			}
			all.Wait()
			if s.State().Shed < 100 {
				t.Errorf("only %d connections were closed for others", s.State().Shed)
			}
			trials += int(s.served.Load())
			violations += int(s.served.Load() - answered.Load())
			s.close()
		})
	}
	prover.Report(t, prover.ReadIsAnswered, trials, violations)
}

// fields returns n fields that make up a head of up to 16 KiB.
func fields(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(string(rune('a'+i%26)) + ":\r\n")
	}
	return b.String()
}

// TestHeadersReserveMemory guards against headers of thousands of fields that take many times their size once they
// are decoded. One is served while there is memory, and ordinary requests go on meanwhile.
func TestHeadersReserveMemory(t *testing.T) {
	tests := map[string]string{
		"fields": fields(4000),
		"list":   "Prefix: " + strings.Repeat("a:1,", 4000) + "\r\n",
	}
	for name, head := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				memory := reserver.New(5<<20, 500*time.Millisecond)
				s := newBoundService(func(o *keeper.Options) { o.Memory, o.HeaderBytes = memory, 16<<10 })
				defer s.close()
				is.Equal(s.connect(nil).get(head), http.StatusOK)
				synctest.Wait()
				is.Equal(memory.State().Held, carawaybeam.Bytes(0))
				s.delay = 2 * time.Second
				statuses := make(chan int, 10)
				for range cap(statuses) {
					c := s.connect(nil)
					go func() { statuses <- c.get(head) }()
				}
				time.Sleep(time.Second)
				synctest.Wait()
				is.Equal(memory.State().Held, carawaybeam.Bytes(5<<20))
				s.delay = 0
				is.Equal(s.connect(nil).get(fields(30)), http.StatusOK)
				served, refused := 0, 0
				for range cap(statuses) {
					switch status := <-statuses; status {
					case http.StatusOK:
						served++
					case http.StatusServiceUnavailable:
						refused++
					default:
						t.Errorf("got %d", status)
					}
				}
				is.Equal(served, 5)
				is.Equal(refused, 5)
				is.Equal(s.State().Headers, uint64(5))
				synctest.Wait()
				is.Equal(s.served.Load(), int64(1+5+1)) // What is refused does not run.
				is.Equal(memory.State().Held, carawaybeam.Bytes(0))
			})
		})
	}
}

// TestPipelinedHeadersReserveMemory guards against heads of many fields that are read with the end of the request
// before, so that they are not counted as they arrive.
func TestPipelinedHeadersReserveMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memory := reserver.New(1800<<10, 500*time.Millisecond)
		s := newBoundService(func(o *keeper.Options) { o.Memory, o.HeaderBytes = memory, 16<<10 })
		defer s.close()
		c := s.connect(nil)
		raw := "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n" + fields(900) + "\r\n"
		for _, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
			release, err := memory.Reserve(t.Context(), 900<<10)
			is.NoErr(err)
			_, err = io.WriteString(c, raw)
			is.NoErr(err)
			for _, status := range []int{http.StatusOK, want} {
				response, err := http.ReadResponse(c.reader, nil)
				is.NoErr(err)
				is.NoErr(response.Body.Close())
				if status == http.StatusServiceUnavailable {
					is.Equal(response.StatusCode, status)
					is.True(response.Close)
				}
			}
			release()
			if want == http.StatusOK {
				c = s.connect(nil)
			}
		}
	})
}

// TestUnreadErrorsEnd guards against a connection that stays for any time because its client does not read the
// error with which the server answers what it cannot parse.
func TestUnreadErrorsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newBoundService(nil)
		defer s.close()
		c := s.connect(nil)
		_, err := io.WriteString(c, "nonsense\r\n\r\n")
		is.NoErr(err)
		time.Sleep(time.Minute)
		is.Equal(s.State().Connections, 0)
	})
}

// TestAbortedBodyIsRefused guards against serving a request whose body was given up, and checks that its answer
// still reaches the client.
func TestAbortedBodyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newBoundService(func(o *keeper.Options) {
			o.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				keeper.BeginBody(r.Context(), "")
				time.AfterFunc(time.Second, func() { keeper.AbortBody(r.Context()) })
				_, _ = io.ReadAll(r.Body)
				if keeper.EndBody(r.Context()) {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			})
		})
		defer s.close()
		c := s.connect(nil)
		_, _ = fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx")
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		is.Equal(c.closedAfter() <= time.Second, true)
	})
}

// TestPipelinesEnd guards against a client that sends requests faster than it reads their answers, over few
// connections. The first requests are served, and the connection closes.
func TestPipelinesEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newBoundService(nil)
		defer s.close()
		c := s.connect(nil)
		go func() { _, _ = io.WriteString(c, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 50)) }()
		answers := 0
		for {
			response, err := http.ReadResponse(c.reader, nil)
			if err != nil {
				break
			}
			_ = response.Body.Close()
			answers++
			is.Equal(response.Close, answers == 2)
		}
		is.Equal(answers, 2)
		is.Equal(s.served.Load(), int64(2))
		// A client that reads each answer first keeps its connection.
		c = s.connect(nil)
		for range 20 {
			is.True(c.do())
		}
	})
}
