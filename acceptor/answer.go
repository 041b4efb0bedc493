package acceptor

import (
	"net/http"
	"strconv"
	"time"
)

// answerWriter writes one answer to a client.
type answerWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	begun   bool
}

// Head begins an answer of the given length, or a negative one where it is not
// known.
func (a *answerWriter) Head(status int, header http.Header, length int) error {
	a.begun = true
	for name, values := range header {
		a.w.Header()[name] = values
	}
	if header.Get("Content-Type") == "" {
		// The HTTP server guesses no type then.
		a.w.Header()["Content-Type"] = nil
	}
	if length >= 0 {
		a.w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	if err := a.control.SetWriteDeadline(time.Now().Add(a.timeout)); err != nil {
		return err
	}
	a.w.WriteHeader(status)
	return nil
}

// Write adds to the answer.
func (a *answerWriter) Write(data []byte) (int, error) { return a.w.Write(data) }

// Flush sends what was written.
func (a *answerWriter) Flush() error {
	if err := a.control.SetWriteDeadline(time.Now().Add(a.timeout)); err != nil {
		return err
	}
	return a.control.Flush()
}
