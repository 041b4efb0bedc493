package coordinator

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// orderTimeout is how long an answer to an order is waited for. Ranks answer
	// within milliseconds.
	orderTimeout = 30 * time.Millisecond

	// slowOrderTimeout is waited after quickTries, since a process that runs
	// slowly needs longer to send an order and read its answer.
	slowOrderTimeout = 200 * time.Millisecond
	quickTries       = 10

	// retryPause is the wait before an order is sent again.
	retryPause = 5 * time.Millisecond

	// unusedVersion is the version of no map, as those of maps begin at
	// versionsPerFence. An order to disarm it changes nothing but the highest
	// fencing number that a rank has seen.
	unusedVersion = carawaybeam.MapVersion(1)
)

// rankCall puts one order to a rank.
type rankCall func(ctx context.Context, engine carawaybeam.RankEngine) error

// insist sends an order to one rank until the rank answers. It returns nil,
// errFenced, errReformed or the *carawaybeam.RankOrderError of the rank.
func (c *Coordinator) insist(address carawaybeam.Address, epoch uint64, call rankCall) error {
	engine := c.options.Engine(address)
	for try := 0; ; try++ {
		timeout := orderTimeout
		if try >= quickTries {
			timeout = slowOrderTimeout
		}
		if err := c.check(epoch); err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(c.ctx, timeout)
		err := call(ctx, engine)
		cancel()
		var refused *carawaybeam.RankOrderError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &refused) && refused.Fenced:
			return errFenced
		case errors.As(err, &refused):
			return refused
		}
		c.options.Log.Debug().Err(err).Str("group", string(c.options.Group)).Str("rank", string(address)).
			Msg("conductor: order is not answered")
		c.sleep(retryPause)
	}
}

// all sends an order to all ranks side by side until each has answered.
func (c *Coordinator) all(ranks crew, call rankCall) error {
	errs := make([]error, len(ranks))
	var wait sync.WaitGroup
	for i := range ranks {
		wait.Go(func() { errs[i] = c.insist(ranks[i].Address, ranks[i].Epoch, call) })
	}
	wait.Wait()
	return errors.Join(errs...)
}
