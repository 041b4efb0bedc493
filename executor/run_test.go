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
	"github.com/carawaybeam/carawaybeam/prover"
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

// resumingBackend answers with the number of bytes behind which it says that it goes on.
type resumingBackend struct {
	answeringBackend

	status  int
	resumed carawaybeam.Bytes
}

func (b *resumingBackend) Start(
	ctx context.Context,
	call carawaybeam.BackendRequest,
) (*carawaybeam.BackendResponse, error) {
	answer, err := b.answeringBackend.Start(ctx, call)
	answer.Status, answer.Resumed = b.status, b.resumed
	return answer, err
}

// TestPromiseContinuedAnswer guards against continuing an answer with one that begins elsewhere, such as that
// of a model engine which ignores the offset (ORDER).
func TestPromiseContinuedAnswer(t *testing.T) {
	tests := map[string]struct {
		status          int
		resume, resumed carawaybeam.Bytes
		goesOn          bool
	}{
		"new answer":               {200, 0, 0, true},
		"rest":                     {200, 20, 20, true},
		"from the beginning on":    {200, 20, 0, false},
		"from another byte on":     {200, 20, 10, false},
		"rest, not asked for":      {200, 0, 20, false},
		"error, for the caller":    {503, 0, 0, true},
		"error in place of a rest": {503, 20, 0, true}, // The entry compares the status.
	}
	violations := 0
	for name, test := range tests {
		right := t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, link := newLinkTo(t, executor.Options{
				Backend: &resumingBackend{
					answeringBackend: answeringBackend{text: "data: a\n\n"}, status: test.status, resumed: test.resumed,
				},
				Incarnation: "i", Concurrency: 4, Log: zerolog.Nop(),
			})
			first := dispatch("a", "")
			first.GetDispatch().Resume = uint64(test.resume)
			last := exchange(t, link, first, "a")
			is.Equal(last.GetTail() != nil, test.goesOn)
			if !test.goesOn {
				is.Equal(last.GetFailed().GetOutcome(), string(carawaybeam.OutcomeUnknown))
			}
		})
		if !right {
			violations++
		}
	}
	prover.Report(t, prover.WholeAnswer, len(tests), violations)
}
