// Package pooler sends requests to backend servers over a pool of connections.
//
// It never retries: a request is written at most once. An error that wraps
// *carawaybeam.NotSentError proves that no byte of the request was sent. After
// any other error the request may have run.
package pooler

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/verifier"
)

const (
	// dialTimeout is the timeout for connecting, which normally takes a few
	// milliseconds. TCP retransmits a lost SYN packet only after a second.
	dialTimeout = 700 * time.Millisecond

	// defaultIdleTimeout is how long an idle connection is kept if its backend
	// server does not state its own timeout.
	defaultIdleTimeout = 2 * time.Second

	// idleMargin is how much earlier than the backend server the pool closes an
	// idle connection, so that no request is sent while the backend server
	// closes it.
	idleMargin = 500 * time.Millisecond

	// maxIdle is the maximum number of idle connections to one backend server, unless a
	// request states a lower one.
	maxIdle = 32

	// sweepInterval is how often expired idle connections are closed.
	sweepInterval = 500 * time.Millisecond

	// keepAliveInterval and keepAliveCount configure the TCP keep-alive probes
	// that detect unresponsive connections.
	keepAliveInterval = time.Second
	keepAliveCount    = 2

	// maxStrayAnswers is how many answers to other requests are skipped before
	// the connection is closed.
	maxStrayAnswers = 2

	// maxStrayBytes is the maximum size of the body of a skipped answer.
	maxStrayBytes = 1 << 20

	// maxHeadBytes is the maximum size of the status line and header of an answer, and
	// maxInformational how many informational responses may come before it.
	maxHeadBytes     = 64 << 10
	maxInformational = 8

	// maxRequests is the maximum number of requests that are sent over one connection, whose
	// identifiers are remembered.
	maxRequests = 256

	// drainTimeout and maxDrainBytes limit the reading of the rest of an answer whose
	// content is irrelevant.
	drainTimeout  = 20 * time.Millisecond
	maxDrainBytes = 16 << 10

	// maxInlineBody is the largest body that is written before the answer is
	// read. It fits into the smallest socket buffers.
	maxInlineBody = 16 << 10

	bufferSize = 4 << 10

	// unlimited is the value of headLeft outside the head of an answer.
	unlimited = -1
)

var (
	errHeadTooLong = errors.New("status line and header of the answer are too long")
	// ErrNotPermitted is the cause of a request that Request.Permit did not permit.
	ErrNotPermitted = errors.New("request is no longer permitted")

	errInformational = errors.New("too many informational responses before the answer")
)

type (
	// Options configures a Pooler.
	Options struct {
		// DecodeReply decodes the status and header of an answer.
		DecodeReply func(status int, header http.Header) carawaybeam.ReplyHead
		// Dial connects to an address. If nil, the Pooler connects by TCP.
		Dial func(ctx context.Context, network, address string) (net.Conn, error)
	}

	// Pooler is a pool of connections to backend servers. Its methods are safe
	// for concurrent use.
	Pooler struct {
		options Options
		ctx     context.Context
		cancel  context.CancelFunc
		wait    sync.WaitGroup

		mu   sync.Mutex
		idle map[carawaybeam.Address][]*connection
		// opened and reused count the connections that were used for requests.
		opened, reused uint64
		// oversized counts the answers with too long a head, and broken those that are invalid or
		// incomplete.
		oversized, broken uint64
	}

	// Request is a request to a backend server.
	Request struct {
		ID     carawaybeam.RequestID
		Method string
		Host   string
		// Target is the path and query, which are sent unmodified.
		Target string
		Header http.Header
		Body   []byte
		// MaxIdle is the maximum number of idle connections to the backend server that
		// may be left behind, or 0 if that is not known.
		MaxIdle int
		// Permit, if it is not nil, reports whether the request may still be sent. It is called
		// once there is a connection, which may take 700 ms to open.
		Permit func() bool
	}

	// Reply is the beginning of an answer. The caller must close Body.
	Reply struct {
		carawaybeam.ReplyHead
		Body io.ReadCloser
		// Length is the length of the body in bytes, or -1 if unknown.
		Length int64
	}

	// State is the state dump of a Pooler.
	State struct {
		// Idle is the number of idle connections.
		Idle int `json:"idle"`
		// Opened and Reused are how many requests required a new connection and
		// how many reused an idle one.
		Opened uint64 `json:"opened"`
		Reused uint64 `json:"reused"`
		// Oversized is how many answers had a longer head than is accepted.
		Oversized uint64 `json:"oversized"`
		// Broken is how many answers that began were invalid or incomplete, except for those whose
		// request was cancelled.
		Broken uint64 `json:"broken"`
	}

	// StrayAnswerError reports that a connection carried only answers to other
	// requests.
	StrayAnswerError struct {
		// Request is the request that was sent.
		Request carawaybeam.RequestID
		// Got is the request of the last answer, or empty if the answer names none on a
		// connection over which an earlier request was sent.
		Got carawaybeam.RequestID
	}

	connection struct {
		net.Conn
		address carawaybeam.Address
		// headLeft is how many more bytes of the head of an answer may be read, or
		// negative while the size of what is read is not limited.
		headLeft int
		// requests holds hashes of the identifiers of the requests that were sent over the
		// connection. A late copy of an earlier answer can only be told from the answer to
		// a later request if that has another identifier.
		requests  []uint64
		reader    *bufio.Reader
		idleSince time.Time
		idleFor   time.Duration
	}
)

