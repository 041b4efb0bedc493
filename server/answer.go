package server

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// heldBytes is how much of an answer that is no event stream is held back,
	// so that one that fails early can still become an error.
	heldBytes = 1 << 20

	typeEventStream = "text/event-stream"
	typeProblem     = "application/problem+json"
	problemPrefix   = "tag:carawaybeam,2026:"
)

type (
	// problem is an error as RFC 9457 defines it.
	problem struct {
		Type    string              `json:"type"`
		Title   string              `json:"title"`
		Status  int                 `json:"status"`
		Detail  string              `json:"detail,omitempty"`
		Outcome carawaybeam.Outcome `json:"outcome"`
	}

	// answerWriter writes one answer to a caller.
	answerWriter struct {
		w           http.ResponseWriter
		control     *http.ResponseController
		timeout     time.Duration
		status      int
		contentType string
		events      bool
		sent        bool
		held        []byte
	}
)

// titles gives each reason its title and status.
var titles = map[carawaybeam.Reason]struct {
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
	carawaybeam.ReasonDeadline:         {http.StatusGatewayTimeout, "Answer came too late"},
	carawaybeam.ReasonWrongIncarnation: {http.StatusGatewayTimeout, "Agent has restarted"},
}

func statusOf(failure *carawaybeam.RequestError) int {
	if row, ok := titles[failure.Reason]; ok {
		return row.status
	}
	return http.StatusServiceUnavailable
}

func problemOf(status int, failure *carawaybeam.RequestError) problem {
	title := "Service is unavailable"
	if row, ok := titles[failure.Reason]; ok {
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

// retryAfter rounds up to whole seconds, the unit of the header.
func retryAfter(wait time.Duration) string {
	return strconv.Itoa(int(math.Ceil(wait.Seconds())))
}

// newAnswerWriter returns a writer that gives a caller the timeout to take each
// part.
func newAnswerWriter(w http.ResponseWriter, timeout time.Duration) *answerWriter {
	return &answerWriter{w: w, control: http.NewResponseController(w), timeout: timeout}
}

// Head begins the answer.
func (a *answerWriter) Head(status int, contentType string) error {
	a.status = status
	a.contentType = contentType
	a.events = strings.HasPrefix(contentType, typeEventStream)
	if a.events {
		a.send()
	}
	return nil
}

// Chunk adds to the answer. Events go to the caller at once.
func (a *answerWriter) Chunk(data []byte) error {
	if !a.sent && len(a.held)+len(data) <= heldBytes {
		a.held = append(a.held, data...)
		return nil
	}
	if err := a.control.SetWriteDeadline(time.Now().Add(a.timeout)); err != nil {
		return err
	}
	if !a.sent {
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

// Restart takes back an answer of which nothing has left yet.
func (a *answerWriter) Restart() bool {
	if a.sent {
		return false
	}
	a.held = nil
	return true
}

// send writes the head and what was held back.
func (a *answerWriter) send() {
	a.sent = true
	if a.contentType != "" {
		a.w.Header().Set("Content-Type", a.contentType)
	}
	a.w.WriteHeader(a.status)
	_, _ = a.w.Write(a.held)
	a.held = nil
}

// finish ends the answer. One that is not whole never looks so: it becomes an
// error, ends with an error event, or its connection is cut.
func (a *answerWriter) finish(failure *carawaybeam.RequestError) {
	switch {
	case failure == nil && !a.sent:
		if a.status == 0 {
			a.status = http.StatusOK
		}
		a.w.Header().Set("Content-Length", strconv.Itoa(len(a.held)))
		a.send()
	case failure == nil:
	case !a.sent:
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

// checkJSON tells whether the body is one JSON object.
func checkJSON(body []byte) error {
	var object map[string]json.RawMessage
	return json.Unmarshal(body, &object)
}
