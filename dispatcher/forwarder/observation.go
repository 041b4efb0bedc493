package forwarder

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/detector"
	"github.com/carawaybeam/carawaybeam/finisher"
	"github.com/carawaybeam/carawaybeam/router/counter"
)

// observation measures one attempt for the router.
type observation struct {
	forwarder *Forwarder
	decision  carawaybeam.RouteDecision
	own       *counter.Request
	run       *detector.Run
	timed     *finisher.Run
	began     time.Time
	answered  atomic.Bool
}

// markFirstPart records the first part of the answer. Later calls do nothing.
func (o *observation) markFirstPart() {
	if o.answered.Swap(true) {
		return
	}
	o.own.MarkFirstToken()
	o.run.MarkStarted()
	o.timed.MarkFirstPart()
	o.observe(false)
}

// end records the end of the attempt. It reports a failure to the router only if
// the backend server is at fault and the attempt was not cancelled.
func (o *observation) end(ctx context.Context, r result) {
	if ctx.Err() == nil && r.backendFault {
		o.observe(true)
	}
}

// observe reports the outcome of the attempt to the router.
func (o *observation) observe(failed bool) {
	now := time.Now()
	o.forwarder.options.Router.Observe(now, o.decision, carawaybeam.RouteOutcome{
		FirstToken: now.Sub(o.began),
		Failed:     failed,
	})
}