func (e *StrayAnswerError) Error() string {
	return fmt.Sprintf("answer is for request %q, not %q", e.Got, e.Request)
}

// New returns a Pooler. The caller must close it.
func New(options Options) *Pooler {
	if options.Dial == nil {
		dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveInterval,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		}}
		options.Dial = dialer.DialContext
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pooler{options: options, ctx: ctx, cancel: cancel, idle: make(map[carawaybeam.Address][]*connection)}
	p.wait.Go(p.sweep)
	return p
}

// Close closes all idle connections and stops the Pooler. It does not wait for
// requests in flight.
func (p *Pooler) Close() error {
	p.cancel()
	p.wait.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address := range p.idle {
		p.closeIdle(address)
	}
	return nil
}

// State returns the state dump.
func (p *Pooler) State() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := State{Opened: p.opened, Reused: p.reused, Oversized: p.oversized, Broken: p.broken}
	for _, idle := range p.idle {
		state.Idle += len(idle)
	}
	return state
}

// CloseIdle closes the idle connections to an address. It is used when another
// connection to that address has failed.
func (p *Pooler) CloseIdle(address carawaybeam.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(address)
}

// closeIdle closes the idle connections to an address. The caller holds mu.
func (p *Pooler) closeIdle(address carawaybeam.Address) {
	for _, c := range p.idle[address] {
		c.discard()
	}
	delete(p.idle, address)
}

// sweep closes expired idle connections until the Pooler is closed.
func (p *Pooler) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-p.ctx.Done():
			return
		}
		p.mu.Lock()
		for address, idle := range p.idle {
			fresh := idle[:0]
			for _, c := range idle {
				if c.expired() {
					c.discard()
				} else {
					fresh = append(fresh, c)
				}
			}
			if p.idle[address] = fresh; len(fresh) == 0 {
				delete(p.idle, address)
			}
		}
		p.mu.Unlock()
	}
}

// Send sends a request to the backend server at the address and returns once the
// answer begins. Cancelling ctx closes the connection, also while the body of
// the answer is read.
func (p *Pooler) Send(ctx context.Context, address carawaybeam.Address, request Request) (*Reply, error) {
	hash := xxhash.Sum64String(string(request.ID))
	c, err := p.get(ctx, address, hash)
	if err != nil {
		return nil, &carawaybeam.NotSentError{Cause: err}
	}
	if request.Permit != nil && !request.Permit() {
		c.discard()
		return nil, &carawaybeam.NotSentError{Cause: ErrNotPermitted}
	}
	c.requests = append(c.requests, hash)
	stop := context.AfterFunc(ctx, c.reset)
	reply, err := p.exchange(ctx, c, request, stop)
	if err != nil {
		stop()
		c.discard()
		if ctx.Err() != nil {
			return nil, errors.Join(ctx.Err(), err)
		}
		return nil, err
	}
	return reply, nil
}

// Probe opens a connection to an address and keeps it for a later request. Its error
// wraps syscall.ECONNREFUSED if no process listens there.
func (p *Pooler) Probe(ctx context.Context, address carawaybeam.Address) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	p.put(c, 0, maxIdle)
	return nil
}

// dial opens a connection to an address.
func (p *Pooler) dial(ctx context.Context, address carawaybeam.Address) (*connection, error) {
	conn, err := p.options.Dial(ctx, "tcp", string(address))
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: conn, address: address, headLeft: unlimited}
	c.reader = bufio.NewReaderSize(c, bufferSize)
	return c, nil
}

// Read reads from the connection. It fails if the head of an answer is too long.
func (c *connection) Read(p []byte) (int, error) {
	if c.headLeft == 0 {
		return 0, errHeadTooLong
	}
	if c.headLeft > 0 {
		p = p[:min(len(p), c.headLeft)]
	}
	n, err := c.Conn.Read(p)
	if c.headLeft > 0 {
		c.headLeft -= n
	}
	return n, err
}

// get returns an idle connection that is still usable and over which no request with the hash was
// sent, or opens a new one.
func (p *Pooler) get(ctx context.Context, address carawaybeam.Address, hash uint64) (*connection, error) {
	for {
		c := p.takeIdle(address, hash)
		if c == nil {
			break
		}
		if !c.expired() && c.openAndEmpty() {
			p.mu.Lock()
			p.reused++
			p.mu.Unlock()
			return c, nil
		}
		c.discard()
	}
	return p.dial(ctx, address)
}

