package assembler

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// Parts is how many parts each answer has.
	Parts = 8

	// LongPrefix begins the bodies whose answers take longFactor times as long.
	LongPrefix = "long"
	longFactor = 20
)

var (
	_ carawaybeam.Backend = (*Backend)(nil)

	errDown = errors.New("connection refused")
	errCut  = errors.New("connection reset")
)

type (
	// Backend is a backend server in memory that counts the runs of each body.
	Backend struct {
		pace time.Duration
		// restart is how long the backend server is down after it crashed by
		// itself, or 0 for until Recover.
		restart time.Duration

		mu       sync.Mutex
		runs     map[string]int
		attempts map[carawaybeam.AttemptID]int
		starts   []time.Time
		down     bool
		crashes  []time.Time
		poison   string
		detached chan struct{}
	}

	// Answer collects what a caller gets.
	Answer struct {
		Status int
		Body   strings.Builder
		// Buffered is set when the answer reaches the caller only as a whole, as one
		// that is no event stream.
		Buffered bool
	}

	partReader struct {
		ctx  context.Context
		cut  <-chan struct{}
		left []string
		pace time.Duration
	}
)

// NewBackend returns a Backend that takes the given time for each part, and for a
// restart.
func NewBackend(pace, restart time.Duration) *Backend {
	return &Backend{
		pace:     pace,
		restart:  restart,
		runs:     make(map[string]int),
		attempts: make(map[carawaybeam.AttemptID]int),
		detached: make(chan struct{}),
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

// Runs returns how often a request with the body ran.
func (b *Backend) Runs(body string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[body]
}

// AttemptStarts returns how often attempts of a request were started.
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

// Crashes returns when the backend server crashed.
func (b *Backend) Crashes() []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.crashes)
}

// Poison makes every request with the body crash the backend server.
func (b *Backend) Poison(body string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.poison = body
}

// Crash cuts all answers and refuses calls until Recover.
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

// Recover takes calls again.
func (b *Backend) Recover() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down = false
}

// CutAnswers cuts all answers, as the death of the agent does.
func (b *Backend) CutAnswers() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cutAnswers()
}

func (b *Backend) cutAnswers() {
	close(b.detached)
	b.detached = make(chan struct{})
}

// Start puts a call. Only answers of ClassDrafting go on behind call.Resume.
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
	if b.poison != "" && body == b.poison {
		b.crash()
		if b.restart > 0 {
			time.AfterFunc(b.restart, b.Recover)
		}
		return nil, errCut
	}
	left := make([]string, 0, Parts)
	for i := range Parts {
		left = append(left, part(body, i))
	}
	if strings.HasPrefix(call.Path, "/"+string(ClassDrafting)) {
		left = skip(left, int(call.Resume))
	}
	reader := &partReader{ctx: ctx, cut: b.detached, left: left, pace: b.paceOf(body)}
	return &carawaybeam.BackendResponse{Status: 200, ContentType: "text/plain", Body: reader}, nil
}

func (b *Backend) paceOf(body string) time.Duration {
	if strings.HasPrefix(body, LongPrefix) {
		return longFactor * b.pace
	}
	return b.pace
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

// Load reports no load, or an error while the backend server is down.
func (b *Backend) Load(context.Context) (carawaybeam.Load, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return carawaybeam.Load{}, errDown
	}
	return carawaybeam.Load{}, nil
}

// Read gives the next part once its time has come.
func (r *partReader) Read(p []byte) (int, error) {
	if len(r.left) == 0 {
		return 0, io.EOF
	}
	select {
	case <-time.After(r.pace):
	case <-r.cut:
		return 0, errCut
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	}
	n := copy(p, r.left[0])
	if r.left[0] = r.left[0][n:]; r.left[0] == "" {
		r.left = r.left[1:]
	}
	return n, nil
}

// Close does nothing.
func (r *partReader) Close() error { return nil }

// Head notes the status.
func (a *Answer) Head(status int, _ string) error {
	a.Status = status
	return nil
}

// Chunk adds to the body.
func (a *Answer) Chunk(data []byte) error {
	a.Body.Write(data)
	return nil
}

// Restart takes back a held answer.
func (a *Answer) Restart() bool {
	if a.Buffered {
		a.Body.Reset()
	}
	return a.Buffered
}
