package dispatcher

import (
	"context"
	"net/http"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/assessor"
)

// measuredWriter measures the time to the first part of an answer and records
// its status.
type measuredWriter struct {
	AnswerWriter
	class carawaybeam.Class
	began time.Time
	// streams is set when the first part of the answer arrives with the first
	// token.
	streams    bool
	firstToken time.Duration
	status     int
}

func newMeasuredWriter(request Request, w AnswerWriter) *measuredWriter {
	streams := request.Class.Kind == carawaybeam.WorkModel && asksForStream(request.Body)
	return &measuredWriter{AnswerWriter: w, class: request.Class, began: time.Now(), streams: streams}
}

// Head begins the answer.
func (w *measuredWriter) Head(status int, contentType string) error {
	w.status = status
	return w.AnswerWriter.Head(status, contentType)
}

// Chunk appends data to the answer.
func (w *measuredWriter) Chunk(data []byte) error {
	if w.streams && w.firstToken == 0 {
		w.firstToken = time.Since(w.began)
	}
	return w.AnswerWriter.Chunk(data)
}

// Restart discards everything written so far, provided that none of it has been
// sent to the caller.
func (w *measuredWriter) Restart() bool {
	if !w.AnswerWriter.Restart() {
		return false
	}
	w.firstToken = 0
	return true
}

// assess measures a request that has ended against the targets of its class. It
// skips requests that say nothing about the service: those whose caller made a
// mistake, or disconnected before the completion target had passed.
func (d *Dispatcher) assess(ctx context.Context, w *measuredWriter, failure *carawaybeam.RequestError) {
	now := time.Now()
	result := assessor.Result{
		Answered:   failure == nil && w.status < http.StatusInternalServerError,
		FirstToken: w.firstToken,
		Took:       now.Sub(w.began),
	}
	if failure != nil {
		if isCallerError(failure.Reason) || ctx.Err() != nil && result.Took <= w.class.Targets.Completed {
			return
		}
		result.Quarantined = failure.Reason == carawaybeam.ReasonQuarantined
	}
	d.options.Assessor.Assess(now, w.class, result)
}

func isCallerError(reason carawaybeam.Reason) bool {
	return reason == carawaybeam.ReasonKeyReused || reason == carawaybeam.ReasonBadTicket
}
