// Package pooler keeps connections to backend servers and puts requests on them.
//
// A request is written at most once. An error that wraps
// *carawaybeam.NotSentError proves that no byte of it has left; after any other
// error it may have run.
package pooler

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// dialTimeout bounds the time to connect, which takes a few milliseconds. A
	// lost opening packet is sent again after a second.
	dialTimeout = 700 * time.Millisecond

	// defaultIdleTimeout is how long a connection is kept whose backend server
	// does not tell its own timeout.
	defaultIdleTimeout = 2 * time.Second

	// idleMargin is how much sooner than the backend server a connection is
	// given up, so that no request meets its close.
	idleMargin = 500 * time.Millisecond

	// maxIdle bounds the kept connections to one backend server.
	maxIdle = 32

	// sweepInterval is how often kept connections are looked through.
	sweepInterval = 500 * time.Millisecond

	// keepAliveInterval and keepAliveCount find kept connections that have gone
	// silent.
	keepAliveInterval = time.Second
	keepAliveCount    = 2

	// maxStrayAnswers is how many answers to other requests are skipped before
	// the connection is given up.
	maxStrayAnswers = 2

	// maxStrayBytes bounds the body of an answer that is skipped.
	maxStrayBytes = 1 << 20

	// inlineBody is up to which size a body is written before the answer is
	// read. It fits into the smallest socket buffers.
	inlineBody = 16 << 10

	bufferSize = 4 << 10
)

type (
	// Options is what a Pooler is made from.
	Options struct {
		// DecodeReply reads the head of an answer.
		DecodeReply func(status int, header http.Header) carawaybeam.ReplyHead
		// Dial connects to an address. Nil stands for TCP.
		Dial func(ctx context.Context, network, address string) (net.Conn, error)
	}

	// Pooler keeps connections to backend servers. Its methods may be used by
	// several goroutines at once.
	Pooler struct {
		options Options
		ctx     context.Context
		cancel  context.CancelFunc
		wait    sync.WaitGroup

		mu   sync.Mutex
		idle map[carawaybeam.Address][]*connection
		// opened and reused count connections taken for requests.
		opened, reused uint64
	}

	// Request is a request as it goes out.
	Request struct {
		ID     carawaybeam.RequestID
		Method string
		Host   string
		// Target is path and query, byte for byte.
		Target string
		Header http.Header
		Body   []byte
	}

	// Reply is the beginning of an answer. Its Body is closed by the caller.
	Reply struct {
		carawaybeam.ReplyHead
		Body io.ReadCloser
		// Length is the length of the body, or -1 where it is not told.
		Length int64
	}

	// State is the state dump of a Pooler.
	State struct {
		Idle   int    `json:"idle"`
		Opened uint64 `json:"opened"`
		Reused uint64 `json:"reused"`
	}

	// StrayAnswerError reports answers that belong to another request.
	StrayAnswerError struct {
		Request carawaybeam.RequestID
		Got     carawaybeam.RequestID
	}

	connection struct {
		net.Conn
		address   carawaybeam.Address
		reader    *bufio.Reader
		idleSince time.Time
		idleFor   time.Duration
	}
)

func (e *StrayAnswerError) Error() string {
	return fmt.Sprintf("answer is for request %q, not %q", e.Got, e.Request)
}

// New returns a Pooler that works until Close.
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

// Close ends all kept connections and waits.
func (p *Pooler) Close() error {
	p.cancel()
	p.wait.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address := range p.idle {
		p.drop(address)
	}
	return nil
}

// State returns the state dump.
func (p *Pooler) State() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := State{Opened: p.opened, Reused: p.reused}
	for _, kept := range p.idle {
		state.Idle += len(kept)
	}
	return state
}

// Forget gives up the kept connections to an address, as when one of them has
// gone silent.
func (p *Pooler) Forget(address carawaybeam.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(address)
}

// drop closes the kept connections to an address. The caller holds mu.
func (p *Pooler) drop(address carawaybeam.Address) {
	for _, c := range p.idle[address] {
		c.discard()
	}
	delete(p.idle, address)
}

