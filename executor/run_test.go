package executor_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/executor"
	"github.com/carawaybeam/carawaybeam/quarantiner"
)

// answeringBackend answers each request with a stream of the text, which ends with its
// connection.
type answeringBackend struct{ text string }

func (b *answeringBackend) Start(context.Context, carawaybeam.BackendRequest) (*carawaybeam.BackendResponse, error) {
	return &carawaybeam.BackendResponse{
		Status: 200, ContentType: "text/event-stream", Body: io.NopCloser(strings.NewReader(b.text)),
	}, nil
}

func (b *answeringBackend) Load(context.Context) (carawaybeam.Load, carawaybeam.BackendSignals, error) {
	return carawaybeam.Load{}, carawaybeam.BackendSignals{}, nil
}

// TestStreamEndsInsideEvent guards against a stream that ends inside an event, without an error,
// being taken for complete.
func TestStreamEndsInsideEvent(t *testing.T) {
	for text, complete := range map[string]bool{
		"":                               true,
		"data: a\n\n":                    true,
		"data: a\r\n\r\n":                true,
		"data: a\n\ndata: b":             false,
		"data: a\n\ndata: b\n":           false,
		"data: a\r\n\r\ndata: b\r\n":     false,
		strings.Repeat("data: a\n", 4e4): false,
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			e := executor.New(executor.Options{
				Backend: &answeringBackend{text: text}, Quarantiner: quarantiner.New(quarantiner.Complete),
				Concurrency: 4, Incarnation: "1", Log: zerolog.Nop(),
			})
			last := runOnce(e, "a")
			is.Equal(last.GetTail() != nil, complete)
			is.Equal(last.GetFailed() != nil, !complete)
			is.NoErr(e.Close())
		})
	}
}
