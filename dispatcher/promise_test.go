package dispatcher_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/fakes/assembler"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
	"github.com/carawaybeam/carawaybeam/prover"
	"github.com/carawaybeam/carawaybeam/tracer"
)

const (
	traceDirectory = "../traces/promises"

	// testAgents and testEntries are the numbers of processes in the contract
	// desk's installation.
	testAgents  = 3
	testEntries = 2
)

// script generates the events of one trace from a seed.
type script struct {
	random *rand.Rand
	events []assembler.Event
}

func newScript(seed uint64) *script { return &script{random: rand.New(rand.NewPCG(seed, 0))} }

func (s *script) add(at time.Duration, event assembler.Event) {
	event.At = tracer.Duration(at)
	s.events = append(s.events, event)
}

// sorted returns the events in chronological order.
func (s *script) sorted() []assembler.Event {
	slices.SortStableFunc(s.events, func(a, b assembler.Event) int { return cmp.Compare(a.At, b.At) })
	return s.events
}

// within returns a random duration below span, in whole milliseconds.
func (s *script) within(span time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(span/time.Millisecond))) * time.Millisecond
}

func (s *script) entry() int { return s.random.IntN(testEntries) }

func (s *script) slot() int { return s.random.IntN(testAgents) }

// frameFault adds a random fault that loses, delays, copies or misroutes frames, or
// cuts streams.
func (s *script) frameFault(span time.Duration) {
	actions := []assembler.Action{
		assembler.ActionLoseFrames, assembler.ActionDelayFrames, assembler.ActionCopyFrames,
		assembler.ActionCrossFrames, assembler.ActionCutStreams,
	}
	frames := []string{"", "dispatch", "resolve", "refused", "chunk", "tail", "head", "acknowledge", "heartbeat"}
	s.add(s.within(span), assembler.Event{
		Do:    actions[s.random.IntN(len(actions))],
		Frame: frames[s.random.IntN(len(frames))],
		Share: 0.05 + 0.9*s.random.Float64(),
		For:   tracer.Duration(100*time.Millisecond + s.within(4*time.Second)),
		Delay: tracer.Duration(s.within(15 * time.Second)),
	})
}

// processFault adds a random fault of one agent, its links or its backend server.
func (s *script) processFault(span time.Duration) {
	at, slot := s.within(span), s.slot()
	switch s.random.IntN(5) {
	case 0:
		s.add(at, assembler.Event{Do: assembler.ActionCutLinks, Slot: slot})
	case 1:
		s.add(at, assembler.Event{Do: assembler.ActionSilenceLinks, Slot: slot})
	case 2:
		pause := tracer.Duration(100*time.Millisecond + s.within(12*time.Second))
		s.add(at, assembler.Event{Do: assembler.ActionPauseAgent, Slot: slot, For: pause})
	case 3:
		s.add(at, assembler.Event{Do: assembler.ActionKillAgent, Slot: slot})
		s.add(at+s.within(3*time.Second), assembler.Event{Do: assembler.ActionStartAgent, Slot: slot})
	case 4:
		s.add(at, assembler.Event{Do: assembler.ActionCrashBackend, Slot: slot})
		s.add(at+s.within(3*time.Second), assembler.Event{Do: assembler.ActionRecoverBackend, Slot: slot})
	}
}

// storeFault adds a random fault of the platform's store.
func (s *script) storeFault(span time.Duration) {
	modes := []storer.FaultMode{storer.FaultDown, storer.FaultLostAnswer, storer.FaultSlow}
	s.add(s.within(span), assembler.Event{
		Do:    assembler.ActionStoreFault,
		Mode:  modes[s.random.IntN(len(modes))],
		Delay: tracer.Duration(s.within(2 * time.Second)),
		For:   tracer.Duration(100*time.Millisecond + s.within(4*time.Second)),
	})
}

// replay replays events in a synctest bubble of its own.
func replay(t *testing.T, name string, seed uint64, events []assembler.Event) assembler.Evaluation {
	t.Helper()
	var verdict assembler.Evaluation
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			a := assembler.New(assembler.Options{
				Entries: testEntries, Agents: testAgents, Concurrency: 64,
				PartTime: 100 * time.Millisecond, Restart: 2 * time.Second,
			})
			sendings, errs := assembler.Replay(a, seed, events)
			a.Network.SetInjector(nil)
			verdict = assembler.Evaluate(a, sendings)
			for _, s := range sendings {
				if s.Failure != nil && testing.Verbose() {
					t.Log(
						s.Event.When(),
						s.Event.Entry,
						s.Event.Class,
						s.Event.Body,
						s.EntryKilled,
						s.End.Sub(s.Start),
						s.Failure,
					)
				}
			}
			for _, err := range append(errs, a.Close()) {
				if err != nil {
					t.Error(err)
				}
			}
		})
	})
	return verdict
}

