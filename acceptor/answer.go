package acceptor

import (
	"net/http"
	"strconv"
	"time"
)

// answerWriter writes one answer to a client. The client must receive each part
// within the timeout.
type answerWriter struct {
	w           http.ResponseWriter
	control     *http.ResponseController
	timeout     time.Duration
	headWritten bool
}

// Head writes the head of the answer. The length of its body is negative if it is
// unknown.
func (a *answerWriter) Head(status int, header http.Header, length int) error {
	a.headWritten = true
	for name, values := range header {
		a.w.Header()[name] = values
	}
	if header.Get("Content-Type") == "" {
		// A nil value stops net/http from detecting a type.
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

// Write writes a part of the body. It may be buffered until Flush.
func (a *answerWriter) Write(data []byte) (int, error) { return a.w.Write(data) }

// Flush sends all buffered data to the client.
func (a *answerWriter) Flush() error {
	if err := a.control.SetWriteDeadline(time.Now().Add(a.timeout)); err != nil {
		return err
	}
	return a.control.Flush()
}
