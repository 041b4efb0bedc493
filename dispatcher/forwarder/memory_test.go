package forwarder_test

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/pooler"
	"github.com/carawaybeam/carawaybeam/reserver"
)

const (
	endlessServers = 50
	memoryLimit    = 24 << 20
)

type (
	// endlessBody is a body without end.
	endlessBody struct{}
)

func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }

func (endlessBody) Close() error { return nil }

// TestEndlessAnswersTakeBoundedMemory guards against an entry that exceeds its memory because several
// backend servers send bytes without end. All requests end within their deadlines.
func TestEndlessAnswersTakeBoundedMemory(t *testing.T) {
	is := is.New(t)
	memory := reserver.New(memoryLimit, 0)
	var requests sync.WaitGroup
	var mu sync.Mutex
	var longest time.Duration
	for range endlessServers {
		requests.Go(func() {
			env := newEnvironment()
			env.memory = memory
			for range 2 {
				env.sender.behaviours = append(env.sender.behaviours, func(r pooler.Request) (*pooler.Reply, error) {
					head := carawaybeam.ReplyHead{
						Request: r.ID,
						Status:  http.StatusOK,
						Sealed:  true,
						Header:  http.Header{},
					}
					return &pooler.Reply{ReplyHead: head, Body: endlessBody{}, Length: -1}, nil
				})
			}
			began := time.Now()
			_, failure := env.serve(request(carawaybeam.RouteSafe))
			mu.Lock()
			defer mu.Unlock()
			longest = max(longest, time.Since(began))
			if failure == nil || failure.Outcome != carawaybeam.OutcomeUnknown {
				t.Errorf("failure is %v", failure)
			}
		})
	}
	done := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
				is.True(memory.State().Held <= memoryLimit)
			}
		}
	})
	requests.Wait()
	close(done)
	watch.Wait()
	is.Equal(memory.State().Held, carawaybeam.Bytes(0))
	is.True(longest < 3*time.Second) // The timeout of the route is 2 s.
}

var _ io.ReadCloser = endlessBody{}
