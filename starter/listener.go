package starter

import (
	"errors"
	"net"
	"time"

	"github.com/rs/zerolog"
)

// acceptRetryDelay is the time between a failure to accept a connection and the next try.
const acceptRetryDelay = 100 * time.Millisecond

// retryingListener accepts connections until it is closed.
type retryingListener struct {
	net.Listener
	log zerolog.Logger
}

// RetryAccept returns a listener whose Accept fails only after Close. Other failures, such as
// a lack of file descriptors, end by themselves; they are logged and Accept tries again.
func RetryAccept(listener net.Listener, log zerolog.Logger) net.Listener {
	return &retryingListener{Listener: listener, log: log}
}

// Accept waits for the next connection.
func (l *retryingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.log.Error().Err(err).Stringer("address", l.Addr()).Msg("starter: cannot accept a connection")
		time.Sleep(acceptRetryDelay)
	}
}
