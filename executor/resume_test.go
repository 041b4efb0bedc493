package executor_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/executor"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/messenger"
)

// longAnswerBytes is far more than an agent and a link hold of an answer.
const longAnswerBytes = 8 << 20

// longBackend answers each request at once and at length.
type longBackend struct{ textBackend }

func (longBackend) Start(context.Context, carawaybeam.BackendRequest) (*carawaybeam.BackendResponse, error) {
	body := strings.NewReader(strings.Repeat("long", longAnswerBytes/4))
	return &carawaybeam.BackendResponse{Status: 200, ContentType: "text/plain", Body: io.NopCloser(body)}, nil
}

// TestLongAnswerOutlivesLink checks that an answer that is longer than what an agent holds is
// read to its end by an entry whose link is lost in the middle of it.
func TestLongAnswerOutlivesLink(t *testing.T) {
	for name, linkless := range map[string]time.Duration{"redialled": 20 * time.Millisecond, "late": time.Second} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := executor.New(executor.Options{
				Backend: longBackend{}, Incarnation: "i", Concurrency: 64, Log: zerolog.Nop(),
			})
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			links := messenger.New(listener, handler{e})
			t.Cleanup(func() {
				if err := links.Close(); err != nil {
					t.Error(err)
				}
				if err := e.Close(); err != nil {
					t.Error(err)
				}
			})
			read := func(first *framer.Frame, limit uint64) (uint64, *framer.Frame) {
				link, err := messenger.Dialer{}.Dial(t.Context(), carawaybeam.Address(listener.Addr().String()))
				is.NoErr(err)
				defer func() { _ = link.Close() }()
				stream, err := link.Open(t.Context())
				is.NoErr(err)
				is.NoErr(stream.Send(first))
				offset := first.GetResolve().GetOffset()
				for offset < limit {
					frame, err := stream.Receive(5 * time.Second)
					is.NoErr(err)
					if chunk := frame.GetChunk(); chunk != nil {
						is.Equal(chunk.GetOffset(), offset)
						offset += uint64(len(chunk.GetData()))
					}
					if frame.GetTail() != nil || frame.GetFailed() != nil {
						return offset, frame
					}
				}
				// The agent sends on while the entry does not read.
				time.Sleep(200 * time.Millisecond)
				return offset, nil
			}
			offset, _ := read(dispatch("a", ""), longAnswerBytes/4)
			time.Sleep(linkless)
			resolve := &framer.Frame{
				Body: &framer.Frame_Resolve{Resolve: &framer.Resolve{Attempt: "a", Offset: offset}},
			}
			offset, last := read(resolve, longAnswerBytes+1)
			is.True(last.GetTail() != nil)
			is.Equal(offset, uint64(longAnswerBytes))
		})
	}
}
