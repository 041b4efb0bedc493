package verifier

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"
)

// maxInformational is how many informational responses may come before a response.
const maxInformational = 8

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
		// conn is the connection of the last attempt to send the request. It is nil if that uses TLS, and
		// once the connection is released.
		conn *connection
		// sending is the last attempt.
		sending *Transmission
		// informational counts the informational responses. Only the reader of net/http uses it.
		informational int
	}

	// transportBody is a body that releases the connection with its end.
	transportBody struct {
		io.ReadCloser
		exchange *exchange
	}
)

var (
	// DefaultClient is a client without a timeout, like http.DefaultClient.
	DefaultClient = NewClient(0)

	_ http.RoundTripper = (*Transport)(nil)

	errInformational = errors.New("too many informational responses before the response")
)

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
	trace := &httptrace.ClientTrace{GotConn: x.begin, WroteRequest: x.wrote, Got1xxResponse: x.checkInformational}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err == nil {
		err = Check(response)
	}
	if err != nil {
		x.discard()
		if response != nil {
			_ = response.Body.Close()
		}
		return nil, err
	}
	if endsWithConnection(response) {
		x.markUnframed()
	}
	if response.Body == http.NoBody {
		x.release()
		return response, nil
	}
	response.Body = &transportBody{ReadCloser: Body(response, nil), exchange: x}
	return response, nil
}

// markUnframed records that the response has neither a length nor chunks.
func (x *exchange) markUnframed() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil {
		x.conn.sending.Store(x.sending)
	}
}

// begin records that an attempt to send the request begins. If the connection carried an earlier
// request, begin waits until that has released it: net/http may hand it on before.
func (x *exchange) begin(info httptrace.GotConnInfo) {
	x.release()
	conn, ok := info.Conn.(*connection)
	if ok {
		conn.inExchange.Store(true)
		conn.held <- struct{}{}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sending = NewTransmission()
	x.conn = conn
}

// release lets another exchange use the connection. Further calls do nothing.
func (x *exchange) release() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil {
		<-x.conn.held
		x.conn = nil
	}
}

// discard closes the connection and releases it.
func (x *exchange) discard() {
	x.mu.Lock()
	if x.conn != nil {
		// An error is irrelevant, because the connection is unusable anyway.
		_ = x.conn.Close()
	}
	x.mu.Unlock()
	x.release()
}

// checkInformational checks an informational response. net/http bounds neither their number nor
// their total size for a caller that looks at them.
func (x *exchange) checkInformational(_ int, header textproto.MIMEHeader) error {
	if x.informational++; x.informational > maxInformational {
		return errInformational
	}
	return checkNames(http.Header(header))
}

// wrote records that an attempt to send the request has ended.
func (x *exchange) wrote(info httptrace.WroteRequestInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sending.End(info.Err)
}

// Read reads from the body.
func (b *transportBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.exchange.release()
	case err != nil:
		b.exchange.discard()
	}
	return n, err
}

// Close closes the body.
func (b *transportBody) Close() error {
	defer b.exchange.release()
	return b.ReadCloser.Close()
}