// promiseTest tests one promise over all seeds.
type promiseTest struct {
	promise prover.Promise
	// generate adds the events of a seed to its script, and violations counts the
	// violations of the promise.
	generate   func(s *script)
	violations func(v assembler.Evaluation) int
}

func (p promiseTest) run(t *testing.T) {
	t.Helper()
	violations, requests, completed := 0, 0, 0
	for seed := range prover.Seeds() {
		s := newScript(uint64(seed + 1))
		p.generate(s)
		verdict := replay(t, fmt.Sprintf("seed%d", seed+1), uint64(seed+1), s.sorted())
		requests += verdict.Requests
		completed += verdict.Completed
		if n := p.violations(verdict); n > 0 {
			violations += n
			saveTrace(t, p.promise, uint64(seed+1), s.events)
		}
	}
	fmt.Printf("completed %s requests %d completed %d\n", p.promise, requests, completed)
	prover.Report(t, p.promise, prover.Seeds(), violations)
}

// saveTrace writes the trace of a run that violated the promise, so that it can be
// replayed.
func saveTrace(t *testing.T, promise prover.Promise, seed uint64, events []assembler.Event) {
	t.Helper()
	path := filepath.Join(traceDirectory, fmt.Sprintf("violated-%s-%d.jsonl", promise, seed))
	file, err := os.Create(path)
	if err != nil {
		t.Error(err)
		return
	}
	defer func() { _ = file.Close() }()
	header := tracer.Header{
		Kind: assembler.TraceKind, Name: string(promise), Source: "seeded run of " + t.Name(), Seed: seed,
	}
	if err := tracer.Write(file, header, events); err != nil {
		t.Error(err)
	}
	t.Log("wrote the trace of the run to", path)
}

// TestPromiseTraces replays the saved traces and compares the results with their
// recorded outcomes.
func TestPromiseTraces(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join(traceDirectory, "*.jsonl"))
	if err != nil || len(paths) == 0 {
		t.Fatal("no traces found", err)
	}
	trials, violations := make(map[prover.Promise]int), make(map[prover.Promise]int)
	for _, path := range paths {
		header, verdict, ok := replayFile(t, path)
		if !ok {
			continue
		}
		promise := prover.Promise(header.Name)
		trials[promise]++
		for _, miss := range outcomeOf(t, path).Check(verdict.Figures()) {
			violations[promise]++
			t.Errorf("%s: %s", path, miss)
		}
	}
	for promise, n := range trials {
		prover.Report(t, promise, n, violations[promise])
	}
}

func replayFile(t *testing.T, path string) (tracer.Header, assembler.Evaluation, bool) {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	header, events, err := tracer.Read[assembler.Event](file, assembler.TraceKind)
	if header.Kind != "" && header.Kind != assembler.TraceKind {
		return header, assembler.Evaluation{}, false
	}
	if err != nil {
		t.Fatal(path, err)
	}
	return header, replay(t, filepath.Base(path), header.Seed, events), true
}

func outcomeOf(t *testing.T, path string) tracer.Outcome {
	t.Helper()
	file, err := os.Open(path[:len(path)-len(".jsonl")] + ".outcome.json")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	outcome, err := tracer.ReadOutcome(file)
	if err != nil {
		t.Fatal(err)
	}
	return outcome
}

func TestPromiseNotRunMeansNotRun(t *testing.T) {
	promiseTest{
		promise: prover.NotRun,
		generate: func(s *script) {
			const span = 15 * time.Second
			for i := range 40 {
				s.add(s.within(span), assembler.Event{
					Do: assembler.ActionRequest, Entry: s.entry(),
					Class: assembler.ClassBookings, Body: fmt.Sprintf("n%d", i),
				})
			}
			for range 4 {
				s.frameFault(span)
				s.processFault(span)
			}
			s.add(s.within(span), assembler.Event{
				Do: assembler.ActionDelayFrames, Frame: "dispatch", Share: 0.5,
				For: tracer.Duration(3 * time.Second), Delay: tracer.Duration(12 * time.Second),
			})
			s.add(s.within(span), assembler.Event{Do: assembler.ActionCrashBackend, Slot: 0})
			s.add(span, assembler.Event{Do: assembler.ActionRecoverBackend, Slot: 0})
			if s.random.IntN(2) == 0 {
				s.add(s.within(span), assembler.Event{Do: assembler.ActionKillEntry, Entry: 1})
			}
		},
		violations: func(v assembler.Evaluation) int { return v.FalseNotRuns + v.DoubleRuns },
	}.run(t)
}

