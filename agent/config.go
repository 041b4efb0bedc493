package agent

import (
	"context"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/replicator"
)

// followConfig makes the executor refuse choices that rest on an older version
// than the agent holds. A version only heard of does not count, so that an entry
// refused as stale can always pull the missing changes from this agent.
func (a *Agent) followConfig() {
	for {
		changed := a.options.Configurer.Changed()
		a.options.Executor.ObserveConfig(a.options.Configurer.Version())
		select {
		case <-changed:
		case <-a.ctx.Done():
			return
		}
	}
}

// converse exchanges changes of the configuration until the next heartbeat is
// due. It reports false once the stream has ended.
func (a *Agent) converse(
	ctx context.Context,
	exchange *replicator.Exchange,
	stream carawaybeam.Stream,
	due *time.Ticker,
	interval <-chan time.Duration,
	changed, suspects <-chan struct{},
) bool {
	for {
		news := a.options.Configurer.Changed()
		for _, frame := range exchange.Outgoing() {
			if stream.Send(frame) != nil {
				return false
			}
		}
		select {
		case <-due.C:
			return true
		case wanted := <-interval:
			due.Reset(wanted)
		case <-changed:
			return true
		case <-suspects:
			return true
		case <-news:
		case <-exchange.Pending():
		case <-ctx.Done():
			return false
		case <-a.ctx.Done():
			return false
		}
	}
}
