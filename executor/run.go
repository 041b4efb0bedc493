package executor

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
)

// eventEnding is the longest ending of an event.
const eventEnding = "\n\r\n"

var (
	// buffers holds read buffers for answers.
	buffers = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

	errPartialEvent = errors.New("stream ended inside an event")
)

// run sends one attempt to the backend server and records its answer.
func (e *Executor) run(a *attempt, d *framer.Dispatch) {
	defer a.cancel()
	defer a.removeLimit()
	failure, failed := e.runIsolated(a, d)
	if failed {
		e.counts.failed.Add(1)
		e.options.Log.Warn().Str("attempt", string(a.id)).Str("detail", failure.Detail).Msg("executor: attempt failed")
	} else {
		e.counts.done.Add(1)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if failed && failure.Outcome == carawaybeam.OutcomeNotRun {
		e.ledger.releaseKey(a)
	}
	if failed {
		a.finish(phaseFailed, failure)
	} else {
		a.finish(phaseDone, carawaybeam.RequestError{})
	}
	e.running--
	e.countEnded(a)
}

// countEnded adds the memory of an ended attempt and requests a sweep if the ended
// attempts exceed the budget.
func (e *Executor) countEnded(a *attempt) {
	_, _, _, held := a.snapshot()
	if e.endedBytes.Add(int64(held+rowOverhead)) < answerBudget {
		return
	}
	select {
	case e.sweepRequested <- struct{}{}:
	default:
	}
}

func (e *Executor) callBackend(ctx context.Context, a *attempt, d *framer.Dispatch) (carawaybeam.RequestError, bool) {
	sent := time.Now()
	answer, err := e.options.Backend.Start(ctx, carawaybeam.BackendRequest{
		Attempt:     a.id,
		Method:      d.GetMethod(),
		Path:        d.GetPath(),
		ContentType: d.GetContentType(),
		Body:        d.GetBody(),
		Priority:    int(d.GetPriority()),
		Resume:      carawaybeam.Bytes(d.GetResume()),
	})
	if err != nil {
		failure := startFailure(err)
		if failure.Reason == carawaybeam.ReasonCorrupt {
			e.counts.broken.Add(1)
		}
		return failure, true
	}
	defer func() { _ = answer.Body.Close() }()
	e.observeSignals(sent, answer.Signals)
	if resume := carawaybeam.Bytes(
		d.GetResume(),
	); answer.Status < http.StatusMultipleChoices &&
		answer.Resumed != resume {
		return carawaybeam.RequestError{
			Outcome: carawaybeam.OutcomeUnknown,
			Reason:  carawaybeam.ReasonBackendFailed,
			Detail:  fmt.Sprintf("answer goes on at byte %d, not %d", answer.Resumed, resume),
		}, true
	}
	a.begin(answer.Status, answer.ContentType)
	pooled := buffers.Get().(*[chunkBytes]byte)
	defer buffers.Put(pooled)
	buffer := pooled[:]
	var events eventEnd
	for first := true; ; first = false {
		n, err := answer.Body.Read(buffer)
		events.write(buffer[:n])
		if first {
			e.observeStart(answer.ContentType, time.Since(sent))
		}
		if n > 0 && !a.append(buffer[:n], ctx.Done()) {
			err = ctx.Err()
		}
		if errors.Is(err, io.EOF) && isStream(answer.ContentType) && !events.complete() {
			err = errPartialEvent
		}
		if errors.Is(err, io.EOF) {
			return carawaybeam.RequestError{}, false
		}
		if err != nil {
			return e.readFailure(ctx, err), true
		}
	}
}

// readFailure returns the error of an attempt whose answer could not be read to its end.
func (e *Executor) readFailure(ctx context.Context, err error) carawaybeam.RequestError {
	if ctx.Err() == nil {
		e.counts.broken.Add(1)
	}
	return carawaybeam.RequestError{
		Outcome: carawaybeam.OutcomeUnknown,
		Reason:  reasonOf(err),
		Detail:  "answer was cut: " + err.Error(),
	}
}

func startFailure(err error) carawaybeam.RequestError {
	failure := carawaybeam.RequestError{
		Outcome: carawaybeam.OutcomeUnknown,
		Reason:  reasonOf(err),
		Detail:  err.Error(),
	}
	var notSent *carawaybeam.NotSentError
	if errors.As(err, &notSent) {
		failure.Outcome = carawaybeam.OutcomeNotRun
		failure.RetryAfter = busyRetryAfter
	}
	return failure
}

// reasonOf returns the reason of an attempt that failed with an error.
func reasonOf(err error) carawaybeam.Reason {
	var invalid *carawaybeam.InvalidAnswerError
	if errors.As(err, &invalid) {
		return carawaybeam.ReasonCorrupt
	}
	return carawaybeam.ReasonBackendFailed
}

// eventEnd keeps the end of a stream of events.
type eventEnd struct{ last []byte }

func (e *eventEnd) write(data []byte) {
	e.last = append(e.last, data[max(0, len(data)-len(eventEnding)):]...)
	e.last = e.last[max(0, len(e.last)-len(eventEnding)):]
}

// complete reports whether the stream ends with a complete event, or is empty.
func (e *eventEnd) complete() bool {
	return len(e.last) == 0 || bytes.HasSuffix(e.last, []byte("\n\n")) || bytes.HasSuffix(e.last, []byte("\n\r\n"))
}
