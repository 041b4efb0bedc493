package mapper_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/fakes/stepper"
	"github.com/carawaybeam/carawaybeam/mapper"
	"github.com/carawaybeam/carawaybeam/prover"
	"github.com/carawaybeam/carawaybeam/tracer"
)

const (
	kindMapSwitch tracer.Kind = "mapSwitch"

	lookahead    = 8
	stepTime     = 20 * time.Millisecond
	pollInterval = 50 * time.Millisecond
	// The offsets keep the ranks, the agents and the trace from acting at the
	// same time, in an order that is not determined.
	pollOffset  = 3100 * time.Microsecond
	traceOffset = 1700 * time.Microsecond
	// A controller sends a proposal several times.
	proposeTries = 4
	proposeRetry = 50 * time.Millisecond
	// disasterEvents is the number of faults and proposals of a random trace.
	disasterEvents = 60
	// calm is how long a trial goes on without faults at its end.
	calm = 5 * time.Second
)

type (
	// event is one line of a trace of kind mapSwitch.
	event struct {
		At tracer.Duration `json:"at"`
		// Type is start, network, propose, restartAgent, restartRank or
		// stallRank.
		Type string `json:"type"`
		// Ranks and CheckFencing describe the group of a start.
		Ranks        int  `json:"ranks,omitempty"`
		CheckFencing bool `json:"checkFencing,omitempty"`
		// Loss, Double and Late are shares of the messages from now on. Late
		// ones take up to LateBy.
		Loss   float64         `json:"loss,omitempty"`
		Double float64         `json:"double,omitempty"`
		Late   float64         `json:"late,omitempty"`
		LateBy tracer.Duration `json:"lateBy,omitempty"`
		// Epoch, Version and Ahead describe a proposal to switch so many steps
		// ahead. Reached is the number of ranks it reaches, 0 for all.
		Epoch   carawaybeam.Epoch      `json:"epoch,omitempty"`
		Version carawaybeam.MapVersion `json:"version,omitempty"`
		Ahead   carawaybeam.Step       `json:"ahead,omitempty"`
		Reached int                    `json:"reached,omitempty"`
		// Rank is the one that restarts or stalls, for the time For.
		Rank int             `json:"rank,omitempty"`
		For  tracer.Duration `json:"for,omitempty"`
	}

	// bench runs the agents of a group over a faulty network.
	bench struct {
		mu       sync.Mutex
		random   *rand.Rand
		group    *stepper.Stepper
		agents   []*mapper.Mapper
		lives    []int
		network  event
		messages int
		// taken holds the times at which something arrives, in nanoseconds.
		taken map[int64]struct{}
	}
)

func (e event) When() time.Duration { return time.Duration(e.At) }

func (b *bench) start(rank int) {
	b.lives[rank]++
	b.agents[rank] = mapper.New(mapper.Options{
		Ranks: len(b.agents), Rank: carawaybeam.Rank(rank), Lookahead: lookahead,
		Incarnation: carawaybeam.Incarnation(fmt.Sprintf("%d.%d", rank, b.lives[rank])),
	})
}

// poll reads each rank and sends again what was lost.
func (b *bench) poll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, agent := range b.agents {
		b.emit(i, agent.Report(b.group.Report(carawaybeam.Rank(i))))
		b.emit(i, agent.Tick())
	}
}

func (b *bench) emit(from int, output mapper.Output) {
	for _, message := range output.Messages {
		b.messages++
		b.carry(func() {
			b.emit(int(message.To), b.agents[message.To].Receive(message))
		})
	}
	if output.Granted {
		b.carry(func() { b.group.Order(carawaybeam.Rank(from), output.Grant) })
	}
}

// carry delivers something late, twice or not at all.
func (b *bench) carry(deliver func()) {
	if b.random.Float64() < b.network.Loss {
		return
	}
	copies := 1
	if b.random.Float64() < b.network.Double {
		copies++
	}
	for range copies {
		delay := time.Millisecond + time.Duration(b.random.Int64N(int64(time.Millisecond)))
		if b.random.Float64() < b.network.Late {
			delay += time.Duration(b.random.Int64N(int64(b.network.LateBy)))
		}
		time.AfterFunc(b.apart(delay), func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			deliver()
		})
	}
}

// apart lengthens a delay until nothing else happens at its end, so that each
// run of a trace is the same.
func (b *bench) apart(delay time.Duration) time.Duration {
	for {
		at := time.Now().Add(delay).UnixNano()
		if _, taken := b.taken[at]; !taken && at%int64(time.Microsecond) != 0 {
			b.taken[at] = struct{}{}
			return delay
		}
		delay++
	}
}

func (b *bench) apply(e event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch e.Type {
	case "network":
		b.network = e
	case "propose":
		b.propose(e)
	case "restartAgent":
		// Proved as long as one agent of the group holds its state.
		for i, agent := range b.agents {
			if i != e.Rank && agent.HasRecord() {
				b.start(e.Rank)
				break
			}
		}
	case "restartRank":
		b.group.Restart(carawaybeam.Rank(e.Rank))
	case "stallRank":
		b.group.Stall(carawaybeam.Rank(e.Rank), time.Duration(e.For))
	}
}

func (b *bench) propose(e event) {
	proposal := mapper.Assignment{
		ID:   mapper.ProposalID{Epoch: e.Epoch, Version: e.Version},
		Step: b.group.Figures().Steps + e.Ahead, Digest: mapper.Digest(e.Epoch)<<32 | mapper.Digest(e.Version),
	}
	reached := len(b.agents)
	if e.Reached > 0 {
		reached = e.Reached
	}
	for n := range proposeTries {
		time.AfterFunc(b.apart(time.Duration(n)*proposeRetry), func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			for i := range reached {
				b.carry(func() { b.emit(i, b.agents[i].Propose(proposal)) })
			}
		})
	}
}

