package dispatcher

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/executor"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/quarantiner"
)

const (
	// streamSilence is how long an agent may be silent on a stream. It sends
	// keep-alives far more often.
	streamSilence = 3 * time.Second

	// resolveTimeout is how long an attempt is being settled over new links
	// before its outcome counts as unknown.
	resolveTimeout = 8 * time.Second

	// moveTimeout is the same for a request that may run twice and can thus go
	// to another agent. It is longer than a failed link takes to be replaced.
	moveTimeout = time.Second

	// resolvePause is the wait between two tries to settle an attempt.
	resolvePause = 200 * time.Millisecond
)

type (
	// answerState is the answer of a request across its attempts.
	answerState struct {
		writer     AnswerWriter
		headSent   bool
		status     int
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
		// resume is how much of the answer earlier attempts delivered.
		resume uint64

		// released is set when the agent gave up the key for good.
		released bool
		// unreachable is set when the agent could not be reached to settle the
		// attempt.
		unreachable bool

		sent     bool
		offset   uint64
		checksum xxhash.Digest
	}

	// verdict is what one stream told of an attempt.
	verdict struct {
		// final is set once the attempt is settled.
		final bool
		// broken is set when the stream carries no further useful frame.
		broken bool
		// failure is nil when the answer is whole.
		failure *carawaybeam.RequestError
	}
)

// run dispatches the attempt, and settles it over new streams for as long as
// that takes.
func (a *attemptRun) run(ctx context.Context) *carawaybeam.RequestError {
	a.checksum.Reset()
	v := a.exchange(ctx, a.dispatchFrame())
	if v.final {
		return v.failure
	}
	if !a.sent {
		return carawaybeam.NotRun(carawaybeam.ReasonNoBackend, "agent could not be reached", comeBackAfter)
	}
	patience := resolveTimeout
	if a.request.Class.Idempotent {
		patience = moveTimeout
	}
	giveUp := time.Now().Add(patience)
	for time.Now().Before(giveUp) && ctx.Err() == nil {
		heard := a.offset
		v = a.exchange(ctx, a.resolveFrame())
		if v.final {
			return v.failure
		}
		if a.offset > heard {
			giveUp = time.Now().Add(patience)
		}
		select {
		case <-time.After(resolvePause):
		case <-ctx.Done():
		}
	}
	return a.unsettled(ctx)
}

