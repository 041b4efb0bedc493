// Package generator is a stand-in for a model engine. It streams a text that
// depends on the prompt alone, queues requests by priority, resumes answers,
// stops on cancellation and can be made to fail. It is for tests and the demo
// only.
package generator

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/caller"
)

// FaultMode is the way in which the engine fails.
type FaultMode string

const (
	// FaultNone serves all requests.
	FaultNone FaultMode = "none"
	// FaultStall pauses all answers until another mode is set.
	FaultStall FaultMode = "stall"
	// FaultCut closes every stream before its end and leaves other answers
	// empty.
	FaultCut FaultMode = "cut"
)

const (
	// CrashMarker makes a prompt that contains it crash the engine.
	CrashMarker = "!!crash!!"

	defaultTokens = 16
	bytesPerToken = 4
)

var vocabulary = []string{
	"feed",
	"horn",
	"mast",
	"snow",
	"load",
	"clear",
	"replace",
	"bolt",
	"north",
	"dish",
	"ice",
	"cable",
	"sound",
	"repair",
}

type (
	// Options configures a Generator.
	Options struct {
		// TokenTime is the time to generate one token.
		TokenTime time.Duration
		// PromptTokenTime is the time to process one token of a prompt.
		PromptTokenTime time.Duration
		// Slots is the maximum number of requests that run at once. Further
		// ones are queued.
		Slots int
		// CheckFencing makes the engine refuse orders of an epoch older than
		// the newest one that it has seen.
		CheckFencing bool
		// Crash is called for each prompt that contains CrashMarker, unless it
		// is nil.
		Crash func()
	}

	// Generator is the stand-in engine. Its methods are safe for concurrent
	// use.
	Generator struct {
		options Options

		mu           sync.Mutex
		running      int
		queue        waiters
		order        int
		fault        FaultMode
		faultChanged chan struct{}
		epoch        carawaybeam.Epoch
		runs         map[carawaybeam.AttemptID]int
	}

	prompt struct {
		Prompt    string `json:"prompt"`
		Messages  []any  `json:"messages"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}

	token struct {
		Index int    `json:"index"`
		Text  string `json:"text"`
	}

	waiter struct {
		priority int
		order    int
		tokens   carawaybeam.Tokens
		ready    chan struct{}
	}

	waiters []*waiter
)

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}
	return w[i].order < w[j].order
}

func (w waiters) Swap(i, j int) { w[i], w[j] = w[j], w[i] }

// Push implements heap.Interface.
func (w *waiters) Push(x any) { *w = append(*w, x.(*waiter)) }

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	old := *w
	last := old[len(old)-1]
	*w = old[:len(old)-1]
	return last
}

// New returns a Generator without a fault.
func New(options Options) *Generator {
	return &Generator{options: options, faultChanged: make(chan struct{}), runs: make(map[carawaybeam.AttemptID]int)}
}

// SetFault sets how requests fail from now on, including those in flight.
func (g *Generator) SetFault(mode FaultMode) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fault = mode
	close(g.faultChanged)
	g.faultChanged = make(chan struct{})
}

// Runs returns how often each attempt was received.
func (g *Generator) Runs() map[carawaybeam.AttemptID]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	runs := make(map[carawaybeam.AttemptID]int, len(g.runs))
	for id, n := range g.runs {
		runs[id] = n
	}
	return runs
}

// Handler returns the HTTP API of the engine.
func (g *Generator) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", g.serveCompletion)
	mux.HandleFunc("POST /v1/chat/completions", g.serveCompletion)
	mux.HandleFunc("GET /load", g.serveLoad)
	mux.HandleFunc("POST /orders", g.serveOrder)
	mux.HandleFunc("POST /fault", g.serveFault)
	return mux
}

func (g *Generator) serveLoad(w http.ResponseWriter, _ *http.Request) {
	g.mu.Lock()
	load := map[string]int{"running": g.running, "waiting": len(g.queue), "waitingTokens": 0}
	for _, waiting := range g.queue {
		load["waitingTokens"] += int(waiting.tokens)
	}
	g.mu.Unlock()
	_ = json.NewEncoder(w).Encode(load)
}

// serveOrder accepts an order with a fencing token, or answers 409 Conflict if
// its epoch is older than the newest one seen.
func (g *Generator) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Epoch carawaybeam.Epoch `json:"epoch"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.options.CheckFencing && order.Epoch < g.epoch {
		http.Error(w, "order is of an older epoch", http.StatusConflict)
		return
	}
	g.epoch = max(g.epoch, order.Epoch)
}

func (g *Generator) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault struct {
		Mode FaultMode `json:"mode"`
	}
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.SetFault(fault.Mode)
}