// takeIdle takes the idle connection that was used last, among those over which no request with the
// hash was sent. It returns nil if there is none, and counts a new connection then.
func (p *Pooler) takeIdle(address carawaybeam.Address, hash uint64) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	for i := len(idle) - 1; i >= 0; i-- {
		if c := idle[i]; !slices.Contains(c.requests, hash) {
			p.idle[address] = slices.Delete(idle, i, i+1)
			return c
		}
	}
	p.opened++
	return nil
}

// exchange writes a request and reads the head of its answer.
func (p *Pooler) exchange(
	ctx context.Context,
	c *connection,
	request Request,
	stop func() bool,
) (*Reply, error) {
	sending := verifier.NewTransmission()
	head := encodeHead(request)
	if len(request.Body) <= maxInlineBody {
		n, err := c.Write(append(head, request.Body...))
		if err != nil && n == 0 {
			return nil, &carawaybeam.NotSentError{Cause: err}
		}
		sending.End(err)
	} else {
		// A backend server may answer before it has read all of a long body,
		// and read the rest later. The body is therefore written concurrently
		// with reading the answer.
		go func() {
			// The body, which may be large, is not copied.
			buffers := net.Buffers{head, request.Body}
			_, err := buffers.WriteTo(c.Conn)
			sending.End(err)
		}()
	}
	response, reply, err := p.readHead(ctx, c, request) //nolint:bodyclose // The body of the reply closes it.
	if err != nil {
		return nil, err
	}
	most := maxIdle
	if request.MaxIdle > 0 {
		most = min(most, request.MaxIdle)
	}
	reply.Body = &body{
		ReadCloser: verifier.Body(response, sending),
		pooler:     p,
		connection: c,
		stop:       stop,
		cancelled:  ctx.Err,
		sending:    sending,
		reusable:   !response.Close && !reply.Encoded,
		idleFor:    reply.IdleTimeout,
		maxIdle:    most,
	}
	return reply, nil
}

// readHead reads the head of the answer to a request. It skips informational
// responses, and up to maxStrayAnswers complete answers to other requests.
func (p *Pooler) readHead(
	ctx context.Context,
	c *connection,
	request Request,
) (*http.Response, *Reply, error) {
	var stray carawaybeam.RequestID
	informational := 0
	for skipped := 0; skipped <= maxStrayAnswers; {
		response, err := p.readResponse(ctx, c, request) //nolint:bodyclose // The caller does so.
		if err != nil {
			return nil, nil, err
		}
		if response.StatusCode < http.StatusOK {
			if informational++; informational > maxInformational {
				return nil, nil, errInformational
			}
			continue
		}
		head := p.options.DecodeReply(response.StatusCode, response.Header)
		if head.Request == request.ID || head.Request == "" && len(c.requests) == 1 {
			return response, &Reply{ReplyHead: head, Length: response.ContentLength}, nil
		}
		if stray = head.Request; stray == "" {
			break
		}
		n, err := io.Copy(io.Discard, io.LimitReader(verifier.Body(response, nil), maxStrayBytes+1))
		if err != nil {
			return nil, nil, err
		}
		if n > maxStrayBytes {
			break
		}
		skipped++
	}
	return nil, nil, &StrayAnswerError{Request: request.ID, Got: stray}
}

// readResponse reads the head of one response.
func (p *Pooler) readResponse(ctx context.Context, c *connection, request Request) (*http.Response, error) {
	begun := c.reader.Buffered() > 0
	c.headLeft = maxHeadBytes
	response, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
	begun = begun || c.headLeft < maxHeadBytes
	c.headLeft = unlimited
	if err == nil {
		err = verifier.Check(response)
	}
	if errors.Is(err, errHeadTooLong) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.oversized++
	} else if err != nil && begun && ctx.Err() == nil {
		p.countBroken()
	}
	return response, err
}

// countBroken counts an answer that is invalid or incomplete.
func (p *Pooler) countBroken() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken++
}

// put returns a connection to the pool, unless that has most idle ones to its backend
// server already. idleFor is the idle timeout of the backend server, or 0 if unknown.
func (p *Pooler) put(c *connection, idleFor time.Duration, most int) {
	c.idleFor = defaultIdleTimeout
	if idleFor > 0 {
		c.idleFor = idleFor - idleMargin
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil || len(p.idle[c.address]) >= most || len(c.requests) >= maxRequests {
		c.discard()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// expired reports whether the backend server may be about to close the idle
// connection.
func (c *connection) expired() bool { return time.Since(c.idleSince) >= c.idleFor }

// openAndEmpty reports whether the connection is open and has no data to read.
func (c *connection) openAndEmpty() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	// The read may consume a byte. That does no harm, because any byte makes an
	// idle connection unusable, as does the end of the stream.
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, readErr := syscall.Read(int(fd), one[:])
		empty = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

// reset aborts the connection, so that data still in the send buffer never
// reaches the backend server.
func (c *connection) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// If this fails, the connection is closed in the normal way.
		_ = tcp.SetLinger(0)
	}
	c.discard()
}

// discard closes the connection. An error is irrelevant, because the connection
// is unusable anyway.
func (c *connection) discard() { _ = c.Close() }
