package agent

import (
	"context"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/replicator"
)

// followConfig makes the executor refuse requests that were routed with an older
// configuration than the agent holds. A newer version that the agent only knows to
// exist does not count, so that an entry whose request is refused as stale can always
// pull the missing changes from this agent.
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

// exchangeConfig exchanges changes of the configuration until the next heartbeat is
// due. It returns false when the stream has ended.
func (a *Agent) exchangeConfig(
	ctx context.Context,
	exchange *replicator.Exchange,
	stream carawaybeam.Stream,
	due *time.Ticker,
	interval <-chan time.Duration,
	changed, suspects <-chan struct{},
) bool {
	for {
		configChanged := a.options.Configurer.Changed()
		for _, frame := range exchange.Outgoing() {
			if stream.Send(frame) != nil {
				return false
			}
		}
		select {
		case <-due.C:
			return true
		case requested := <-interval:
			due.Reset(requested)
		case <-changed:
			return true
		case <-suspects:
			return true
		case <-configChanged:
		case <-exchange.Pending():
		case <-ctx.Done():
			return false
		case <-a.ctx.Done():
			return false
		}
	}
}
