package server

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/reserver"
)

const (
	// bufferBytes is how much of an answer is buffered, unless it is an event
	// stream. If the request fails before the buffer is full, the caller gets an
	// error instead of part of an answer.
	bufferBytes = 1 << 20

	typeEventStream = "text/event-stream"
	typeProblem     = "application/problem+json"
	problemPrefix   = "tag:carawaybeam,2026:"
)

type (
	// problem is the body of an error response according to RFC 9457.
	problem struct {
		Type    string              `json:"type"`
		Title   string              `json:"title"`
		Status  int                 `json:"status"`
		Detail  string              `json:"detail,omitempty"`
		Outcome carawaybeam.Outcome `json:"outcome"`
	}

	// answerWriter writes one answer to a caller. An event stream is sent part
	// by part; any other answer is buffered up to bufferBytes.
	answerWriter struct {
		w           http.ResponseWriter
		control     *http.ResponseController
		timeout     time.Duration
		status      int
		contentType string
		// events is set if the answer is an event stream.
		events   bool
		headSent bool
		buffered []byte
		// memory bounds the memory of what is buffered of all answers, beyond reserver.Free of each.
		memory  *reserver.Reserver
		release func()
	}
)

// problems holds the HTTP status and the title for each reason. Any other reason
// results in status 503.
var problems = map[carawaybeam.Reason]struct {
	status int
	title  string
}{
	carawaybeam.ReasonBadRequest:       {http.StatusBadRequest, "Malformed request"},
	carawaybeam.ReasonUnauthorized:     {http.StatusUnauthorized, "Unknown caller"},
	carawaybeam.ReasonForbidden:        {http.StatusForbidden, "Class is not allowed"},
	carawaybeam.ReasonUnknownClass:     {http.StatusNotFound, "Unknown class"},
	carawaybeam.ReasonTooLarge:         {http.StatusRequestEntityTooLarge, "Request is too large"},
	carawaybeam.ReasonKeyReused:        {http.StatusUnprocessableEntity, "Idempotency key was used with another body"},
	carawaybeam.ReasonBusy:             {http.StatusTooManyRequests, "Too many requests"},
	carawaybeam.ReasonBadTicket:        {http.StatusConflict, "Ticket is not open"},
	carawaybeam.ReasonQuarantined:      {http.StatusTooManyRequests, "Request crashed backend servers"},
	carawaybeam.ReasonBackendFailed:    {http.StatusBadGateway, "Backend server failed"},
	carawaybeam.ReasonAnswerGone:       {http.StatusBadGateway, "Answer is no longer held"},
	carawaybeam.ReasonCorrupt:          {http.StatusBadGateway, "Answer was damaged"},
	carawaybeam.ReasonInternal:         {http.StatusInternalServerError, "Entry failed"},
	carawaybeam.ReasonDeadline:         {http.StatusGatewayTimeout, "Answer came too late"},
	carawaybeam.ReasonWrongIncarnation: {http.StatusGatewayTimeout, "Agent has restarted"},
}

func statusOf(failure *carawaybeam.RequestError) int {
	if row, ok := problems[failure.Reason]; ok {
		return row.status
	}
	return http.StatusServiceUnavailable
}

func problemOf(status int, failure *carawaybeam.RequestError) problem {
	title := "Service is unavailable"
	if row, ok := problems[failure.Reason]; ok {
		title = row.title
	}
	return problem{
		Type:    problemPrefix + string(failure.Reason),
		Title:   title,
		Status:  status,
		Detail:  failure.Detail,
		Outcome: failure.Outcome,
	}
}

