package messenger_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/messenger"
)

// echoer sends every frame back, except those with a Resolve.
type echoer struct{}

func (echoer) ServeStream(_ context.Context, first *framer.Frame, stream carawaybeam.Stream) {
	for frame := first; ; {
		if frame.GetResolve() == nil && stream.Send(frame) != nil {
			return
		}
		var err error
		if frame, err = stream.Receive(0); err != nil {
			return
		}
	}
}

func chunk(sequence uint64, data []byte) *framer.Frame {
	return &framer.Frame{Body: &framer.Frame_Chunk{Chunk: &framer.Chunk{Sequence: sequence, Data: data}}}
}

// listen starts a Listener with an echoer and returns its address. At its end the test
// checks for leaked goroutines.
func listen(t *testing.T) (carawaybeam.Address, *messenger.Listener) {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := messenger.New(listener, echoer{})
	t.Cleanup(func() { _ = l.Close() })
	return carawaybeam.Address(listener.Addr().String()), l
}

func dial(t *testing.T, address carawaybeam.Address) carawaybeam.Link {
	t.Helper()
	link, err := messenger.Dialer{}.Dial(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = link.Close() })
	return link
}

func TestStreamsDoNotMix(t *testing.T) {
	is := is.New(t)
	address, _ := listen(t)
	link := dial(t, address)
	var wait sync.WaitGroup
	for n := range 16 {
		wait.Go(func() {
			stream, err := link.Open(t.Context())
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = stream.Close() }()
			for i := range 50 {
				sent := chunk(uint64(n*1000+i), make([]byte, 3000))
				if err := stream.Send(sent); err != nil {
					t.Error(err)
					return
				}
				got, err := stream.Receive(0)
				if err != nil || got.GetChunk().GetSequence() != sent.GetChunk().GetSequence() {
					t.Errorf("got %v, %v", got.GetChunk().GetSequence(), err)
					return
				}
			}
		})
	}
	wait.Wait()
	is.NoErr(link.Close())
}

func TestReceiveTimeout(t *testing.T) {
	is := is.New(t)
	address, _ := listen(t)
	stream, err := dial(t, address).Open(t.Context())
	is.NoErr(err)
	is.NoErr(stream.Send(&framer.Frame{Body: &framer.Frame_Resolve{Resolve: &framer.Resolve{}}}))
	_, err = stream.Receive(50 * time.Millisecond)
	var timeout *carawaybeam.ReceiveTimeoutError
	is.True(errors.As(err, &timeout))
}

func TestCloseUnblocksReceive(t *testing.T) {
	is := is.New(t)
	address, listener := listen(t)
	link := dial(t, address)
	stream, err := link.Open(t.Context())
	is.NoErr(err)
	is.NoErr(stream.Send(&framer.Frame{Body: &framer.Frame_Resolve{Resolve: &framer.Resolve{}}}))
	go func() { _ = listener.Close() }()
	_, err = stream.Receive(0)
	is.True(err != nil)
	<-link.Done()
}

func TestDialFailsWithoutListener(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(listener.Close())
	_, err = messenger.Dialer{}.Dial(t.Context(), carawaybeam.Address(listener.Addr().String()))
	is.True(err != nil)
}
