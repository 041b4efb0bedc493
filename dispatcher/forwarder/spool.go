package forwarder

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/reserver"
	"github.com/carawaybeam/carawaybeam/spooler"
)

// leftoverTime is how long a stream that broke off is still written to a slow client, which needs its
// last events in order to resume it.
const leftoverTime = time.Second

type (
	// StreamOptions bounds what is held of streams for clients that read more slowly than
	// backend servers write.
	StreamOptions struct {
		// Buffer is how many bytes of a stream are held. If it is 0, none are, and streams
		// are read at the pace of their clients.
		Buffer carawaybeam.Bytes
		// Memory bounds what all streams hold. If nil, it is not bounded.
		Memory *reserver.Reserver
		// Counts counts the streams that were ended at a bound. It may be nil.
		Counts *UnreadCounts
	}

	// UnreadCounts counts streams that were ended because their clients did not read.
	UnreadCounts struct {
		atOne, atAll atomic.Uint64
	}

	// UnreadState is how many streams were ended because their clients did not read: at the
	// bound of one stream and at that of all.
	UnreadState struct {
		AtOne uint64 `json:"atOne"`
		AtAll uint64 `json:"atAll"`
	}
)

// State returns the counts.
func (c *UnreadCounts) State() UnreadState {
	return UnreadState{AtOne: c.atOne.Load(), AtAll: c.atAll.Load()}
}

func (o *StreamOptions) setDefaults() {
	if o.Memory == nil {
		o.Memory = reserver.New(0, 0)
	}
	if o.Counts == nil {
		o.Counts = new(UnreadCounts)
	}
}

// startSpool begins to hold what the client does not read of a stream, if the settings ask for it.
func (f *Forwarder) startSpool(p *pendingRequest) {
	if f.options.Streams.Buffer <= 0 {
		return
	}
	p.spool = spooler.New(spooler.Options{
		Writer: p.writer, Limit: f.options.Streams.Buffer, Memory: f.options.Streams.Memory,
		// The request ends at the backend server at once, not at its next event.
		Failed: func(error) { p.cancel() },
	})
}

// writeFailure returns the result of an attempt whose answer could not be written to the client.
func (f *Forwarder) writeFailure(p *pendingRequest, err error) result {
	switch {
	case errors.Is(err, spooler.ErrStreamFull):
		f.options.Streams.Counts.atOne.Add(1)
	case errors.Is(err, spooler.ErrAllFull):
		f.options.Streams.Counts.atAll.Add(1)
	default:
		return result{failure: unknownOutcome(carawaybeam.ReasonDeadline, "client has gone: "+err.Error())}
	}
	f.options.Log.Info().Str("request", string(p.request.ID)).Uint64("lastEvent", uint64(p.lastEvent)).
		Int64("unreadBytes", int64(p.spool.Held())).Str("detail", err.Error()).
		Msg("forwarder: stream is ended because its client does not read it")
	return result{failure: unknownOutcome(carawaybeam.ReasonUnread, err.Error()), final: true, unread: true}
}

// finishStream waits until the client has received the rest of a stream, and returns the error of the
// request. A stream that failed is not waited for any longer than leftoverTime, or not at all if the
// client does not read.
func (f *Forwarder) finishStream(p *pendingRequest, failure *carawaybeam.RequestError) *carawaybeam.RequestError {
	spool := p.spool
	p.spool = nil
	switch {
	case spool == nil:
		return failure
	case failure == nil:
		if err := spool.Finish(context.Background()); err != nil {
			return unknownOutcome(carawaybeam.ReasonDeadline, "client has gone: "+err.Error())
		}
		return nil
	case failure.Reason == carawaybeam.ReasonUnread:
		spool.Abort()
		return failure
	}
	ctx, cancel := context.WithTimeout(context.Background(), leftoverTime)
	defer cancel()
	// The stream has failed already.
	_ = spool.Finish(ctx)
	return failure
}

// abandonSpool ends a spool that was not finished because of a panic.
func (p *pendingRequest) abandonSpool() {
	if p.spool != nil {
		p.spool.Abort()
	}
}
