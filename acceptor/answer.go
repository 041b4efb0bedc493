package acceptor

import (
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// answerWriter writes one answer to a client. The client must receive each part
// within the timeout.
type answerWriter struct {
	w           http.ResponseWriter
	control     *http.ResponseController
	timeout     time.Duration
	headWritten bool
	// interrupted is set by Interrupt.
	interrupted atomic.Bool
}

// errInterrupted reports that an answer was ended before the client had it.
var errInterrupted = errors.New("answer was interrupted")

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
	if err := a.extend(); err != nil {
		return err
	}
	a.w.WriteHeader(status)
	return nil
}

// Write writes a part of the body. It may be buffered until Flush.
func (a *answerWriter) Write(data []byte) (int, error) {
	if err := a.extend(); err != nil {
		return 0, err
	}
	return a.w.Write(data)
}

// extend begins the time in which the client must receive a part.
func (a *answerWriter) extend() error {
	if err := a.control.SetWriteDeadline(time.Now().Add(a.timeout)); err != nil {
		return err
	}
	// Interrupt may have come before the new deadline.
	if a.interrupted.Load() {
		a.Interrupt()
		return errInterrupted
	}
	return nil
}

// Interrupt makes a Write or Flush of another goroutine, and all later ones, fail.
func (a *answerWriter) Interrupt() {
	a.interrupted.Store(true)
	// If it fails, the connection has ended.
	_ = a.control.SetWriteDeadline(time.Unix(1, 0))
}

// Flush sends all buffered data to the client.
func (a *answerWriter) Flush() error {
	if err := a.extend(); err != nil {
		return err
	}
	return a.control.Flush()
}
