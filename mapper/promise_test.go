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
	// The offsets prevent ranks, agents and trace events from acting at the same
	// time, because their order would then be undefined.
	pollOffset  = 3100 * time.Microsecond
	traceOffset = 1700 * time.Microsecond
	// A controller sends each proposal proposeAttempts times, every
	// proposeInterval.
	proposeAttempts = 4
	proposeInterval = 50 * time.Millisecond
	// randomEvents is the number of faults and proposals of a random trace.
	randomEvents = 60
	// faultFreeTime is how long a trial continues without faults at its end.
	faultFreeTime = 5 * time.Second
)

type (
	// event is one line of a trace of kind mapSwitch.
	event struct {
		At tracer.Duration `json:"at"`
		// Type is start, network, propose, restartAgent, restartRank or
		// stallRank.
		Type string `json:"type"`
		// Ranks and CheckFencing are the options of the group for start.
		Ranks        int  `json:"ranks,omitempty"`
		CheckFencing bool `json:"checkFencing,omitempty"`
		// Loss, Duplicated and Late are the fractions of messages that are
		// lost, duplicated and delayed after a network event. The delay is at
		// most LateBy.
		Loss       float64         `json:"loss,omitempty"`
		Duplicated float64         `json:"double,omitempty"`
		Late       float64         `json:"late,omitempty"`
		LateBy     tracer.Duration `json:"lateBy,omitempty"`
		// Epoch and Version identify a proposal to switch the map Ahead steps
		// after the current one. Reached is how many agents receive it, 0 for
		// all.
		Epoch   carawaybeam.Epoch      `json:"epoch,omitempty"`
		Version carawaybeam.MapVersion `json:"version,omitempty"`
		Ahead   carawaybeam.Step       `json:"ahead,omitempty"`
		Reached int                    `json:"reached,omitempty"`
		// Rank is the rank that restarts or stalls, For how long it stalls.
		Rank int             `json:"rank,omitempty"`
		For  tracer.Duration `json:"for,omitempty"`
	}

	// simulation runs the agents of a group over a faulty network.
	simulation struct {
		mu           sync.Mutex
		random       *rand.Rand
		group        *stepper.Stepper
		agents       []*mapper.Mapper
		incarnations []int
		network      event
		messages     int
		// occupied holds the times, in nanoseconds, at which something arrives.
		occupied map[int64]struct{}
	}
)

func (e event) When() time.Duration { return time.Duration(e.At) }

func (s *simulation) start(rank int) {
	s.incarnations[rank]++
	s.agents[rank] = mapper.New(mapper.Options{
		Ranks: len(s.agents), Rank: carawaybeam.Rank(rank), Lookahead: lookahead,
		Incarnation: carawaybeam.Incarnation(fmt.Sprintf("%d.%d", rank, s.incarnations[rank])),
	})
}

// poll passes the report of each rank to its agent, which then repeats messages
// that may be lost.
func (s *simulation) poll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, agent := range s.agents {
		s.emit(i, agent.Report(s.group.Report(carawaybeam.Rank(i))))
		s.emit(i, agent.Tick())
	}
}

func (s *simulation) emit(from int, output mapper.Output) {
	for _, message := range output.Messages {
		s.messages++
		s.transmit(func() {
			s.emit(int(message.To), s.agents[message.To].Receive(message))
		})
	}
	if output.Granted {
		s.transmit(func() { s.group.SetGrant(carawaybeam.Rank(from), output.Grant) })
	}
}

// transmit delivers a message after a delay, possibly twice or not at all.
func (s *simulation) transmit(deliver func()) {
	if s.random.Float64() < s.network.Loss {
		return
	}
	copies := 1
	if s.random.Float64() < s.network.Duplicated {
		copies++
	}
	for range copies {
		delay := time.Millisecond + time.Duration(s.random.Int64N(int64(time.Millisecond)))
		if s.random.Float64() < s.network.Late {
			delay += time.Duration(s.random.Int64N(int64(s.network.LateBy)))
		}
		time.AfterFunc(s.uniqueDelay(delay), func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			deliver()
		})
	}
}

// uniqueDelay increases a delay until nothing else happens at its end, so that all
// runs of a trace are identical.
func (s *simulation) uniqueDelay(delay time.Duration) time.Duration {
	for {
		at := time.Now().Add(delay).UnixNano()
		if _, taken := s.occupied[at]; !taken && at%int64(time.Microsecond) != 0 {
			s.occupied[at] = struct{}{}
			return delay
		}
		delay++
	}
}

