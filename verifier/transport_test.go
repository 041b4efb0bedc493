package verifier_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/fakes/breaker"
	"github.com/carawaybeam/carawaybeam/verifier"
)

const (
	// testTimeout is much longer than any exchange of the tests takes.
	testTimeout = 5 * time.Second

	// uploadBytes do not fit into the buffers of sockets.
	uploadBytes = 8 << 20
)

// exchange sends a request and returns the body of the response.
func exchange(ctx context.Context, client *http.Client, method, url string, body []byte) (string, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	data, err := io.ReadAll(response.Body)
	return string(data), errors.Join(err, response.Body.Close())
}

// TestResetInEachOrder guards against a result that depends on which direction of the connection learns of its
// reset, and when: the reader must not take the end of the connection for that of the response.
func TestResetInEachOrder(t *testing.T) {
	for name, conn := range breaker.NewResetConns() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := &http.Client{Transport: verifier.NewTransport(&http.Transport{
				DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, nil },
			})}
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			_, err := exchange(ctx, client, http.MethodPost, "http://192.0.2.1/", make([]byte, uploadBytes))
			is.True(err != nil)
			is.NoErr(ctx.Err())
		})
	}
}

// TestEndWithoutResponse guards against waiting for the rest of a request whose response can no longer come.
func TestEndWithoutResponse(t *testing.T) {
	is := is.New(t)
	b := breaker.Start(t, breaker.Answer{Head: "HTTP/1.1 200 OK\r\n", Ending: breaker.Stall})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	client := verifier.NewClient(0)
	_, err := exchange(ctx, client, http.MethodPost, "http://"+b.Address(), make([]byte, uploadBytes))
	is.True(err != nil)
	is.NoErr(ctx.Err())
}

// TestClosedIdleConnection guards against failing a request, which may be repeated, on a connection that the server
// has closed before.
func TestClosedIdleConnection(t *testing.T) {
	is := is.New(t)
	b := breaker.Start(
		t,
		breaker.Answer{Head: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", Body: "{}", Ending: breaker.Close},
	)
	client := verifier.NewClient(testTimeout)
	for range 100 {
		body, err := exchange(t.Context(), client, http.MethodGet, "http://"+b.Address(), nil)
		is.NoErr(err)
		is.Equal(body, "{}")
	}
}

// TestTimeout guards against a request without an end whose server does not answer.
func TestTimeout(t *testing.T) {
	is := is.New(t)
	b := breaker.Start(t, breaker.Answer{Ending: breaker.Keep})
	client := verifier.NewClient(100 * time.Millisecond)
	began := time.Now()
	_, err := exchange(t.Context(), client, http.MethodGet, "http://"+b.Address(), nil)
	is.True(err != nil)
	is.True(time.Since(began) < testTimeout)
}

// TestInvalidResponseEndsConnection guards against using a connection again that carried an invalid response, also
// if other requests wait for one.
func TestInvalidResponseEndsConnection(t *testing.T) {
	const clients, requests = 8, 50
	for _, answer := range breaker.Invalid() {
		t.Run(answer.Name, func(t *testing.T) {
			is := is.New(t)
			b := breaker.Start(t, answer)
			client := verifier.NewClient(testTimeout)
			var wait sync.WaitGroup
			for range clients {
				wait.Go(func() {
					for range requests {
						_, err := exchange(t.Context(), client, http.MethodGet, "http://"+b.Address(), nil)
						var invalid *carawaybeam.InvalidAnswerError
						if !errors.As(err, &invalid) {
							t.Errorf("error is %v", err)
						}
					}
				})
			}
			wait.Wait()
			is.Equal(b.Requests(), clients*requests)
			is.Equal(b.Reused(), 0)
		})
	}
}

// TestManyInformationalResponses guards against a server that sends informational responses without end.
func TestManyInformationalResponses(t *testing.T) {
	is := is.New(t)
	const informational = "HTTP/1.1 103 Early Hints\r\n\r\n"
	b := breaker.Start(t, breaker.Answer{Head: strings.Repeat(informational, 100), Ending: breaker.Keep})
	began := time.Now()
	_, err := exchange(t.Context(), verifier.NewClient(testTimeout), http.MethodGet, "http://"+b.Address(), nil)
	is.True(err != nil)
	is.True(time.Since(began) < testTimeout)
}

// TestInformationalResponse checks that a response behind a valid informational one is returned.
func TestInformationalResponse(t *testing.T) {
	is := is.New(t)
	b := breaker.Start(t, breaker.Answer{
		Head: "HTTP/1.1 103 Early Hints\r\nLink: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", Body: "{}",
	})
	body, err := exchange(t.Context(), verifier.NewClient(testTimeout), http.MethodGet, "http://"+b.Address(), nil)
	is.NoErr(err)
	is.Equal(body, "{}")
}
