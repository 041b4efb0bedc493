package messenger

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/carawaybeam/carawaybeam"
)

// firstFrameTimeout is the timeout for the first frame of a new stream, which
// determines the purpose of the stream.
const firstFrameTimeout = 10 * time.Second

// Listener accepts links and passes their streams to a handler.
type Listener struct {
	listener net.Listener
	handler  carawaybeam.StreamHandler
	ctx      context.Context
	cancel   context.CancelFunc
	wait     sync.WaitGroup
	traffic  Traffic

	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
}

// New returns a Listener that serves the links of the given listener until Close.
func New(listener net.Listener, handler carawaybeam.StreamHandler) *Listener {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Listener{
		listener: listener,
		handler:  handler,
		ctx:      ctx,
		cancel:   cancel,
		sessions: make(map[*yamux.Session]struct{}),
	}
	l.wait.Go(l.acceptLinks)
	return l
}

// Traffic returns the counts of frames and bytes of all accepted links.
func (l *Listener) Traffic() *Traffic { return &l.traffic }

// Close stops accepting links, closes all links and waits for their handlers. The
// error is that of closing the network listener.
func (l *Listener) Close() error {
	l.cancel()
	err := l.listener.Close()
	l.mu.Lock()
	for session := range l.sessions {
		_ = session.Close()
	}
	l.mu.Unlock()
	l.wait.Wait()
	return err
}

func (l *Listener) acceptLinks() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		session, err := yamux.Server(l.traffic.count(conn), sessionConfig())
		if err != nil {
			_ = conn.Close()
			continue
		}
		if !l.add(session) {
			_ = session.Close()
			return
		}
		l.wait.Go(func() { l.acceptStreams(session) })
	}
}

func (l *Listener) add(session *yamux.Session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return false
	}
	l.sessions[session] = struct{}{}
	return true
}

func (l *Listener) acceptStreams(session *yamux.Session) {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	defer func() {
		_ = session.Close()
		l.mu.Lock()
		delete(l.sessions, session)
		l.mu.Unlock()
	}()
	for {
		conn, err := session.Accept()
		if err != nil {
			return
		}
		l.wait.Go(func() { l.serve(ctx, newStream(conn, &l.traffic)) })
	}
}

func (l *Listener) serve(ctx context.Context, s *stream) {
	defer func() { _ = s.Close() }()
	first, err := s.Receive(firstFrameTimeout)
	if err != nil {
		return
	}
	l.handler.ServeStream(ctx, first, s)
}