func (a *attemptRun) unsettled(ctx context.Context) *carawaybeam.RequestError {
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

// key returns the name under which the agent runs the request at most once.
func (a *attemptRun) key() string {
	if a.target.ticket != 0 {
		return executor.TicketKey(string(a.request.Organisation), string(a.request.Class.ID), a.target.ticket)
	}
	return string(a.target.key)
}

// exchange sends the first frame on a new stream and reads the answer.
func (a *attemptRun) exchange(ctx context.Context, first *framer.Frame) verdict {
	stream, err := a.dispatcher.options.Members.Open(ctx, a.target.backend)
	if err != nil {
		return verdict{}
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { a.leave(stream) })
	defer stop()
	a.sent = true
	if stream.Send(first) != nil {
		return verdict{}
	}
	for {
		frame, err := stream.Receive(streamSilence)
		if err != nil {
			if ctx.Err() == nil {
				a.dispatcher.options.Members.Suspect(a.target.backend)
			}
			return verdict{}
		}
		a.dispatcher.options.ConfigObserver.Observe(carawaybeam.ConfigVersion(frame.GetConfigVersion()))
		v := a.take(frame)
		if v.final {
			a.acknowledge(stream)
		}
		if v.final || v.broken {
			return v
		}
	}
}

// acknowledge tells the agent that the last frame has arrived.
func (a *attemptRun) acknowledge(stream carawaybeam.Stream) {
	acknowledge := &framer.Acknowledge{Attempt: string(a.id)}
	_ = stream.Send(&framer.Frame{Body: &framer.Frame_Acknowledge{Acknowledge: acknowledge}})
}

// leave tells the agent that the caller has gone.
func (a *attemptRun) leave(stream carawaybeam.Stream) {
	cancel := &framer.Cancel{Attempt: string(a.id)}
	_ = stream.Send(&framer.Frame{Body: &framer.Frame_Cancel{Cancel: cancel}})
	_ = stream.Close()
}

// take handles one frame of an answer.
func (a *attemptRun) take(frame *framer.Frame) verdict {
	switch body := frame.GetBody().(type) {
	case *framer.Frame_Head:
		return a.takeHead(body.Head)
	case *framer.Frame_Chunk:
		return a.takeChunk(body.Chunk)
	case *framer.Frame_Tail:
		return a.takeTail(body.Tail)
	case *framer.Frame_Refused:
		return a.takeRefused(body.Refused)
	case *framer.Frame_Failed:
		return a.takeFailed(body.Failed)
	}
	return verdict{}
}

// takeHead begins the answer. A further attempt must go on with the same kind of
// answer, not with an error in its place.
func (a *attemptRun) takeHead(head *framer.Head) verdict {
	if !a.own(head.GetAttempt()) {
		return verdict{}
	}
	status := int(head.GetStatus())
	if a.answer.headSent {
		if status == a.answer.status {
			return verdict{}
		}
		return verdict{final: true, failure: &carawaybeam.RequestError{
			Outcome: carawaybeam.OutcomeUnknown,
			Reason:  carawaybeam.ReasonBackendFailed,
			Detail:  "backend server did not go on with the answer",
		}}
	}
	a.answer.headSent = true
	a.answer.status = status
	return a.written(a.answer.writer.Head(status, head.GetContentType()))
}

// own tells whether a frame is for this attempt. Others are dropped and counted.
func (a *attemptRun) own(id string) bool {
	if id == string(a.id) {
		return true
	}
	a.dispatcher.counts.crossed.Add(1)
	return false
}

// takeChunk passes the next part on. A part that came before is dropped, and a
// gap ends the stream: the answer goes on over another one.
func (a *attemptRun) takeChunk(chunk *framer.Chunk) verdict {
	switch {
	case !a.own(chunk.GetAttempt()):
		return verdict{}
	case chunk.GetOffset() < a.offset:
		a.dispatcher.counts.repeated.Add(1)
		return verdict{}
	case chunk.GetOffset() > a.offset || !a.answer.headSent:
		a.dispatcher.counts.gaps.Add(1)
		return verdict{broken: true}
	}
	data := chunk.GetData()
	a.offset += uint64(len(data))
	a.answer.written += uint64(len(data))
	_, _ = a.checksum.Write(data)
	return a.written(a.answer.writer.Chunk(data))
}

// written ends the attempt when the caller takes no more.
func (a *attemptRun) written(err error) verdict {
	if err == nil {
		return verdict{}
	}
	a.answer.callerGone = true
	return verdict{final: true, failure: &carawaybeam.RequestError{
		Outcome: carawaybeam.OutcomeUnknown,
		Reason:  carawaybeam.ReasonDeadline,
		Detail:  "caller has gone: " + err.Error(),
	}}
}

func (a *attemptRun) takeTail(tail *framer.Tail) verdict {
	if !a.own(tail.GetAttempt()) {
		return verdict{}
	}
	if tail.GetTotal() > a.offset || !a.answer.headSent {
		a.dispatcher.counts.gaps.Add(1)
		return verdict{broken: true}
	}
	if tail.GetTotal() != a.offset || tail.GetChecksum() != a.checksum.Sum64() {
		return a.corrupt("answer differs from its checksum")
	}
	return verdict{final: true}
}

func (a *attemptRun) takeRefused(refused *framer.Refused) verdict {
	if !a.own(refused.GetAttempt()) {
		return verdict{}
	}
	a.released = refused.GetKeyReleased()
	retryAfter := time.Duration(refused.GetRetryAfterMs()) * time.Millisecond
	return verdict{
		final:   true,
		failure: carawaybeam.NotRun(carawaybeam.Reason(refused.GetReason()), refused.GetDetail(), retryAfter),
	}
}

func (a *attemptRun) takeFailed(failed *framer.Failed) verdict {
	if !a.own(failed.GetAttempt()) {
		return verdict{}
	}
	crash := quarantiner.CrashID(failed.GetCrash())
	a.dispatcher.options.Quarantiner.Add(a.request.fingerprint(), crash)
	return verdict{final: true, failure: &carawaybeam.RequestError{
		Outcome: carawaybeam.Outcome(failed.GetOutcome()),
		Reason:  carawaybeam.Reason(failed.GetReason()),
		Detail:  failed.GetDetail(),
	}}
}

func (a *attemptRun) corrupt(detail string) verdict {
	return verdict{final: true, failure: &carawaybeam.RequestError{
		Outcome: carawaybeam.OutcomeRan,
		Reason:  carawaybeam.ReasonCorrupt,
		Detail:  detail,
	}}
}
