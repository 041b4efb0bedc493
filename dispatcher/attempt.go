package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/executor"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/quarantiner"
)

const (
	// streamTimeout is the longest time between two frames from an agent on a
	// stream. Agents send keep-alives far more often.
	streamTimeout = 3 * time.Second

	// resolveTimeout is how long the dispatcher tries to resolve an attempt over
	// new links, without progress, before it reports an unknown outcome.
	resolveTimeout = 8 * time.Second

	// idempotentResolveTimeout is the resolve timeout of an idempotent request,
	// which can be retried on another agent instead. It is longer than the
	// replacement of a failed link takes.
	idempotentResolveTimeout = time.Second

	// resolveInterval is the time between two resolve frames.
	resolveInterval = 200 * time.Millisecond
)

type (
	// answerState is the state of an answer across the attempts of its request.
	answerState struct {
		writer   AnswerWriter
		headSent bool
		// begun is when headSent was set.
		begun  time.Time
		status int
		// contentType is the type of the answer.
		contentType string
		// written is the number of bytes passed to the writer.
		written    uint64
		callerGone bool
	}

	// attemptRun runs one attempt on one agent.
	attemptRun struct {
		dispatcher *Dispatcher
		request    Request
		id         carawaybeam.AttemptID
		target     target
		answer     *answerState
		// resume is the number of answer bytes that earlier attempts delivered.
		resume uint64

		// released is set when the agent has released the idempotency key, so
		// that the key can be bound to another agent.
		released bool
		// unreachable is set when the agent could not be reached to resolve the
		// attempt.
		unreachable bool

		// sent is set once the attempt may have been dispatched.
		sent bool
		// offset is the number of answer bytes received by this attempt, and
		// checksum their checksum.
		offset   uint64
		checksum xxhash.Digest
	}

	// streamResult is what one frame, or one whole stream, revealed about an
	// attempt.
	streamResult struct {
		// final is set once the outcome of the attempt is known.
		final bool
		// broken is set when the rest of the stream is useless.
		broken bool
		// failure is the error of a final result, or nil if the answer is
		// complete.
		failure *carawaybeam.RequestError
	}
)

// run dispatches the attempt. If the stream fails before the outcome is known,
// it resolves the attempt over new streams until a timeout without progress.
func (a *attemptRun) run(ctx context.Context) *carawaybeam.RequestError {
	a.checksum.Reset()
	r := a.exchange(ctx, a.dispatchFrame())
	if r.final {
		return r.failure
	}
	if !a.sent {
		return carawaybeam.NotRun(carawaybeam.ReasonNoBackend, "agent could not be reached", defaultRetryAfter)
	}
	timeout := resolveTimeout
	if a.request.Class.Idempotent {
		timeout = idempotentResolveTimeout
	}
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		before := a.offset
		r = a.exchange(ctx, a.resolveFrame())
		if r.final {
			return r.failure
		}
		if a.offset > before {
			deadline = time.Now().Add(timeout)
		}
		select {
		case <-time.After(resolveInterval):
		case <-ctx.Done():
		}
	}
	return a.unresolved(ctx)
}

// unresolved returns the error of an attempt whose outcome could not be
// determined.
func (a *attemptRun) unresolved(ctx context.Context) *carawaybeam.RequestError {
	failure := &carawaybeam.RequestError{
		Outcome: carawaybeam.OutcomeUnknown,
		Reason:  carawaybeam.ReasonBackendFailed,
		Detail:  "agent could not be reached to learn what became of the request",
	}
	a.unreachable = ctx.Err() == nil
	if !a.unreachable {
		failure.Reason = carawaybeam.ReasonDeadline
		failure.Detail = "request was not answered in time"
	}
	return failure
}

