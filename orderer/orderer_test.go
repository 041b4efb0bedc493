package orderer_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/orderer"
)

// fakeRank counts the orders that it receives directly.
type fakeRank struct {
	carawaybeam.RankEngine
	direct atomic.Int64
}

func (r *fakeRank) Arm(context.Context, carawaybeam.RankOrder, carawaybeam.ArmedMap) error {
	r.direct.Add(1)
	return nil
}

func (r *fakeRank) Hold(context.Context, carawaybeam.RankOrder, carawaybeam.Step) error {
	r.direct.Add(1)
	return nil
}

func (r *fakeRank) Release(context.Context, carawaybeam.RankOrder, carawaybeam.Step) error {
	r.direct.Add(1)
	return nil
}

// arm sends an order with a timeout.
func arm(t *testing.T, engine carawaybeam.RankEngine) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	return engine.Arm(ctx, carawaybeam.RankOrder{FencingToken: 7, Epoch: 3}, carawaybeam.ArmedMap{Version: 5, Step: 10})
}

// TestLostDatagrams loses the first datagrams of an order, which is sent again with the
// same identifier.
func TestLostDatagrams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var o *orderer.Orderer
		sent := make([]*framer.RankOrder, 0, 3)
		o = orderer.New(orderer.Options{Sender: "entry", Log: zerolog.Nop(), Send: func(
			_ carawaybeam.Address, frame *framer.Frame,
		) error {
			sent = append(sent, frame.GetRankOrder())
			if len(sent) == 3 {
				o.Deliver(&framer.RankOrderResult{Id: frame.GetRankOrder().GetId(), Refused: true, Fenced: true})
			}
			return nil
		}})
		rank := &fakeRank{}
		err := arm(t, o.Engine("10.0.0.1:80", rank))
		var refused *carawaybeam.RankOrderError
		is.True(errors.As(err, &refused) && refused.Fenced)
		is.Equal(len(sent), 3)
		is.Equal(sent[0].GetId(), sent[2].GetId())
		is.Equal(sent[0].GetFencingToken(), uint64(7))
		is.Equal(sent[0].GetAddress(), "10.0.0.1:80")
		is.Equal(rank.direct.Load(), int64(0))
		// A copy of the answer is ignored.
		o.Deliver(&framer.RankOrderResult{Id: sent[0].GetId()})
	})
}

// TestSilentAgent checks that orders go to the rank directly while its agent does not
// answer, and through the agent again later.
func TestSilentAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var o *orderer.Orderer
		silent := true
		o = orderer.New(orderer.Options{Sender: "entry", Log: zerolog.Nop(), Send: func(
			_ carawaybeam.Address, frame *framer.Frame,
		) error {
			if !silent {
				o.Deliver(&framer.RankOrderResult{Id: frame.GetRankOrder().GetId()})
			}
			return nil
		}})
		rank := &fakeRank{}
		engine := o.Engine("10.0.0.1:80", rank)
		for range 2 {
			is.True(errors.Is(arm(t, engine), orderer.ErrNoAnswer))
		}
		is.NoErr(arm(t, engine))
		is.Equal(rank.direct.Load(), int64(1))
		silent = false
		time.Sleep(time.Second)
		is.NoErr(arm(t, engine))
		is.Equal(rank.direct.Load(), int64(1))
	})
}

// TestUnknownAgent checks that an order goes to the rank directly if no agent is known.
func TestUnknownAgent(t *testing.T) {
	is := is.New(t)
	o := orderer.New(orderer.Options{Sender: "entry", Log: zerolog.Nop(), Send: func(
		carawaybeam.Address, *framer.Frame,
	) error {
		return errors.New("no agent")
	}})
	rank := &fakeRank{}
	is.NoErr(arm(t, o.Engine("10.0.0.1:80", rank)))
	is.Equal(rank.direct.Load(), int64(1))
}

// TestHoldNeedsNoAgent checks that the orders to hold a group and to release it do not go
// through the agent.
func TestHoldNeedsNoAgent(t *testing.T) {
	is := is.New(t)
	o := orderer.New(orderer.Options{Sender: "entry", Log: zerolog.Nop(), Send: func(
		carawaybeam.Address, *framer.Frame,
	) error {
		t.Error("an order was sent to the agent")
		return nil
	}})
	rank := &fakeRank{}
	engine := o.Engine("10.0.0.1:80", rank)
	order := carawaybeam.RankOrder{FencingToken: 7, Epoch: 3}
	is.NoErr(engine.Hold(t.Context(), order, 10))
	is.NoErr(engine.Release(t.Context(), order, 10))
	is.Equal(rank.direct.Load(), int64(2))
}