func TestPromiseAtMostOnce(t *testing.T) {
	promiseTest{
		promise: prover.AtMostOnce,
		generate: func(s *script) {
			const span = 15 * time.Second
			for i := range 25 {
				s.keyed(span, i)
			}
			for range 3 {
				s.frameFault(span)
				s.processFault(span)
				s.storeFault(span)
			}
			s.add(s.within(span), assembler.Event{
				Do: assembler.ActionStoreFault, Mode: storer.FaultLostAnswer, For: tracer.Duration(span / 2),
			})
			if s.random.IntN(3) == 0 {
				s.add(s.within(span), assembler.Event{Do: assembler.ActionDrainAgent, Slot: 0})
			}
			if s.random.IntN(3) == 0 {
				s.add(s.within(span), assembler.Event{Do: assembler.ActionRemoveVM, Slot: 1})
			}
			if s.random.IntN(2) == 0 {
				s.add(s.within(span), assembler.Event{Do: assembler.ActionKillEntry, Entry: 1})
			}
		},
		violations: func(v assembler.Evaluation) int { return v.DoubleRuns + v.FalseNotRuns + v.WrongAnswers },
	}.run(t)
}

// keyed adds one booking that is sent up to four times with the same key or
// ticket, at the same time or later, through random entries, and sometimes with
// another body.
func (s *script) keyed(span time.Duration, i int) {
	event := assembler.Event{
		Do: assembler.ActionRequest, Class: assembler.ClassBookings, Body: fmt.Sprintf("k%d", i),
	}
	if s.random.IntN(4) == 0 {
		event.Ticket = fmt.Sprintf("t%d", i)
	} else {
		event.Key = fmt.Sprintf("k%d", i)
	}
	at := s.within(span)
	for n := range 1 + s.random.IntN(4) {
		event.Entry = s.entry()
		if n > 0 && s.random.IntN(8) == 0 {
			event.Body += "x"
		}
		s.add(at, event)
		if s.random.IntN(2) == 0 {
			at += s.within(20 * time.Second)
		}
	}
	// The caller sends the booking once more after all faults have ended.
	event.Entry = 0
	s.add(at+span+30*time.Second, event)
}

func TestPromiseWholeAnswer(t *testing.T) {
	classes := []carawaybeam.ClassID{assembler.ClassBookings, assembler.ClassLookups, assembler.ClassDrafting}
	promiseTest{
		promise: prover.WholeAnswer,
		generate: func(s *script) {
			const span = 15 * time.Second
			for i := range 40 {
				s.add(s.within(span), assembler.Event{
					Do: assembler.ActionRequest, Entry: s.entry(),
					Class: classes[i%len(classes)], Body: fmt.Sprintf("w%d", i),
				})
			}
			for range 5 {
				s.frameFault(span)
			}
			s.add(s.within(span/2), assembler.Event{
				Do: assembler.ActionCrossFrames, Frame: "chunk", Share: 0.7, For: tracer.Duration(span / 2),
			})
			for range 3 {
				s.processFault(span)
			}
		},
		violations: func(v assembler.Evaluation) int { return v.WrongAnswers },
	}.run(t)
}

func TestPromisePlannedStop(t *testing.T) {
	classes := []carawaybeam.ClassID{assembler.ClassBookings, assembler.ClassLookups, assembler.ClassDrafting}
	promiseTest{
		promise: prover.PlannedStop,
		generate: func(s *script) {
			const span = 10 * time.Second
			stop := s.within(span)
			entryStop := stop
			long := s.random.IntN(2) == 0
			if s.random.IntN(2) == 0 {
				entryStop = s.within(span)
			}
			for i := range 45 {
				event := assembler.Event{
					Do: assembler.ActionRequest, Class: classes[i%len(classes)], Body: fmt.Sprintf("s%d", i),
				}
				if long && s.random.IntN(3) == 0 {
					event.Body = fmt.Sprintf("%s%d", assembler.LongPrefix, i)
				}
				if event.Class == assembler.ClassBookings && s.random.IntN(2) == 0 {
					event.Key = event.Body
				}
				at := s.within(span)
				if at < entryStop {
					event.Entry = s.entry()
				}
				s.add(at, event)
			}
			for i := range 12 {
				s.add(max(0, stop-s.within(700*time.Millisecond)), assembler.Event{
					Do: assembler.ActionRequest, Class: assembler.ClassBookings, Body: fmt.Sprintf("f%d", i),
				})
			}
			s.add(stop, assembler.Event{Do: assembler.ActionDrainAgent, Slot: 0})
			s.add(entryStop, assembler.Event{Do: assembler.ActionDrainEntry, Entry: 1})
			s.stopFault(stop)
		},
		violations: func(v assembler.Evaluation) int { return v.Unanswered + v.WrongAnswers + v.DoubleRuns },
	}.run(t)
}

