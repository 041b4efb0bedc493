package coordinator

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// orderTimeout is the timeout of one attempt to send an order. Ranks answer
	// within milliseconds.
	orderTimeout = 30 * time.Millisecond

	// prepareTimeout is the timeout of one attempt to send an expert map. All ranks
	// get the map at the same time over the link of this VM, and the group is not
	// held meanwhile.
	prepareTimeout = 250 * time.Millisecond

	// slowOrderTimeout replaces orderTimeout after quickAttempts attempts, since a
	// process that runs slowly needs longer to send an order and read its answer.
	slowOrderTimeout = 200 * time.Millisecond
	quickAttempts    = 10

	// retryDelay is the delay before an unanswered order is sent again.
	retryDelay = 5 * time.Millisecond

	// unusedVersion is a version that no map has, since the versions of maps begin
	// at versionsPerFence. An order to disarm it only raises the highest fencing
	// token that a rank has seen.
	unusedVersion = carawaybeam.MapVersion(1)
)

// rankCall sends one order to a rank.
type rankCall func(ctx context.Context, engine carawaybeam.RankEngine) error

// sendUntilAnswered sends an order to one rank until the rank answers. Each attempt has
// the timeout. It returns nil, errFenced, errReformed, the *carawaybeam.RankOrderError of
// the rank, or the error of the context after Close.
func (c *Coordinator) sendUntilAnswered(
	address carawaybeam.Address,
	epoch uint64,
	timeout time.Duration,
	call rankCall,
) error {
	engine := c.options.Engine(address)
	for attempt := 0; ; attempt++ {
		if attempt == quickAttempts {
			timeout = max(timeout, slowOrderTimeout)
		}
		if err := c.checkEpoch(epoch); err != nil {
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
			Msg("coordinator: rank did not answer an order, retrying")
		c.sleep(retryDelay)
	}
}

// sendToAll sends an order to all ranks in parallel until each has answered. It
// returns the joined errors of sendUntilAnswered.
func (c *Coordinator) sendToAll(ranks rankStatuses, timeout time.Duration, call rankCall) error {
	errs := make([]error, len(ranks))
	var wait sync.WaitGroup
	for i := range ranks {
		wait.Go(func() { errs[i] = c.sendUntilAnswered(ranks[i].Address, ranks[i].Epoch, timeout, call) })
	}
	wait.Wait()
	return errors.Join(errs...)
}
