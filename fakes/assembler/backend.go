package assembler

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// Parts is the number of parts of each answer.
	Parts = 8

	// LongPrefix marks the request bodies whose answers take longFactor times
	// as long as others.
	LongPrefix = "long"
	longFactor = 20
)

var (
	_ carawaybeam.Backend = (*Backend)(nil)

	errDown = errors.New("connection refused")
	errCut  = errors.New("connection reset")
)

type (
	// Backend is an in-memory backend server that counts how often it ran each
	// request body.
	Backend struct {
		partTime time.Duration
		// restart is how long the backend server stays down after a poison
		// request, or 0 if it stays down until Recover.
		restart time.Duration

		mu       sync.Mutex
		runs     map[string]int
		attempts map[carawaybeam.AttemptID]int
		starts   []time.Time
		// started holds the attempts of starts.
		started []carawaybeam.AttemptID
		down    bool
		crashes []time.Time
		// poison holds the bodies that crash the backend server, with the times at which
		// they did.
		poison     map[string][]time.Time
		answersCut chan struct{}
	}

	// Answer collects what a caller receives.
	Answer struct {
		Status int
		Body   strings.Builder
		// Buffered is set if the caller receives the answer only once it is
		// complete, as for answers that are not event streams.
		Buffered bool
	}

	partReader struct {
		ctx       context.Context
		cut       <-chan struct{}
		remaining []string
		partTime  time.Duration
	}
)

// NewBackend returns a Backend that takes partTime for each part of an answer.
// After a poison request it stays down for restart, or until Recover if restart
// is 0.
func NewBackend(partTime, restart time.Duration) *Backend {
	return &Backend{
		partTime:   partTime,
		restart:    restart,
		runs:       make(map[string]int),
		attempts:   make(map[carawaybeam.AttemptID]int),
		poison:     make(map[string][]time.Time),
		answersCut: make(chan struct{}),
	}
}

// FullAnswer returns the whole answer to a request with the body.
func FullAnswer(body string) string {
	var b strings.Builder
	for i := range Parts {
		b.WriteString(part(body, i))
	}
	return b.String()
}

func part(body string, i int) string { return fmt.Sprintf("%s part %d\n", body, i) }

// Runs returns how many requests with the body were run.
func (b *Backend) Runs(body string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[body]
}

// AttemptStarts returns how many times an attempt of the request was started.
func (b *Backend) AttemptStarts(request carawaybeam.RequestID) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for id, runs := range b.attempts {
		if strings.HasPrefix(string(id), string(request)+".") {
			n += runs
		}
	}
	return n
}

// EachStart calls a function with the time and attempt of each start.
func (b *Backend) EachStart(visit func(at time.Time, attempt carawaybeam.AttemptID)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, at := range b.starts {
		visit(at, b.started[i])
	}
}

// Crashes returns the times at which the backend server crashed.
func (b *Backend) Crashes() []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.crashes)
}

// Poison makes requests with the body crash the backend server.
func (b *Backend) Poison(body string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.poison[body] = nil
}

// CrashesBy returns the times at which each poison request crashed the backend server.
func (b *Backend) CrashesBy() map[string][]time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.poison)
}

// Crash ends all answers in flight with an error and refuses requests until
// Recover.
func (b *Backend) Crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crash()
}

func (b *Backend) crash() {
	b.crashes = append(b.crashes, time.Now())
	b.down = true
	b.cutAnswers()
}

// Recover makes a crashed backend server accept requests again.
func (b *Backend) Recover() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down = false
}

// CutAnswers ends all answers in flight with an error, as the loss of the
// agent's connections does.
func (b *Backend) CutAnswers() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cutAnswers()
}

func (b *Backend) cutAnswers() {
	close(b.answersCut)
	b.answersCut = make(chan struct{})
}

// Start runs a request. Only answers of ClassDrafting are resumed after
// call.Resume bytes.
func (b *Backend) Start(ctx context.Context, call carawaybeam.BackendRequest) (*carawaybeam.BackendResponse, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return nil, &carawaybeam.NotSentError{Cause: errDown}
	}
	body := string(call.Body)
	b.runs[body]++
	b.attempts[call.Attempt]++
	b.starts = append(b.starts, time.Now())
	b.started = append(b.started, call.Attempt)
	if crashes, ok := b.poison[body]; ok {
		b.poison[body] = append(crashes, time.Now())
		b.crash()
		if b.restart > 0 {
			time.AfterFunc(b.restart, b.Recover)
		}
		return nil, errCut
	}
	remaining := make([]string, 0, Parts)
	for i := range Parts {
		remaining = append(remaining, part(body, i))
	}
	var resumed carawaybeam.Bytes
	if strings.HasPrefix(call.Path, "/"+string(ClassDrafting)) {
		resumed = call.Resume
		remaining = skip(remaining, int(resumed))
	}
	reader := &partReader{ctx: ctx, cut: b.answersCut, remaining: remaining, partTime: b.partTimeOf(body)}
	return &carawaybeam.BackendResponse{Status: 200, ContentType: "text/plain", Body: reader, Resumed: resumed}, nil
}

func (b *Backend) partTimeOf(body string) time.Duration {
	if strings.HasPrefix(body, LongPrefix) {
		return longFactor * b.partTime
	}
	return b.partTime
}

func skip(parts []string, n int) []string {
	for len(parts) > 0 && n >= len(parts[0]) {
		n -= len(parts[0])
		parts = parts[1:]
	}
	if len(parts) > 0 {
		parts[0] = parts[0][n:]
	}
	return parts
}

// Load returns a zero load, or an error while the backend server is down.
func (b *Backend) Load(context.Context) (carawaybeam.Load, carawaybeam.BackendSignals, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return carawaybeam.Load{}, carawaybeam.BackendSignals{}, errDown
	}
	return carawaybeam.Load{}, carawaybeam.BackendSignals{}, nil
}

// Read waits for the time of one part and returns bytes of the next part.
func (r *partReader) Read(p []byte) (int, error) {
	if len(r.remaining) == 0 {
		return 0, io.EOF
	}
	select {
	case <-time.After(r.partTime):
	case <-r.cut:
		return 0, errCut
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	}
	n := copy(p, r.remaining[0])
	if r.remaining[0] = r.remaining[0][n:]; r.remaining[0] == "" {
		r.remaining = r.remaining[1:]
	}
	return n, nil
}

// Close does nothing and returns nil.
func (r *partReader) Close() error { return nil }

// Head stores the status.
func (a *Answer) Head(status int, _ string) error {
	a.Status = status
	return nil
}

// Chunk appends data to the body.
func (a *Answer) Chunk(data []byte) error {
	a.Body.Write(data)
	return nil
}

// Restart discards the body of a buffered answer. It returns false if the
// answer is not buffered, since the caller has then received a part of it.
func (a *Answer) Restart() bool {
	if a.Buffered {
		a.Body.Reset()
	}
	return a.Buffered
}
