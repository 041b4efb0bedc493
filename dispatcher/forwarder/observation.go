package forwarder

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/router/counter"
)

// observation tells the router how one attempt fares.
type observation struct {
	forwarder *Forwarder
	decision  carawaybeam.RouteDecision
	own       *counter.Request
	began     time.Time
	answered  atomic.Bool
}

// answer notes the first part of the answer.
func (o *observation) answer() {
	if o.answered.Swap(true) {
		return
	}
	o.own.MarkFirstToken()
	o.observe(false)
}

// end notes the end of the attempt. One that the client ended says nothing on
// the backend server.
func (o *observation) end(ctx context.Context, r result) {
	if ctx.Err() == nil && r.blame {
		o.observe(true)
	}
}

func (o *observation) observe(failed bool) {
	now := time.Now()
	o.forwarder.options.Router.Observe(now, o.decision, carawaybeam.RouteOutcome{
		FirstToken: now.Sub(o.began),
		Failed:     failed,
	})
}