func writeProblem(w http.ResponseWriter, status int, failure *carawaybeam.RequestError) {
	data, err := json.Marshal(problemOf(status, failure))
	if err != nil {
		data = []byte("{}")
	}
	w.Header().Set("Content-Type", typeProblem)
	if failure.RetryAfter > 0 {
		w.Header().Set("Retry-After", retryAfter(failure.RetryAfter))
	}
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// retryAfter returns the value of the Retry-After header, which is in whole
// seconds. It rounds up.
func retryAfter(wait time.Duration) string {
	return strconv.Itoa(int(math.Ceil(wait.Seconds())))
}

// newAnswerWriter returns an answerWriter. The caller must receive each part of
// the answer within the timeout.
func newAnswerWriter(w http.ResponseWriter, timeout time.Duration) *answerWriter {
	return &answerWriter{w: w, control: http.NewResponseController(w), timeout: timeout}
}

// Head begins the answer. The head of an event stream is sent at once.
func (a *answerWriter) Head(status int, contentType string) error {
	a.status = status
	a.contentType = contentType
	a.events = strings.HasPrefix(contentType, typeEventStream)
	if a.events {
		a.send()
	}
	return nil
}

// Chunk appends data to the answer. Data of an event stream is sent and flushed
// at once.
func (a *answerWriter) Chunk(data []byte) error {
	if !a.headSent && len(a.buffered)+len(data) <= bufferBytes && a.mayBuffer(len(data)) {
		a.buffered = append(a.buffered, data...)
		return nil
	}
	if err := a.control.SetWriteDeadline(time.Now().Add(a.timeout)); err != nil {
		return err
	}
	if !a.headSent {
		a.send()
	}
	if _, err := a.w.Write(data); err != nil {
		return err
	}
	if a.events {
		return a.control.Flush()
	}
	return nil
}

// mayBuffer reports whether there is memory to buffer more of the answer. Otherwise it is sent part by part.
func (a *answerWriter) mayBuffer(more int) bool {
	if a.memory == nil || a.release != nil || len(a.buffered)+more <= int(reserver.Free) {
		return true
	}
	// A buffer that grows is copied.
	release, err := a.memory.ReserveNow(context.Background(), 2*bufferBytes)
	if err != nil {
		return false
	}
	a.release = release
	return true
}

// releaseMemory releases the memory of the buffer.
func (a *answerWriter) releaseMemory() {
	a.buffered = nil
	if a.release != nil {
		a.release()
	}
}

// Restart discards the buffered part of the answer, so that another attempt can
// begin a new one. It returns false if part of the answer has been sent.
func (a *answerWriter) Restart() bool {
	if a.headSent {
		return false
	}
	a.buffered = nil
	return true
}

// send writes the head and the buffered part of the answer.
func (a *answerWriter) send() {
	a.headSent = true
	if a.contentType != "" {
		a.w.Header().Set("Content-Type", a.contentType)
	}
	a.w.WriteHeader(a.status)
	_, _ = a.w.Write(a.buffered)
	a.buffered = nil
}

// finish ends the answer. An incomplete answer must not look complete: if nothing
// of it was sent, an error is sent instead; an event stream ends with an error
// event; otherwise the connection is aborted.
func (a *answerWriter) finish(failure *carawaybeam.RequestError) {
	// The time of the last part may have passed. If it fails, the connection has ended.
	_ = a.control.SetWriteDeadline(time.Now().Add(a.timeout))
	switch {
	case failure == nil && !a.headSent:
		if a.status == 0 {
			a.status = http.StatusOK
		}
		a.w.Header().Set("Content-Length", strconv.Itoa(len(a.buffered)))
		a.send()
	case failure == nil:
	case !a.headSent:
		writeProblem(a.w, statusOf(failure), failure)
	case a.events:
		a.writeErrorEvent(failure)
	default:
		panic(http.ErrAbortHandler)
	}
}

func (a *answerWriter) writeErrorEvent(failure *carawaybeam.RequestError) {
	data, err := json.Marshal(problemOf(statusOf(failure), failure))
	if err != nil {
		data = []byte("{}")
	}
	_, _ = fmt.Fprintf(a.w, "\n\nevent: error\ndata: %s\n\n", data)
	_ = a.control.Flush()
}

// checkJSON returns an error unless the body is a single JSON object.
func checkJSON(body []byte) error {
	// Nothing of the object is kept: one with very many members would take many times its size.
	var object struct{}
	return json.Unmarshal(body, &object)
}
