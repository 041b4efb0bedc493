// Package generator is a stand-in for a model engine: it streams a text that
// depends on the prompt alone, queues by priority, resumes and cancels, and
// fails on order. It serves tests and the demo only.
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

// FaultMode is a way in which the stand-in fails.
type FaultMode string

const (
	// FaultNone serves every call.
	FaultNone FaultMode = "none"
	// FaultStall stops all streams where they are.
	FaultStall FaultMode = "stall"
	// FaultCut ends every stream before its end.
	FaultCut FaultMode = "cut"
)

const (
	// CrashMarker is the text in a prompt that crashes the engine.
	CrashMarker = "!!crash!!"

	defaultTokens = 16
	bytesPerToken = 4
)

var words = []string{
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
	// Options is what a Generator is made from.
	Options struct {
		// TokenTime is the time for one token.
		TokenTime time.Duration
		// PromptTokenTime is the time to read one token of a prompt.
		PromptTokenTime time.Duration
		// Slots bounds the calls that run at once.
		Slots int
		// CheckFencing makes the stand-in refuse orders of older epochs.
		CheckFencing bool
		// Crash is called on a prompt with the marker.
		Crash func()
	}

	// Generator is the stand-in.
	Generator struct {
		options Options

		mu      sync.Mutex
		running int
		queue   waiters
		order   int
		fault   FaultMode
		healed  chan struct{}
		epoch   carawaybeam.Epoch
		runs    map[carawaybeam.AttemptID]int
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

// Push adds a waiter for heap.Push.
func (w *waiters) Push(x any) { *w = append(*w, x.(*waiter)) }

// Pop removes the last waiter for heap.Pop.
func (w *waiters) Pop() any {
	old := *w
	last := old[len(old)-1]
	*w = old[:len(old)-1]
	return last
}

// New returns a Generator.
func New(options Options) *Generator {
	return &Generator{options: options, healed: make(chan struct{}), runs: make(map[carawaybeam.AttemptID]int)}
}

// SetFault sets how calls fail from now on.
func (g *Generator) SetFault(mode FaultMode) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fault = mode
	close(g.healed)
	g.healed = make(chan struct{})
}

// Runs returns how often each attempt ran.
func (g *Generator) Runs() map[carawaybeam.AttemptID]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	runs := make(map[carawaybeam.AttemptID]int, len(g.runs))
	for id, n := range g.runs {
		runs[id] = n
	}
	return runs
}

// Handler returns the HTTP API of the stand-in.
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

// serveOrder takes an order with a fencing number.
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
	if !g.acquire(r.Context(), header(r, caller.HeaderPriority), tokens) {
		return
	}
	defer g.release()
	if !pause(r.Context(), time.Duration(tokens)*g.options.PromptTokenTime) {
		return
	}
	g.answer(w, r, text, p)
}

func header(r *http.Request, name string) int {
	n, err := strconv.Atoi(r.Header.Get(name))
	if err != nil {
		return 0
	}
	return n
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// acquire waits for a slot, in the order of priority.
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
		g.forget(waiting)
		return false
	}
}

// forget takes a cancelled call out of the queue, or gives back its slot.
func (g *Generator) forget(gone *waiter) {
	g.mu.Lock()
	for i, waiting := range g.queue {
		if waiting == gone {
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
	return words[h%uint64(len(words))] + " "
}

// Text returns the whole answer to a prompt.
func Text(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(TokenText(prompt, i))
	}
	return b.String()
}

// Events returns the whole event stream that answers a prompt.
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
		if !pause(r.Context(), time.Duration(p.MaxTokens)*g.options.TokenTime) || !g.healthy(r.Context()) {
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]string{"text": Text(text, p.MaxTokens)})
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	skip := header(r, caller.HeaderResume)
	for i := range p.MaxTokens {
		skip = write(w, event(text, i), skip)
		if skip > 0 {
			continue
		}
		if !pause(r.Context(), g.options.TokenTime) || !g.healthy(r.Context()) {
			panic(http.ErrAbortHandler)
		}
	}
	write(w, "data: [DONE]\n\n", skip)
}

// healthy waits while the engine is stalled. It reports false when the stream is
// to be cut.
func (g *Generator) healthy(ctx context.Context) bool {
	for {
		g.mu.Lock()
		fault, healed := g.fault, g.healed
		g.mu.Unlock()
		if fault != FaultStall {
			return fault != FaultCut
		}
		select {
		case <-healed:
		case <-ctx.Done():
			return false
		}
	}
}

// write sends the text behind the first skip bytes and returns how many are
// still to be skipped.
func write(w http.ResponseWriter, text string, skip int) int {
	if skip >= len(text) {
		return skip - len(text)
	}
	_, _ = w.Write([]byte(text[skip:]))
	_ = http.NewResponseController(w).Flush()
	return 0
}
