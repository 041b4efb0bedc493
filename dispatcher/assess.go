package dispatcher

import (
	"context"
	"net/http"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/assessor"
)

// measuredWriter notes when the first part of an answer comes and whether the
// backend server reports a failure of its own.
type measuredWriter struct {
	AnswerWriter
	class carawaybeam.Class
	began time.Time
	// streams is set when the first part comes with the first token.
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

// Chunk adds to the answer.
func (w *measuredWriter) Chunk(data []byte) error {
	if w.streams && w.firstToken == 0 {
		w.firstToken = time.Since(w.began)
	}
	return w.AnswerWriter.Chunk(data)
}

// Restart takes back what was written, if none of it has left yet.
func (w *measuredWriter) Restart() bool {
	if !w.AnswerWriter.Restart() {
		return false
	}
	w.firstToken = 0
	return true
}

// assess measures a request that has ended. Those that say nothing of the
// service are left out: the caller left before the target had passed, or made a
// mistake.
func (d *Dispatcher) assess(ctx context.Context, w *measuredWriter, failure *carawaybeam.RequestError) {
	now := time.Now()
	result := assessor.Result{
		Answered:   failure == nil && w.status < http.StatusInternalServerError,
		FirstToken: w.firstToken,
		Took:       now.Sub(w.began),
	}
	if failure != nil {
		if isCallersMistake(failure.Reason) || ctx.Err() != nil && result.Took <= w.class.Targets.Completed {
			return
		}
		result.Quarantined = failure.Reason == carawaybeam.ReasonQuarantined
	}
	d.options.Assessor.Assess(now, w.class, result)
}

func isCallersMistake(reason carawaybeam.Reason) bool {
	return reason == carawaybeam.ReasonKeyReused || reason == carawaybeam.ReasonBadTicket
}