func (s *simulation) apply(e event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch e.Type {
	case "network":
		s.network = e
	case "propose":
		s.propose(e)
	case "restartAgent":
		// The protocol guarantees its result only as long as one agent has the
		// state of the group.
		for i, agent := range s.agents {
			if i != e.Rank && agent.HasRecord() {
				s.start(e.Rank)
				break
			}
		}
	case "restartRank":
		s.group.Restart(carawaybeam.Rank(e.Rank))
	case "stallRank":
		s.group.Stall(carawaybeam.Rank(e.Rank), time.Duration(e.For))
	}
}

func (s *simulation) propose(e event) {
	proposal := mapper.Assignment{
		ID:   mapper.ProposalID{Epoch: e.Epoch, Version: e.Version},
		Step: s.group.Counts().Steps + e.Ahead, Digest: mapper.Digest(e.Epoch)<<32 | mapper.Digest(e.Version),
	}
	reached := len(s.agents)
	if e.Reached > 0 {
		reached = e.Reached
	}
	for n := range proposeAttempts {
		time.AfterFunc(s.uniqueDelay(time.Duration(n)*proposeInterval), func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			for i := range reached {
				s.transmit(func() { s.emit(i, s.agents[i].Propose(proposal)) })
			}
		})
	}
}

// replay runs a trace and returns its results.
func replay(seed uint64, events []event) map[string]float64 {
	ranks := events[0].Ranks
	s := &simulation{
		random:       rand.New(rand.NewPCG(seed, 0)),
		agents:       make([]*mapper.Mapper, ranks),
		incarnations: make([]int, ranks),
		occupied:     make(map[int64]struct{}),
		group: stepper.New(stepper.Options{
			Ranks: ranks, StepTime: stepTime, CheckFencing: events[0].CheckFencing,
		}),
	}
	for i := range s.agents {
		s.start(i)
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		time.Sleep(pollOffset)
		for {
			s.poll()
			select {
			case <-time.After(pollInterval):
			case <-stop:
				return
			}
		}
	})
	// The group starts before the first event of the trace.
	time.Sleep(time.Second + traceOffset)
	held := s.group.Counts().Held
	begin := time.Now()
	for _, e := range events[1:] {
		time.Sleep(time.Until(begin.Add(e.When())))
		s.apply(e)
	}
	s.apply(event{Type: "network"})
	before := s.group.Counts()
	time.Sleep(faultFreeTime)
	close(stop)
	wait.Wait()
	_ = s.group.Close()
	time.Sleep(time.Minute)
	f := s.group.Counts()
	return map[string]float64{
		"splits": float64(f.MapMismatches), "reverts": float64(f.Reverts), "held": float64(f.Held - held),
		"switches": float64(f.Switches), "stepsInCalm": float64(f.Steps - before.Steps),
		"messages": float64(s.messages), "refused": float64(f.Refused),
	}
}

// randomFaults returns a random trace with all kinds of faults. The proposals are
// those of two competing controllers, either of which can crash or pause at any
// point and later continue with outdated proposals.
func randomFaults(seed uint64, ranks int) []event {
	random := rand.New(rand.NewPCG(seed, 1))
	events := make([]event, 0, randomEvents+2)
	events = append(events, event{Type: "start", Ranks: ranks, CheckFencing: seed%2 == 0}, event{
		Type: "network", Loss: 0.2 * random.Float64(), Duplicated: 0.3 * random.Float64(),
		Late: 0.3 * random.Float64(), LateBy: tracer.Duration(2 * time.Second),
	})
	at := time.Duration(0)
	version := carawaybeam.MapVersion(0)
	for range randomEvents {
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

// proveRandomFaults replays random traces. It counts as a violation if a rank uses
// another map than the others or returns to an earlier one, and also if the group
// runs fewer than 150 steps in the time without faults at the end. The trace of a
// violation is logged.
func proveRandomFaults(t *testing.T, ranks, trials int) {
	violations, switches := 0, 0
	for seed := range uint64(trials) {
		var figures map[string]float64
		events := randomFaults(seed+1, ranks)
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

func TestPromiseOneMapDisasters8(t *testing.T) { proveRandomFaults(t, 8, 5*prover.Seeds()) }

func TestPromiseOneMapDisasters128(t *testing.T) { proveRandomFaults(t, 128, max(1, prover.Seeds()/4)) }

// TestPromiseOneMapTraces replays the stored traces, compares the results with the
// stored outcomes, and checks that a second run gives the same results.
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