func (a *attemptRun) dispatchFrame() *framer.Frame {
	r := a.request
	return &framer.Frame{
		ConfigVersion: uint64(r.ConfigVersion),
		Body: &framer.Frame_Dispatch{Dispatch: &framer.Dispatch{
			Attempt:      string(a.id),
			Incarnation:  string(a.target.incarnation),
			Class:        string(r.Class.ID),
			Organisation: string(r.Organisation),
			Method:       r.Method,
			Path:         r.Path,
			ContentType:  r.ContentType,
			Body:         r.Body,
			Idempotent:   r.Class.Idempotent,
			Resume:       a.resume,
			DeadlineMs:   uint64(max(0, time.Until(r.Deadline).Milliseconds())),
			Key:          string(a.target.key),
			Fingerprint:  []byte(a.request.fingerprint()),
			Ticket:       a.target.ticket,
		}},
	}
}

func (a *attemptRun) resolveFrame() *framer.Frame {
	return &framer.Frame{
		ConfigVersion: uint64(a.dispatcher.options.ConfigObserver.Version()),
		Body: &framer.Frame_Resolve{Resolve: &framer.Resolve{
			Attempt:     string(a.id),
			Offset:      a.offset,
			Incarnation: string(a.target.incarnation),
			Key:         a.key(),
			Fingerprint: []byte(a.request.fingerprint()),
		}},
	}
}

// key returns the key under which the agent runs the request at most once. It
// is derived from the ticket, if there is one.
func (a *attemptRun) key() string {
	if a.target.ticket != 0 {
		return executor.TicketKey(string(a.request.Organisation), string(a.request.Class.ID), a.target.ticket)
	}
	return string(a.target.key)
}

// exchange opens a stream, sends the first frame and handles the frames of the
// agent until the outcome is known or the stream is of no further use.
func (a *attemptRun) exchange(ctx context.Context, first *framer.Frame) streamResult {
	stream, err := a.dispatcher.options.Members.Open(ctx, a.target.backend)
	if err != nil {
		return streamResult{}
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { a.cancel(stream) })
	defer stop()
	if failure := a.checkEvacuation(first); failure != nil {
		return streamResult{final: true, failure: failure}
	}
	a.sent = true
	if stream.Send(first) != nil {
		return streamResult{}
	}
	for {
		frame, err := stream.Receive(streamTimeout)
		if err != nil {
			var timeout *carawaybeam.ReceiveTimeoutError
			if errors.As(err, &timeout) && ctx.Err() == nil {
				a.dispatcher.options.Members.ReportUnresponsive(stream)
			}
			return streamResult{}
		}
		a.dispatcher.options.ConfigObserver.Observe(carawaybeam.ConfigVersion(frame.GetConfigVersion()))
		r := a.handle(frame)
		if r.final {
			a.acknowledge(stream)
		}
		if r.final || r.broken {
			return r
		}
	}
}

// acknowledge tells the agent that the outcome of the attempt was received.
func (a *attemptRun) acknowledge(stream carawaybeam.Stream) {
	acknowledge := &framer.Acknowledge{Attempt: string(a.id)}
	_ = stream.Send(&framer.Frame{Body: &framer.Frame_Acknowledge{Acknowledge: acknowledge}})
}

// cancel tells the agent to cancel the attempt and closes the stream.
func (a *attemptRun) cancel(stream carawaybeam.Stream) {
	cancel := &framer.Cancel{Attempt: string(a.id)}
	_ = stream.Send(&framer.Frame{Body: &framer.Frame_Cancel{Cancel: cancel}})
	_ = stream.Close()
}

// handle handles one frame from the agent. Frames of other types are ignored.
func (a *attemptRun) handle(frame *framer.Frame) streamResult {
	switch body := frame.GetBody().(type) {
	case *framer.Frame_Head:
		return a.handleHead(body.Head)
	case *framer.Frame_Chunk:
		return a.handleChunk(body.Chunk)
	case *framer.Frame_Tail:
		return a.handleTail(body.Tail)
	case *framer.Frame_Refused:
		return a.handleRefused(body.Refused)
	case *framer.Frame_Failed:
		return a.handleFailed(body.Failed)
	}
	return streamResult{}
}

