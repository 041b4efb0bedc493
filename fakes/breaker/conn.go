package breaker

import (
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// conn is a connection whose peer answers without a length and resets it while the request is being
// written. One direction learns of the reset, and the other one finds the connection ended.
type conn struct {
	net.Conn
	// begun is closed by begin with the first write.
	begun  chan struct{}
	begin  func()
	answer io.Reader
	// end is called for each read behind the answer, and write for each write.
	end, write func() error
}

func (c *conn) Read(p []byte) (int, error) {
	<-c.begun
	if n, err := c.answer.Read(p); err == nil {
		return n, nil
	}
	return 0, c.end()
}

func (c *conn) Write([]byte) (int, error) {
	c.begin()
	return 0, c.write()
}

// NewResetConns returns connections that are reset during a request, by the order in which their
// directions learn of it. The caller must close them.
func NewResetConns() map[string]net.Conn {
	return map[string]net.Conn{
		"writer before reader": newConn(func(c *conn, first func(), second <-chan struct{}) {
			c.write = func() error {
				first()
				return syscall.ECONNRESET
			}
			c.end = func() error {
				<-second
				return io.EOF
			}
		}),
		"reader at its end before writer": newConn(func(c *conn, first func(), second <-chan struct{}) {
			c.end = func() error {
				first()
				return io.EOF
			}
			c.write = func() error {
				<-second
				// The reader goes on meanwhile.
				time.Sleep(answerPause)
				return syscall.ECONNRESET
			}
		}),
		"reader before writer": newConn(func(c *conn, first func(), second <-chan struct{}) {
			c.end = func() error {
				first()
				return syscall.ECONNRESET
			}
			c.write = func() error {
				<-second
				return syscall.EPIPE
			}
		}),
	}
}

// newConn returns a connection whose directions are set by order. The direction that calls first is
// ahead of that which waits for second.
func newConn(order func(c *conn, first func(), second <-chan struct{})) net.Conn {
	near, _ := net.Pipe()
	c := &conn{Conn: near, begun: make(chan struct{}), answer: strings.NewReader(ok + "\r\n{}")}
	c.begin = sync.OnceFunc(func() { close(c.begun) })
	second := make(chan struct{})
	order(c, sync.OnceFunc(func() { close(second) }), second)
	return c
}
