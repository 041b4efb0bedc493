package collector_test

import (
	"net"
	"testing"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/collector"
	"github.com/carawaybeam/carawaybeam/framer"
)

// datagrams is a connection that receives given datagrams.
type datagrams struct {
	net.PacketConn
	received chan []byte
}

func (d *datagrams) ReadFrom(p []byte) (int, net.Addr, error) {
	datagram, ok := <-d.received
	if !ok {
		return 0, nil, net.ErrClosed
	}
	return copy(p, datagram), &net.UDPAddr{}, nil
}

func (d *datagrams) WriteTo(p []byte, _ net.Addr) (int, error) { return len(p), nil }

func (d *datagrams) Close() error {
	close(d.received)
	return nil
}

// FuzzDatagram checks that no datagram makes a process panic, or hides the status of another rank.
func FuzzDatagram(f *testing.F) {
	status := func(address string, step uint64, size uint32) []byte {
		data, err := proto.Marshal(&framer.Frame{Body: &framer.Frame_RankStatus{RankStatus: &framer.RankStatus{
			Sender: "s", Sequence: 1, Address: address, Group: "g", Step: step, Size: size,
		}}})
		if err != nil {
			f.Fatal(err)
		}
		return data
	}
	f.Add([]byte{}, []byte("x"))
	f.Add(status("10.0.0.2:80", 1, 4), status("10.0.0.2:80", 1<<63, 1<<31))
	f.Add(status("", 1<<64-1, 1<<32-1), status("10.0.0.2:80", 0, 0))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		conn := &datagrams{received: make(chan []byte)}
		c := collector.New(collector.Options{Conn: conn, Log: zerolog.Nop()})
		conn.received <- first
		conn.received <- second
		conn.received <- status("sound", 7, 2)
		// The next datagram is read once the one before has been handled.
		conn.received <- nil
		if got, ok := c.Status("sound"); !ok || got.Step != 7 {
			t.Errorf("status is %+v", got)
		}
		_ = c.Groups()
		for _, group := range append(c.Groups(), "g", carawaybeam.GroupID("")) {
			_ = c.Statuses(group)
		}
		if err := c.Close(); err != nil {
			t.Error(err)
		}
	})
}
