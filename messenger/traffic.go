package messenger

import (
	"net"
	"sync/atomic"

	"github.com/carawaybeam/carawaybeam"
)

type (
	// Traffic counts the frames and bytes of links. The zero value is ready to
	// use. A nil Traffic counts nothing. It is safe for concurrent use.
	Traffic struct {
		framesSent, framesReceived atomic.Uint64
		bytesSent, bytesReceived   atomic.Int64
	}

	// TrafficState is the state dump of a Traffic.
	TrafficState struct {
		FramesSent     uint64            `json:"framesSent"`
		FramesReceived uint64            `json:"framesReceived"`
		BytesSent      carawaybeam.Bytes `json:"bytesSent"`
		BytesReceived  carawaybeam.Bytes `json:"bytesReceived"`
	}

	// countedConn is a connection that counts its bytes.
	countedConn struct {
		net.Conn
		traffic *Traffic
	}
)

// State returns the counts so far. The bytes include the overhead of yamux, but not
// that of TLS.
func (t *Traffic) State() TrafficState {
	return TrafficState{
		FramesSent:     t.framesSent.Load(),
		FramesReceived: t.framesReceived.Load(),
		BytesSent:      carawaybeam.Bytes(t.bytesSent.Load()),
		BytesReceived:  carawaybeam.Bytes(t.bytesReceived.Load()),
	}
}

// Plus returns the sum of s and other.
func (s TrafficState) Plus(other TrafficState) TrafficState {
	return TrafficState{
		FramesSent:     s.FramesSent + other.FramesSent,
		FramesReceived: s.FramesReceived + other.FramesReceived,
		BytesSent:      s.BytesSent + other.BytesSent,
		BytesReceived:  s.BytesReceived + other.BytesReceived,
	}
}

func (t *Traffic) sent() {
	if t != nil {
		t.framesSent.Add(1)
	}
}

func (t *Traffic) received() {
	if t != nil {
		t.framesReceived.Add(1)
	}
}

// count wraps a connection so that its bytes are counted.
func (t *Traffic) count(conn net.Conn) net.Conn {
	if t == nil {
		return conn
	}
	return &countedConn{Conn: conn, traffic: t}
}

// Read reads from the connection and counts the bytes read.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.bytesReceived.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes written.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.bytesSent.Add(int64(n))
	return n, err
}
