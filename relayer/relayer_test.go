package relayer_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/relayer"
)

const address = carawaybeam.Address("10.0.0.1:80")

var errSilent = errors.New("rank does not answer")

// fakeRank records the steps for which it is armed. It does not answer the first
// silent orders, and answers the others after delay.
type fakeRank struct {
	carawaybeam.RankEngine

	delay time.Duration

	mu     sync.Mutex
	silent int
	err    error
	armed  []carawaybeam.Step
	last   carawaybeam.RankOrder
}

func (r *fakeRank) Arm(ctx context.Context, o carawaybeam.RankOrder, armed carawaybeam.ArmedMap) error {
	r.mu.Lock()
	r.armed = append(r.armed, armed.Step)
	r.last = o
	silent := r.silent > 0
	r.silent--
	r.mu.Unlock()
	if silent {
		<-ctx.Done()
		return errSilent
	}
	time.Sleep(r.delay)
	return r.err
}

func arm(id uint64, step carawaybeam.Step) *framer.RankOrder {
	return &framer.RankOrder{
		Sender: "entry", Id: id, Address: string(address), FencingToken: 7, Epoch: 3, TimeoutMs: 100,
		Body: &framer.RankOrder_Arm{Arm: &framer.ArmOrder{Version: 5, Step: uint64(step)}},
	}
}

// run calls the function with a relayer in a bubble and closes the relayer.
func run(t *testing.T, rank carawaybeam.RankEngine, f func(t *testing.T, r *relayer.Relayer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := relayer.New(relayer.Options{Address: address, Rank: rank, Log: zerolog.Nop()})
		defer func() {
			if err := r.Close(); err != nil {
				t.Error(err)
			}
		}()
		f(t, r)
	})
}

// results collects the answers of a relayer.
type results struct {
	mu  sync.Mutex
	all []*framer.RankOrderResult
}

func (r *results) add(frame *framer.Frame) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, frame.GetRankOrderResult())
}

// count returns the number of answers so far.
func (r *results) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.all)
}

// TestCopiesAreExecutedOnce sends an order again while it is executed, which is answered
// once, and behind a later order, which is answered again, as happens if an answer is
// lost or a datagram is late.
func TestCopiesAreExecutedOnce(t *testing.T) {
	rank := &fakeRank{delay: time.Millisecond}
	run(t, rank, func(t *testing.T, r *relayer.Relayer) {
		is := is.New(t)
		var got results
		r.Take(arm(1, 10), got.add)
		r.Take(arm(1, 10), got.add)
		synctest.Wait()
		r.Take(arm(1, 10), got.add)
		time.Sleep(2 * rank.delay)
		is.Equal(got.count(), 1)
		r.Take(arm(2, 11), got.add)
		time.Sleep(2 * rank.delay)
		r.Take(arm(1, 10), got.add)
		synctest.Wait()
		is.Equal(rank.armed, []carawaybeam.Step{10, 11})
		is.Equal(rank.last, carawaybeam.RankOrder{FencingToken: 7, Epoch: 3})
		is.Equal(len(got.all), 3)
		is.Equal(got.all[2].GetId(), uint64(1))
	})
}

// TestSilentRank checks that an order is repeated while the rank does not answer, but
// not after its sender has stopped waiting.
func TestSilentRank(t *testing.T) {
	tests := map[string]struct {
		silent, answers int
	}{
		"answers the third time": {silent: 2, answers: 1},
		"never answers":          {silent: 1000, answers: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			rank := &fakeRank{silent: test.silent}
			run(t, rank, func(t *testing.T, r *relayer.Relayer) {
				is := is.New(t)
				var got results
				r.Take(arm(1, 10), got.add)
				// The second order waits until its sender has stopped waiting too.
				if test.answers == 0 {
					r.Take(arm(2, 11), got.add)
				}
				time.Sleep(time.Second)
				synctest.Wait()
				is.Equal(len(got.all), test.answers)
				is.True(!slices.Contains(rank.armed, 11))
			})
		})
	}
}

// TestRefusedOrder checks that the refusal of the rank is passed on.
func TestRefusedOrder(t *testing.T) {
	rank := &fakeRank{err: &carawaybeam.RankOrderError{Fenced: true, Detail: "outdated"}}
	run(t, rank, func(t *testing.T, r *relayer.Relayer) {
		is := is.New(t)
		var got results
		r.Take(arm(1, 10), got.add)
		synctest.Wait()
		is.Equal(len(got.all), 1)
		is.True(got.all[0].GetRefused())
		is.True(got.all[0].GetFenced())
		is.Equal(got.all[0].GetDetail(), "outdated")
	})
}

// TestOrderForAnotherRank checks that an order is not executed by the rank that has got
// the address of an agent.
func TestOrderForAnotherRank(t *testing.T) {
	rank := &fakeRank{}
	run(t, rank, func(t *testing.T, r *relayer.Relayer) {
		var got results
		order := arm(1, 10)
		order.Address = "10.0.0.2:80"
		r.Take(order, got.add)
		synctest.Wait()
		if len(rank.armed) > 0 || len(got.all) > 0 {
			t.Error("order for another rank was executed or answered")
		}
	})
}

// TestMapEncoding decodes encoded maps, and checks that malformed ones are refused.
func TestMapEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(1, 6).Draw(t, "ranks")
		held := rapid.SliceOfN(rapid.SliceOfN(rapid.Int32Range(0, 500), 1, 4), ranks, ranks)
		m := carawaybeam.ExpertMap{Version: 9}
		for range rapid.IntRange(1, 4).Draw(t, "layers") {
			layer := make([][]carawaybeam.Expert, 0, ranks)
			for _, experts := range held.Draw(t, "held") {
				row := make([]carawaybeam.Expert, 0, len(experts))
				for _, e := range experts {
					row = append(row, carawaybeam.Expert(e))
				}
				layer = append(layer, row)
			}
			m.Layers = append(m.Layers, layer)
		}
		is := is.New(t)
		got, err := relayer.DecodeMap(relayer.EncodeMap(m))
		is.NoErr(err)
		is.Equal(got, m)
		for _, spoil := range []func(*framer.PrepareOrder){
			func(p *framer.PrepareOrder) { p.Experts = append(p.Experts, 1) },
			func(p *framer.PrepareOrder) { p.Experts = p.Experts[1:] },
			func(p *framer.PrepareOrder) { p.Counts = p.Counts[1:] },
			func(p *framer.PrepareOrder) { p.Counts[0] = 1 << 31 },
			func(p *framer.PrepareOrder) { p.Ranks = 0 },
		} {
			p := relayer.EncodeMap(m)
			spoil(p)
			_, err := relayer.DecodeMap(p)
			is.True(err != nil)
		}
	})
}
