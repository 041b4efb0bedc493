package dispatcher

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
)

const (
	// streamSilence is how long an agent may be silent on a stream. It sends
	// keep-alives far more often.
	streamSilence = 3 * time.Second

	// resolveTimeout is how long an attempt is being settled over new links
	// before its outcome counts as unknown.
	resolveTimeout = 8 * time.Second

	// resolvePause is the wait between two tries to settle an attempt.
	resolvePause = 200 * time.Millisecond
)

type (
	// answerState is the answer of a request across its attempts.
	answerState struct {
		writer     AnswerWriter
		headSent   bool
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

		sent     bool
		offset   uint64
		sequence uint64
		checksum xxhash.Digest
	}

	// verdict is what one stream told of an attempt.
	verdict struct {
		// final is set once the attempt is settled.
		final bool
		// failure is nil when the answer is whole.
		failure *carawaybeam.RequestError
	}
)

func bodyHash(request Request) string {
	h := sha256.New()
	for _, part := range []string{request.Method, request.Path, request.ContentType} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(request.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// run dispatches the attempt, and settles it over new streams for as long as
// that takes.
func (a *attemptRun) run(ctx context.Context) *carawaybeam.RequestError {
	a.checksum.Reset()
	v := a.exchange(ctx, a.dispatchFrame())
	if v.final {
		return v.failure
	}
	if !a.sent {
		return notRun(carawaybeam.ReasonNoBackend, "agent could not be reached", comeBackAfter)
	}
	giveUp := time.Now().Add(resolveTimeout)
	for time.Now().Before(giveUp) && ctx.Err() == nil {
		heard := a.offset
		v = a.exchange(ctx, a.resolveFrame())
		if v.final {
			return v.failure
		}
		if a.offset > heard {
			giveUp = time.Now().Add(resolveTimeout)
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
	if ctx.Err() != nil {
		failure.Reason = carawaybeam.ReasonDeadline
		failure.Detail = "request was not answered in time"
	}
	return failure
}

func (a *attemptRun) dispatchFrame() *framer.Frame {
	r := a.request
	return &framer.Frame{
		ConfigVersion: uint64(r.DecidedOn),
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
		}},
	}
}

func (a *attemptRun) resolveFrame() *framer.Frame {
	return &framer.Frame{
		ConfigVersion: uint64(a.dispatcher.options.Config.Version()),
		Body: &framer.Frame_Resolve{Resolve: &framer.Resolve{
			Attempt:     string(a.id),
			Offset:      a.offset,
			Incarnation: string(a.target.incarnation),
		}},
	}
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
	a.sequence = 0
	for {
		frame, err := stream.Receive(streamSilence)
		if err != nil {
			if ctx.Err() == nil {
				a.dispatcher.options.Members.Suspect(a.target.backend)
			}
			return verdict{}
		}
		a.dispatcher.options.Config.Observe(carawaybeam.ConfigVersion(frame.GetConfigVersion()))
		if v := a.take(frame); v.final {
			return v
		}
	}
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

func (a *attemptRun) takeHead(head *framer.Head) verdict {
	if head.GetAttempt() != string(a.id) || a.answer.headSent {
		return verdict{}
	}
	a.answer.headSent = true
	return a.written(a.answer.writer.Head(int(head.GetStatus()), head.GetContentType()))
}

// takeChunk passes the next part on. A part of another attempt is dropped, and
// one that does not follow on ends the stream.
func (a *attemptRun) takeChunk(chunk *framer.Chunk) verdict {
	if chunk.GetAttempt() != string(a.id) {
		return verdict{}
	}
	if chunk.GetOffset() != a.offset || chunk.GetSequence() != a.sequence {
		return a.corrupt("part of the answer is out of order")
	}
	data := chunk.GetData()
	a.sequence++
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
	if tail.GetAttempt() != string(a.id) {
		return verdict{}
	}
	if tail.GetTotal() != a.offset || tail.GetChecksum() != a.checksum.Sum64() {
		return a.corrupt("answer differs from its checksum")
	}
	return verdict{final: true}
}

func (a *attemptRun) takeRefused(refused *framer.Refused) verdict {
	if refused.GetAttempt() != string(a.id) {
		return verdict{}
	}
	retryAfter := time.Duration(refused.GetRetryAfterMs()) * time.Millisecond
	return verdict{
		final:   true,
		failure: notRun(carawaybeam.Reason(refused.GetReason()), refused.GetDetail(), retryAfter),
	}
}

func (a *attemptRun) takeFailed(failed *framer.Failed) verdict {
	if failed.GetAttempt() != string(a.id) {
		return verdict{}
	}
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
