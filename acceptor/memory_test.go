package acceptor_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/acceptor"
	"github.com/carawaybeam/carawaybeam/dispatcher/forwarder"
	"github.com/carawaybeam/carawaybeam/platform"
	"github.com/carawaybeam/carawaybeam/reserver"
)

const (
	uploadBytes  = 4 << 20
	uploadMemory = 3 * uploadBytes
	uploads      = 12
)

// uploadForwarder answers requests with bodies once it may.
type uploadForwarder struct {
	memory *reserver.Reserver
	// most is the most memory that was reserved, and bodies the number of complete bodies.
	most, bodies atomic.Int64
	// release is closed when requests with bodies may be answered.
	release chan struct{}
}

func (f *uploadForwarder) Serve(
	_ context.Context, _ time.Time, r *carawaybeam.ClientRequest, w forwarder.AnswerWriter,
) *carawaybeam.RequestError {
	if held := int64(f.memory.State().Held); held > f.most.Load() {
		f.most.Store(held)
	}
	if len(r.Body) > 0 {
		if len(r.Body) == uploadBytes {
			f.bodies.Add(1)
		}
		<-f.release
	}
	_ = w.Head(http.StatusOK, http.Header{}, 0)
	return nil
}

func (f *uploadForwarder) Limits() (carawaybeam.ClientLimits, bool) {
	return carawaybeam.ClientLimits{BodyBytes: uploadBytes}, true
}

// listen starts an Acceptor for the time of the test and returns its address.
func (f *uploadForwarder) listen(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := acceptor.New(listener, acceptor.Options{
		Dialect: platform.Dialect{}, Forwarder: f, BodyBytes: uploadBytes, HeaderBytes: 4096, Memory: f.memory,
		ReadTimeout: time.Second, WriteTimeout: time.Second, Scope: tally.NoopScope, Log: zerolog.Nop(),
	})
	t.Cleanup(func() {
		if err := a.Close(); err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

// TestUploadsTakeBoundedMemory guards against an entry that exceeds its memory because many clients
// send large bodies at once. Clients whose bodies do not fit are told so, and small requests go on.
func TestUploadsTakeBoundedMemory(t *testing.T) {
	for name, chunked := range map[string]bool{"with a length": false, "in chunks": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fit := int64(uploadMemory / uploadBytes)
			if chunked {
				// The buffer for a body of an unknown length grows.
				fit = uploadMemory / (uploadBytes * 3 / 2)
			}
			f := &uploadForwarder{
				memory:  reserver.New(uploadMemory, 500*time.Millisecond),
				release: make(chan struct{}),
			}
			address := f.listen(t)
			var served, refused atomic.Int64
			var clients sync.WaitGroup
			for range uploads {
				clients.Go(func() {
					began := time.Now()
					switch status, err := upload(address, chunked); status {
					case http.StatusOK:
						served.Add(1)
					case http.StatusServiceUnavailable:
						refused.Add(1)
					default:
						t.Errorf("upload was answered %d after %v: %v", status, time.Since(began), err)
					}
				})
			}
			for f.bodies.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			small := exchange(t, address, "GET / HTTP/1.1\r\n"+head+"\r\n")
			is.Equal(small.status, http.StatusOK)
			is.Equal(served.Load(), int64(0)) // All memory is in use.
			close(f.release)
			clients.Wait()
			is.True(f.most.Load() <= uploadMemory)
			is.True(served.Load() >= fit)
			is.Equal(served.Load(), f.bodies.Load())
			is.Equal(served.Load()+refused.Load(), int64(uploads))
			is.Equal(f.memory.State().Held, carawaybeam.Bytes(0))
		})
	}
}

// TestNoBodyIsAskedForWithoutMemory checks that a client which waits before it sends its body is
// refused without being told to send it.
func TestNoBodyIsAskedForWithoutMemory(t *testing.T) {
	is := is.New(t)
	f := &uploadForwarder{memory: reserver.New(uploadMemory, 500*time.Millisecond)}
	release, err := f.memory.Reserve(t.Context(), uploadMemory)
	is.NoErr(err)
	defer release()
	address := f.listen(t)
	began := time.Now()
	refused := exchange(t, address,
		"POST / HTTP/1.1\r\n"+head+"Expect: 100-continue\r\nContent-Length: 4000000\r\n\r\n")
	is.Equal(refused.status, http.StatusServiceUnavailable) // Not 100.
	is.True(time.Since(began) < time.Second)
	is.True(refused.last)
}

// TestSlowUploadIsNotRefused guards against refusing a client that sends its body slowly as if there
// were no memory for it.
func TestSlowUploadIsNotRefused(t *testing.T) {
	is := is.New(t)
	f := &uploadForwarder{memory: reserver.New(uploadMemory, 500*time.Millisecond), release: make(chan struct{})}
	close(f.release)
	address := f.listen(t)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\n%sTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", head)
	is.NoErr(err)
	time.Sleep(800 * time.Millisecond)
	_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", 64<<10, make([]byte, 64<<10))
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusOK)
}

// upload sends a large body, and returns the status of the answer.
func upload(address string, chunked bool) (int, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	body := make([]byte, uploadBytes)
	if chunked {
		_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
			head, len(body), body)
	} else {
		_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	if err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, nil
}