func (g *Generator) serveCompletion(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(caller.HeaderAttempt, r.Header.Get(caller.HeaderAttempt))
	var p prompt
	if err := json.NewDecoder(r.Body).Decode(&p); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	text := p.Prompt + fmt.Sprint(p.Messages...)
	if p.MaxTokens == 0 {
		p.MaxTokens = defaultTokens
	}
	g.mu.Lock()
	g.runs[carawaybeam.AttemptID(r.Header.Get(caller.HeaderAttempt))]++
	g.mu.Unlock()
	if strings.Contains(text, CrashMarker) && g.options.Crash != nil {
		g.options.Crash()
	}
	tokens := carawaybeam.Tokens(len(text) / bytesPerToken)
	if !g.acquire(r.Context(), intHeader(r, caller.HeaderPriority), tokens) {
		return
	}
	defer g.release()
	if !sleep(r.Context(), time.Duration(tokens)*g.options.PromptTokenTime) {
		return
	}
	g.answer(w, r, text, p)
}

func intHeader(r *http.Request, name string) int {
	n, err := strconv.Atoi(r.Header.Get(name))
	if err != nil {
		return 0
	}
	return n
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// acquire waits for a slot. Waiting requests get one by priority, then in order
// of arrival. It returns false if ctx ends first.
func (g *Generator) acquire(ctx context.Context, priority int, tokens carawaybeam.Tokens) bool {
	g.mu.Lock()
	if g.running < g.options.Slots {
		g.running++
		g.mu.Unlock()
		return true
	}
	g.order++
	waiting := &waiter{priority: priority, order: g.order, tokens: tokens, ready: make(chan struct{})}
	heap.Push(&g.queue, waiting)
	g.mu.Unlock()
	select {
	case <-waiting.ready:
		return true
	case <-ctx.Done():
		g.abandon(waiting)
		return false
	}
}

// abandon removes a cancelled request from the queue. If it has already been
// given a slot, abandon releases the slot.
func (g *Generator) abandon(cancelled *waiter) {
	g.mu.Lock()
	for i, waiting := range g.queue {
		if waiting == cancelled {
			heap.Remove(&g.queue, i)
			g.mu.Unlock()
			return
		}
	}
	g.mu.Unlock()
	g.release()
}

func (g *Generator) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.queue) > 0 {
		close(heap.Pop(&g.queue).(*waiter).ready)
		return
	}
	g.running--
}

// TokenText returns token i of the answer to a prompt.
func TokenText(prompt string, i int) string {
	h := xxhash.Sum64String(prompt + strconv.Itoa(i))
	return vocabulary[h%uint64(len(vocabulary))] + " "
}

// Text returns the whole answer to a prompt.
func Text(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(TokenText(prompt, i))
	}
	return b.String()
}

// Events returns the complete event stream that answers a prompt.
func Events(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(event(prompt, i))
	}
	b.WriteString("data: [DONE]\n\n")
	return b.String()
}

func event(prompt string, i int) string {
	data, err := json.Marshal(token{Index: i, Text: TokenText(prompt, i)})
	if err != nil {
		return ""
	}
	return "data: " + string(data) + "\n\n"
}

func (g *Generator) answer(w http.ResponseWriter, r *http.Request, text string, p prompt) {
	if !p.Stream {
		if !sleep(r.Context(), time.Duration(p.MaxTokens)*g.options.TokenTime) || !g.awaitHealthy(r.Context()) {
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]string{"text": Text(text, p.MaxTokens)})
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	skip := intHeader(r, caller.HeaderResume)
	if skip > 0 {
		w.Header().Set(caller.HeaderResume, strconv.Itoa(skip))
	}
	for i := range p.MaxTokens {
		skip = write(w, event(text, i), skip)
		if skip > 0 {
			continue
		}
		if !sleep(r.Context(), g.options.TokenTime) || !g.awaitHealthy(r.Context()) {
			panic(http.ErrAbortHandler)
		}
	}
	write(w, "data: [DONE]\n\n", skip)
}

// awaitHealthy waits while the engine is stalled. It returns false if the
// answer must be aborted: in FaultCut, or if ctx ends.
func (g *Generator) awaitHealthy(ctx context.Context) bool {
	for {
		g.mu.Lock()
		fault, faultChanged := g.fault, g.faultChanged
		g.mu.Unlock()
		if fault != FaultStall {
			return fault != FaultCut
		}
		select {
		case <-faultChanged:
		case <-ctx.Done():
			return false
		}
	}
}

// write sends the text without its first skip bytes. It returns how many bytes
// are still to be skipped after it.
func write(w http.ResponseWriter, text string, skip int) int {
	if skip >= len(text) {
		return skip - len(text)
	}
	_, _ = w.Write([]byte(text[skip:]))
	_ = http.NewResponseController(w).Flush()
	return 0
}