// replay runs a trace and returns its figures.
func replay(seed uint64, events []event) map[string]float64 {
	ranks := events[0].Ranks
	b := &bench{
		random: rand.New(rand.NewPCG(seed, 0)),
		agents: make([]*mapper.Mapper, ranks),
		lives:  make([]int, ranks),
		taken:  make(map[int64]struct{}),
		group: stepper.New(stepper.Options{
			Ranks: ranks, StepTime: stepTime, CheckFencing: events[0].CheckFencing,
		}),
	}
	for i := range b.agents {
		b.start(i)
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		time.Sleep(pollOffset)
		for {
			b.poll()
			select {
			case <-time.After(pollInterval):
			case <-stop:
				return
			}
		}
	})
	// The group is up before the trace begins.
	time.Sleep(time.Second + traceOffset)
	held := b.group.Figures().Held
	begin := time.Now()
	for _, e := range events[1:] {
		time.Sleep(time.Until(begin.Add(e.When())))
		b.apply(e)
	}
	b.apply(event{Type: "network"})
	before := b.group.Figures()
	time.Sleep(calm)
	close(stop)
	wait.Wait()
	_ = b.group.Close()
	time.Sleep(time.Minute)
	f := b.group.Figures()
	return map[string]float64{
		"splits": float64(f.Splits), "reverts": float64(f.Reverts), "held": float64(f.Held - held),
		"switches": float64(f.Switches), "stepsInCalm": float64(f.Steps - before.Steps),
		"messages": float64(b.messages), "refused": float64(f.Refused),
	}
}

// disaster returns a random trace with every kind of fault. Two controllers race,
// each of which is killed or paused at any point and wakes with old orders.
func disaster(seed uint64, ranks int) []event {
	random := rand.New(rand.NewPCG(seed, 1))
	events := make([]event, 0, disasterEvents+2)
	events = append(events, event{Type: "start", Ranks: ranks, CheckFencing: seed%2 == 0}, event{
		Type: "network", Loss: 0.2 * random.Float64(), Double: 0.3 * random.Float64(),
		Late: 0.3 * random.Float64(), LateBy: tracer.Duration(2 * time.Second),
	})
	at := time.Duration(0)
	version := carawaybeam.MapVersion(0)
	for range disasterEvents {
		at += time.Duration(random.Int64N(int64(400 * time.Millisecond)))
		e := event{At: tracer.Duration(at), Rank: random.IntN(ranks)}
		switch random.IntN(6) {
		case 0, 1, 2:
			e.Type, e.Rank = "propose", 0
			e.Epoch = 1 + carawaybeam.Epoch(at/(4*time.Second)) + carawaybeam.Epoch(random.IntN(2))
			e.Ahead = carawaybeam.Step(9 + random.IntN(100))
			version++
			e.Version = version
			if random.IntN(3) == 0 {
				e.Reached = 1 + random.IntN(ranks)
			}
		case 3:
			e.Type = "restartAgent"
			e.Rank *= random.IntN(3) / 2
		case 4:
			e.Type = "restartRank"
		case 5:
			e.Type, e.For = "stallRank", tracer.Duration(time.Duration(random.IntN(500))*time.Millisecond)
		}
		events = append(events, e)
	}
	return events
}

func proveDisasters(t *testing.T, ranks, trials int) {
	violations, switches := 0, 0
	for seed := range uint64(trials) {
		var figures map[string]float64
		events := disaster(seed+1, ranks)
		synctest.Test(t, func(*testing.T) { figures = replay(seed+1, events) })
		switches += int(figures["switches"])
		if figures["splits"]+figures["reverts"] > 0 || figures["stepsInCalm"] < 150 {
			violations++
			t.Logf("ranks %d seed %d: %v", ranks, seed+1, figures)
			var text bytes.Buffer
			header := tracer.Header{Kind: kindMapSwitch, Name: "violation", Source: "disaster", Seed: seed + 1}
			if err := tracer.Write(&text, header, events); err != nil {
				t.Fatal(err)
			}
			t.Log(text.String())
		}
	}
	fmt.Printf("ranks %d trials %d switches %d\n", ranks, trials, switches)
	prover.Report(t, prover.OneMap, trials, violations)
}

func TestPromiseOneMapDisasters8(t *testing.T) { proveDisasters(t, 8, 5*prover.Seeds()) }

func TestPromiseOneMapDisasters128(t *testing.T) { proveDisasters(t, 128, max(1, prover.Seeds()/4)) }

// TestPromiseOneMapTraces replays the kept traces against their outcomes.
func TestPromiseOneMapTraces(t *testing.T) {
	is := is.New(t)
	paths, err := filepath.Glob("../traces/promises/oneMap*.jsonl")
	is.NoErr(err)
	violations := 0
	for _, path := range paths {
		trace, err := os.ReadFile(path)
		is.NoErr(err)
		header, events, err := tracer.Read[event](bytes.NewReader(trace), kindMapSwitch)
		is.NoErr(err)
		text, err := os.ReadFile(strings.Replace(path, ".jsonl", ".outcome.json", 1))
		is.NoErr(err)
		outcome, err := tracer.ReadOutcome(bytes.NewReader(text))
		is.NoErr(err)
		var figures map[string]float64
		synctest.Test(t, func(*testing.T) { figures = replay(header.Seed, events) })
		t.Log(header.Name, figures)
		synctest.Test(t, func(*testing.T) { is.Equal(replay(header.Seed, events), figures) })
		for _, miss := range outcome.Check(figures) {
			t.Log(header.Name, miss)
			violations++
		}
	}
	prover.Report(t, prover.OneMap, len(paths), violations)
}
