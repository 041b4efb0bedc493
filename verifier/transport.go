package verifier

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

type (
	// Transport is an http.RoundTripper. An invalid response is returned as an error that wraps
	// *carawaybeam.InvalidAnswerError. The body of a response ends with io.EOF only if the response is
	// complete, and a complete response is returned also if the request could not be sent whole. With TLS,
	// which marks the end of a connection, these are the guarantees of http.Transport. A Transport is safe
	// for concurrent use.
	Transport struct {
		base *http.Transport
	}

	// exchange is one request with its response.
	exchange struct {
		mu sync.Mutex
		// conn is the connection of the last attempt to send the request, or nil if that uses TLS.
		conn *connection
		// sending is the last attempt.
		sending *Transmission
	}
)

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a Transport with the settings of base, and with connections of its own.
func NewTransport(base *http.Transport) *Transport {
	base = base.Clone()
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConnection(conn), nil
	}
	return &Transport{base: base}
}

// NewClient returns a client with the settings of http.DefaultClient, a timeout for each request, or
// none if that is 0, and connections of its own.
func NewClient(timeout time.Duration) *http.Client {
	base := &http.Transport{}
	if standard, ok := http.DefaultTransport.(*http.Transport); ok {
		base = standard
	}
	return &http.Client{Transport: NewTransport(base), Timeout: timeout}
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip sends a request and returns its response.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	x := &exchange{}
	trace := &httptrace.ClientTrace{GotConn: x.begin, WroteRequest: x.wrote}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		// This closes the connection.
		_ = response.Body.Close()
		return nil, err
	}
	if endsWithConnection(response) {
		x.markLast()
	}
	return response, nil
}

// markLast records that the response ends with the connection.
func (x *exchange) markLast() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil {
		x.conn.sending.Store(x.sending)
	}
}

// begin records that an attempt to send the request begins.
func (x *exchange) begin(info httptrace.GotConnInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sending = NewTransmission()
	x.conn, _ = info.Conn.(*connection)
	if x.conn != nil {
		x.conn.inExchange.Store(true)
	}
}

// wrote records that an attempt to send the request has ended.
func (x *exchange) wrote(info httptrace.WroteRequestInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sending.End(info.Err)
}
