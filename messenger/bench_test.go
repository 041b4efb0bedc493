package messenger_test

import (
	"net"
	"testing"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/messenger"
)

// BenchmarkExchange measures opening a stream, sending one frame and receiving one.
func BenchmarkExchange(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	l := messenger.New(listener, echoer{})
	defer func() { _ = l.Close() }()
	link, err := messenger.Dialer{}.Dial(b.Context(), carawaybeam.Address(listener.Addr().String()))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = link.Close() }()
	b.ReportAllocs()
	for b.Loop() {
		stream, err := link.Open(b.Context())
		if err != nil {
			b.Fatal(err)
		}
		if err := stream.Send(chunk(1, make([]byte, 64))); err != nil {
			b.Fatal(err)
		}
		if _, err := stream.Receive(0); err != nil {
			b.Fatal(err)
		}
		if err := stream.Close(); err != nil {
			b.Fatal(err)
		}
	}
}
