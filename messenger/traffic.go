package messenger

import (
	"net"
	"sync/atomic"

	"github.com/carawaybeam/carawaybeam"
)

type (
	// Traffic counts what goes over links. The zero value is ready to use, and
	// a nil Traffic counts nothing.
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

	countedConn struct {
		net.Conn
		traffic *Traffic
	}
)

// State returns the counts so far. Bytes include the overhead of yamux.
func (t *Traffic) State() TrafficState {
	return TrafficState{
		FramesSent:     t.framesSent.Load(),
		FramesReceived: t.framesReceived.Load(),
		BytesSent:      carawaybeam.Bytes(t.bytesSent.Load()),
		BytesReceived:  carawaybeam.Bytes(t.bytesReceived.Load()),
	}
}

// Plus returns the sums of both counts.
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

// count returns a connection whose bytes are counted.
func (t *Traffic) count(conn net.Conn) net.Conn {
	if t == nil {
		return conn
	}
	return &countedConn{Conn: conn, traffic: t}
}

// Read counts what was read.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.bytesReceived.Add(int64(n))
	return n, err
}

// Write counts what was written.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.bytesSent.Add(int64(n))
	return n, err
}