// handleHead begins the answer. If an earlier attempt has begun it, this attempt
// must continue it with the same status and type, not replace it with another one.
func (a *attemptRun) handleHead(head *framer.Head) streamResult {
	if !a.matches(head.GetAttempt()) {
		return streamResult{}
	}
	status := int(head.GetStatus())
	if a.answer.headSent {
		if status == a.answer.status && head.GetContentType() == a.answer.contentType {
			return streamResult{}
		}
		return streamResult{final: true, failure: &carawaybeam.RequestError{
			Outcome: carawaybeam.OutcomeUnknown,
			Reason:  carawaybeam.ReasonBackendFailed,
			Detail:  "backend server did not go on with the answer",
		}}
	}
	a.answer.headSent, a.answer.begun = true, time.Now()
	a.answer.status, a.answer.contentType = status, head.GetContentType()
	return a.writeResult(a.answer.writer.Head(status, head.GetContentType()))
}

// matches reports whether a frame belongs to this attempt. The caller drops
// other frames, which are counted here.
func (a *attemptRun) matches(id string) bool {
	if id == string(a.id) {
		return true
	}
	a.dispatcher.counts.crossed.Add(1)
	return false
}

// handleChunk writes the next chunk of the answer. It drops a chunk that was
// already received. A gap breaks the stream, and the answer is continued over
// another one.
func (a *attemptRun) handleChunk(chunk *framer.Chunk) streamResult {
	switch {
	case !a.matches(chunk.GetAttempt()):
		return streamResult{}
	case chunk.GetOffset() < a.offset:
		a.dispatcher.counts.repeated.Add(1)
		return streamResult{}
	case chunk.GetOffset() > a.offset || !a.answer.headSent:
		a.dispatcher.counts.gaps.Add(1)
		return streamResult{broken: true}
	}
	data := chunk.GetData()
	a.offset += uint64(len(data))
	a.answer.written += uint64(len(data))
	_, _ = a.checksum.Write(data)
	return a.writeResult(a.answer.writer.Chunk(data))
}

// writeResult returns the result of a write to the caller. A failed write ends
// the attempt.
func (a *attemptRun) writeResult(err error) streamResult {
	if err == nil {
		return streamResult{}
	}
	a.answer.callerGone = true
	return streamResult{final: true, failure: &carawaybeam.RequestError{
		Outcome: carawaybeam.OutcomeUnknown,
		Reason:  carawaybeam.ReasonDeadline,
		Detail:  "caller has gone: " + err.Error(),
	}}
}

// handleTail completes the answer if its length and checksum match.
func (a *attemptRun) handleTail(tail *framer.Tail) streamResult {
	if !a.matches(tail.GetAttempt()) {
		return streamResult{}
	}
	if tail.GetTotal() > a.offset || !a.answer.headSent {
		a.dispatcher.counts.gaps.Add(1)
		return streamResult{broken: true}
	}
	if tail.GetTotal() != a.offset || tail.GetChecksum() != a.checksum.Sum64() {
		return a.corrupt("answer differs from its checksum")
	}
	return streamResult{final: true}
}

func (a *attemptRun) handleRefused(refused *framer.Refused) streamResult {
	if !a.matches(refused.GetAttempt()) {
		return streamResult{}
	}
	a.released = refused.GetKeyReleased()
	retryAfter := time.Duration(refused.GetRetryAfterMs()) * time.Millisecond
	return streamResult{
		final:   true,
		failure: carawaybeam.NotRun(carawaybeam.Reason(refused.GetReason()), refused.GetDetail(), retryAfter),
	}
}

func (a *attemptRun) handleFailed(failed *framer.Failed) streamResult {
	if !a.matches(failed.GetAttempt()) {
		return streamResult{}
	}
	crash := quarantiner.CrashID(failed.GetCrash())
	a.dispatcher.options.Quarantiner.Add(a.request.fingerprint(), crash)
	return streamResult{final: true, failure: &carawaybeam.RequestError{
		Outcome: carawaybeam.Outcome(failed.GetOutcome()),
		Reason:  carawaybeam.Reason(failed.GetReason()),
		Detail:  failed.GetDetail(),
	}}
}

func (a *attemptRun) corrupt(detail string) streamResult {
	return streamResult{final: true, failure: &carawaybeam.RequestError{
		Outcome: carawaybeam.OutcomeRan,
		Reason:  carawaybeam.ReasonCorrupt,
		Detail:  detail,
	}}
}