// sweep closes connections that were kept for long enough.
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
		for address, kept := range p.idle {
			fresh := kept[:0]
			for _, c := range kept {
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

// Send puts a request to the backend server at the address and returns once the
// answer begins. Cancelling ctx ends the request and its answer.
func (p *Pooler) Send(ctx context.Context, address carawaybeam.Address, request Request) (*Reply, error) {
	c, err := p.take(ctx, address)
	if err != nil {
		return nil, &carawaybeam.NotSentError{Cause: err}
	}
	stop := context.AfterFunc(ctx, c.reset)
	reply, err := p.exchange(c, request, stop)
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

// take returns a kept connection that is alive, or a new one.
func (p *Pooler) take(ctx context.Context, address carawaybeam.Address) (*connection, error) {
	for {
		p.mu.Lock()
		kept := p.idle[address]
		if len(kept) == 0 {
			p.opened++
			p.mu.Unlock()
			break
		}
		c := kept[len(kept)-1]
		p.idle[address] = kept[:len(kept)-1]
		p.mu.Unlock()
		if !c.expired() && c.quiet() {
			p.mu.Lock()
			p.reused++
			p.mu.Unlock()
			return c, nil
		}
		c.discard()
	}
	conn, err := p.options.Dial(ctx, "tcp", string(address))
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, address: address, reader: bufio.NewReaderSize(conn, bufferSize)}, nil
}

// exchange writes a request and reads the head of its answer.
func (p *Pooler) exchange(c *connection, request Request, stop func() bool) (*Reply, error) {
	written := make(chan error, 1)
	head := encodeHead(request)
	if len(request.Body) <= inlineBody {
		n, err := c.Write(append(head, request.Body...))
		if err != nil && n == 0 {
			return nil, &carawaybeam.NotSentError{Cause: err}
		}
		written <- err
	} else {
		// A backend server may answer before it has read a long body, and reads
		// on later. So the body is written to its end beside the answer.
		go func() {
			_, err := c.Write(append(head, request.Body...))
			written <- err
		}()
	}
	response, reply, err := p.readHead(c, request) //nolint:bodyclose // The body of the reply closes it.
	if err != nil {
		return nil, err
	}
	reply.Body = &body{
		ReadCloser: response.Body,
		pooler:     p,
		connection: c,
		stop:       stop,
		written:    written,
		reusable:   !response.Close && !reply.Encoded,
		idleFor:    reply.IdleTimeout,
	}
	return reply, nil
}

// readHead reads the head of the answer to a request. It skips informational
// answers and complete answers to other requests.
func (p *Pooler) readHead(c *connection, request Request) (*http.Response, *Reply, error) {
	var stray carawaybeam.RequestID
	for skipped := 0; skipped <= maxStrayAnswers; {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		head := p.options.DecodeReply(response.StatusCode, response.Header)
		if head.Request == "" || head.Request == request.ID {
			return response, &Reply{ReplyHead: head, Length: response.ContentLength}, nil
		}
		stray = head.Request
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes)); err != nil {
			return nil, nil, err
		}
		skipped++
	}
	return nil, nil, &StrayAnswerError{Request: request.ID, Got: stray}
}

// keep takes a connection back for the next request.
func (p *Pooler) keep(c *connection, idleFor time.Duration) {
	c.idleFor = defaultIdleTimeout
	if idleFor > 0 {
		c.idleFor = idleFor - idleMargin
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil || len(p.idle[c.address]) >= maxIdle {
		c.discard()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// expired tells whether the backend server may be about to close the connection.
func (c *connection) expired() bool { return time.Since(c.idleSince) >= c.idleFor }

// quiet tells whether the connection is open and nothing has come on it.
func (c *connection) quiet() bool {
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
	quiet := false
	// Any byte, and the end of the stream, make the connection unusable, so
	// that reading one away does no harm.
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, readErr := syscall.Read(int(fd), one[:])
		quiet = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// reset ends the connection at once, so that what has not left yet never reaches
// the backend server.
func (c *connection) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// Without the option, the close below is an orderly one.
		_ = tcp.SetLinger(0)
	}
	c.discard()
}

// discard closes the connection. It is unusable whatever the close reports.
func (c *connection) discard() { _ = c.Close() }