// stopFault adds random faults while an agent stops.
func (s *script) stopFault(stop time.Duration) {
	after := stop + s.within(700*time.Millisecond)
	if s.random.IntN(4) == 0 {
		s.add(stop, assembler.Event{
			Do: assembler.ActionStoreFault, Mode: storer.FaultDown, For: tracer.Duration(5 * time.Second),
		})
	}
	switch s.random.IntN(4) {
	case 0:
		s.add(after, assembler.Event{Do: assembler.ActionCutLinks, Slot: 0})
	case 1:
		s.add(stop, assembler.Event{
			Do: assembler.ActionLoseFrames, Frame: "tail", Share: 0.5, For: tracer.Duration(2 * time.Second),
		})
	default:
		s.add(after, assembler.Event{Do: assembler.ActionSilenceLinks, Slot: 0})
	}
}

func TestPromisePoisonRequest(t *testing.T) {
	classes := []carawaybeam.ClassID{assembler.ClassLookups, assembler.ClassDrafting}
	promiseTest{
		promise: prover.PoisonRequest,
		generate: func(s *script) {
			const span = 12 * time.Second
			s.add(0, assembler.Event{Do: assembler.ActionPoison, Body: "poison"})
			for i := range 40 {
				event := assembler.Event{
					Do: assembler.ActionRequest, Entry: s.entry(),
					Class: classes[i%len(classes)], Body: fmt.Sprintf("p%d", i),
				}
				if i%4 == 3 {
					event.Body = fmt.Sprintf("%s%d", assembler.LongPrefix, i)
				}
				s.add(s.within(span), event)
			}
			class := []carawaybeam.ClassID{assembler.ClassBookings, assembler.ClassDrafting}[s.random.IntN(2)]
			at := time.Second
			for range 6 {
				s.add(at, assembler.Event{
					Do: assembler.ActionRequest, Entry: s.entry(), Class: class, Body: "poison",
				})
				at += 100*time.Millisecond + s.within(2*time.Second)
			}
		},
		violations: func(v assembler.Evaluation) int {
			// The first two crashes are allowed, because a request is quarantined only
			// after them. The callers of poison bookings get errors for them.
			return max(0, v.Crashes-2) + v.UnansweredIdempotent + v.SlowQuarantines
		},
	}.run(t)
}

// TestPromisePoisonRequestsTogether guards against a poison request being sent on because others
// are sent at the same time, always or in turn, beside requests that are answered.
func TestPromisePoisonRequestsTogether(t *testing.T) {
	promiseTest{
		promise: prover.PoisonRequest,
		generate: func(s *script) {
			const span = 60 * time.Second
			poisons := 2 + s.random.IntN(5)
			for i := range poisons {
				s.add(0, assembler.Event{Do: assembler.ActionPoison, Body: fmt.Sprintf("poison%d", i)})
			}
			for at := time.Second; at < span; at += 200*time.Millisecond + s.within(2*time.Second) {
				for i := range poisons {
					if s.random.IntN(3) > 0 {
						s.add(at+s.within(20*time.Millisecond), assembler.Event{
							Do: assembler.ActionRequest, Entry: s.entry(),
							Class: assembler.ClassLookups, Body: fmt.Sprintf("poison%d", i),
						})
					}
				}
				for i := range 4 {
					s.add(at+s.within(time.Second), assembler.Event{
						Do: assembler.ActionRequest, Entry: s.entry(),
						Class: assembler.ClassLookups, Body: fmt.Sprint("popular", i),
					})
				}
			}
		},
		violations: func(v assembler.Evaluation) int { return max(0, v.MostLateCrashes-3) },
	}.run(t)
}

// TestPromisePoisonRequestPopular guards against the quarantine of a popular request that
// backend servers answer all the time, after it was running in crashes that it did not
// cause. Callers send the same request through all entries while backend servers crash.
func TestPromisePoisonRequestPopular(t *testing.T) {
	promiseTest{
		promise: prover.PoisonRequest,
		generate: func(s *script) {
			const span = 16 * time.Second
			for at := time.Duration(0); at < span; at += 50*time.Millisecond + s.within(100*time.Millisecond) {
				s.add(at, assembler.Event{
					Do: assembler.ActionRequest, Entry: s.entry(), Class: assembler.ClassLookups, Body: "popular",
				})
			}
			for n := range 4 {
				at, slot := time.Duration(3*n)*time.Second+s.within(2*time.Second), s.slot()
				s.add(at, assembler.Event{Do: assembler.ActionCrashBackend, Slot: slot})
				s.add(at+time.Second, assembler.Event{Do: assembler.ActionRecoverBackend, Slot: slot})
			}
		},
		violations: func(v assembler.Evaluation) int { return v.Quarantined },
	}.run(t)
}
