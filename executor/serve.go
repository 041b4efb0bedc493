package executor

import (
	"context"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/quarantiner"
)

// ServeDispatch runs the attempt of the frame, or attaches to it, and sends its
// answer.
func (e *Executor) ServeDispatch(ctx context.Context, frame *framer.Frame, stream carawaybeam.Stream) {
	a := e.dispatch(frame.GetDispatch(), frame.GetConfigVersion())
	e.serveAnswer(ctx, a, frame.GetDispatch().GetAttempt(), 0, stream)
}

// ServeResolve resolves the attempt of the frame and sends its answer from the offset
// of the frame.
func (e *Executor) ServeResolve(ctx context.Context, frame *framer.Frame, stream carawaybeam.Stream) {
	r := frame.GetResolve()
	a := e.resolve(r)
	e.serveAnswer(ctx, a, r.GetAttempt(), r.GetOffset(), stream)
}

// serveAnswer sends an answer to one reader. It returns after the end of the answer, or
// when the reader has closed the stream or cancelled the attempt.
func (e *Executor) serveAnswer(ctx context.Context, a *attempt, id string, offset uint64, stream carawaybeam.Stream) {
	a.attach(id)
	defer func() {
		if a.detach() {
			e.abandonLater(a)
		}
	}()
	left := make(chan struct{})
	go e.receiveFromReader(a, id, stream, left)
	sender := answerSender{executor: e, attempt: a, id: id, stream: stream, offset: offset}
	if sender.run(ctx, left) {
		awaitReader(ctx, left)
	}
	// Without an acknowledgement, receiveFromReader returns only when the stream
	// is closed.
	_ = stream.Close()
	<-left
}

// awaitReader waits until the reader has acknowledged the last frame or is gone, for
// at most acknowledgeTimeout.
func awaitReader(ctx context.Context, left <-chan struct{}) {
	timer := time.NewTimer(acknowledgeTimeout)
	defer timer.Stop()
	select {
	case <-left:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// receiveFromReader waits until the reader acknowledges the answer, cancels the
// attempt or closes the stream, and then closes left.
func (e *Executor) receiveFromReader(a *attempt, id string, stream carawaybeam.Stream, left chan<- struct{}) {
	defer close(left)
	for {
		frame, err := stream.Receive(0)
		if err != nil {
			return
		}
		if frame.GetAcknowledge().GetAttempt() == id {
			a.acknowledge(id)
			return
		}
		if frame.GetCancel().GetAttempt() == id {
			a.acknowledge(id)
			if a.idempotent {
				a.stopForLastReader()
			}
			return
		}
	}
}

// abandonLater starts abandon for an idempotent attempt.
func (e *Executor) abandonLater(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.idempotent && !e.closed {
		e.wait.Go(func() { e.abandon(a) })
	}
}

// abandon cancels an idempotent attempt if no reader attaches within abandonTimeout.
// Other attempts run to their end, because their effects matter more than their
// answers.
func (e *Executor) abandon(a *attempt) {
	timer := time.NewTimer(abandonTimeout)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.ctx.Done():
		return
	}
	a.stopIfAbandoned()
}

// stopIfAbandoned stops the attempt if it has had no readers for abandonTimeout.
func (a *attempt) stopIfAbandoned() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.readers == 0 && time.Since(a.lastDetached) >= abandonTimeout {
		a.stop()
	}
}

// stopForLastReader stops the attempt on behalf of one of its readers, unless another one is
// attached.
func (a *attempt) stopForLastReader() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.readers <= 1 {
		a.stop()
	}
}

// stop cancels the request to the backend server.
func (a *attempt) stop() {
	if a.cancel != nil {
		a.cancel()
	}
}

// answerSender sends one answer over one stream.
type answerSender struct {
	executor *Executor
	attempt  *attempt
	// id is the identifier by which the reader named the attempt. It differs from
	// that of the attempt if an earlier attempt ran with the same key.
	id       string
	stream   carawaybeam.Stream
	offset   uint64
	sequence uint64
	headSent bool
}

// run sends the answer. It returns true when sendNext reports the end, and false if the
// reader or ctx ended before or a keep-alive frame could not be sent.
func (s *answerSender) run(ctx context.Context, left <-chan struct{}) bool {
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		p := s.attempt.next(s.offset)
		if sent, ended := s.sendNext(p); ended {
			return true
		} else if sent {
			continue
		}
		select {
		case <-p.changed:
		case <-ticker.C:
			if s.send(&framer.Frame{Body: &framer.Frame_KeepAlive{KeepAlive: &framer.KeepAlive{}}}) != nil {
				return false
			}
		case <-left:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// sendNext sends the next frame if there is one. ended is set if it was the last one
// or, for the head and chunks, if sending failed.
func (s *answerSender) sendNext(p progress) (sent, ended bool) {
	id := s.id
	switch {
	case p.phase == phaseRefused:
		return true, s.sendLast(&framer.Frame{Body: &framer.Frame_Refused{Refused: refusedFrame(id, p)}})
	case p.started && p.gone:
		return true, s.sendLast(failedFrame(id, carawaybeam.RequestError{
			Outcome: carawaybeam.OutcomeRan, Reason: carawaybeam.ReasonAnswerGone,
		}, ""))
	case p.started && !s.headSent:
		s.headSent = true
		head := &framer.Head{Attempt: id, Status: int32(p.status), ContentType: p.contentType}
		return true, s.send(&framer.Frame{Body: &framer.Frame_Head{Head: head}}) != nil
	case len(p.data) > 0:
		return true, s.sendChunk(p.data) != nil
	case p.phase == phaseFailed:
		return true, s.sendLast(failedFrame(id, p.failure, p.crash))
	case p.phase == phaseDone:
		tail := &framer.Tail{Attempt: id, Total: p.total, Checksum: p.checksum}
		return true, s.sendLast(&framer.Frame{Body: &framer.Frame_Tail{Tail: tail}})
	}
	return false, false
}

func (s *answerSender) sendChunk(data []byte) error {
	chunk := &framer.Chunk{Attempt: s.id, Sequence: s.sequence, Offset: s.offset, Data: data}
	if err := s.send(&framer.Frame{Body: &framer.Frame_Chunk{Chunk: chunk}}); err != nil {
		return err
	}
	s.sequence++
	s.offset += uint64(len(data))
	s.attempt.markRead(s.offset)
	return nil
}

func (s *answerSender) sendLast(frame *framer.Frame) bool {
	_ = s.send(frame)
	return true
}

func (s *answerSender) send(frame *framer.Frame) error {
	frame.ConfigVersion = s.executor.configVersion.Load()
	return s.stream.Send(frame)
}

func refusedFrame(id string, p progress) *framer.Refused {
	return &framer.Refused{
		Attempt:      id,
		Reason:       string(p.refusal.Reason),
		Detail:       p.refusal.Detail,
		RetryAfterMs: uint64(p.refusal.RetryAfter.Milliseconds()),
		KeyReleased:  p.released,
	}
}

func failedFrame(id string, failure carawaybeam.RequestError, crash quarantiner.CrashID) *framer.Frame {
	return &framer.Frame{Body: &framer.Frame_Failed{Failed: &framer.Failed{
		Attempt: id,
		Outcome: string(failure.Outcome),
		Reason:  string(failure.Reason),
		Detail:  failure.Detail,
		Crash:   string(crash),
	}}}
}
