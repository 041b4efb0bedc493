// Package verifier tells valid and complete HTTP responses from others. All clients of the project
// read responses through it, so that the same rules hold for each of them.
//
// The status of a response, and of an informational one before it, is at least 100 (RFC 9110, section
// 15). No request asks for another protocol, so that 101 is no response to it. The names of all fields,
// also of those in trailers, are tokens (RFC 9110, section 5.1). net/http accepts blanks in them, with
// which the length or coding of a body is overlooked.
//
// A response with neither a length nor chunks ends with its connection. It is complete only if the
// whole request was sent and neither direction of the connection failed (RFC 9112, section 8). A
// reset is reported to one direction only, and the other one finds the connection ended.
package verifier

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"unicode"

	"github.com/carawaybeam/carawaybeam"
)

// maxNameBytes is how much of an invalid name an error quotes.
const maxNameBytes = 64

type (
	// Transmission is the sending of a request, which may go on while its response is read.
	Transmission struct {
		once sync.Once
		// ended is closed after err has been set.
		ended chan struct{}
		err   error
	}

	// IncompleteError reports that a response which ends with its connection is not complete.
	IncompleteError struct {
		// Cause is the failure of sending the request.
		Cause error
	}

	// body is the body of a response.
	body struct {
		io.ReadCloser
		response *http.Response
		// sending is nil if the request was sent whole or the connection checks its own end.
		sending *Transmission
	}
)

func (e *IncompleteError) Error() string {
	return "connection ended before the request was sent: " + e.Cause.Error()
}

func (e *IncompleteError) Unwrap() error { return e.Cause }

// NewTransmission returns a Transmission that has not ended.
func NewTransmission() *Transmission { return &Transmission{ended: make(chan struct{})} }

// End records that the whole request has been written, or the error of doing so. Later calls do nothing.
func (t *Transmission) End(err error) {
	t.once.Do(func() {
		t.err = err
		close(t.ended)
	})
}

// Succeeded reports whether the whole request has been written.
func (t *Transmission) Succeeded() bool {
	select {
	case <-t.ended:
		return t.err == nil
	default:
		return false
	}
}

// wait waits until the Transmission has ended, and returns its error.
func (t *Transmission) wait() error {
	<-t.ended
	return t.err
}

// Check returns a *carawaybeam.InvalidAnswerError if the head of a response is invalid.
func Check(response *http.Response) error {
	status := response.StatusCode
	if status < http.StatusContinue || status == http.StatusSwitchingProtocols {
		return &carawaybeam.InvalidAnswerError{Defect: fmt.Sprintf("status is %03d", status)}
	}
	return checkNames(response.Header)
}

// checkNames returns an error if the name of a field is not a token.
func checkNames(header http.Header) error {
	for name := range header {
		if !isToken(name) {
			return &carawaybeam.InvalidAnswerError{
				Defect: fmt.Sprintf("name of the field %.*q is not a token", maxNameBytes, name),
			}
		}
	}
	return nil
}

// isToken reports whether a name is a token (RFC 9110, section 5.6.2).
func isToken(name string) bool {
	for _, c := range name {
		if c <= ' ' || c >= unicode.MaxASCII || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, c) {
			return false
		}
	}
	return name != ""
}

// Body returns the body of a response, whose Read returns io.EOF only if the response is complete and
// its trailers are valid. sending is nil if the whole request was sent before. Closing the connection
// must end it.
func Body(response *http.Response, sending *Transmission) io.ReadCloser {
	return &body{ReadCloser: response.Body, response: response, sending: sending}
}

// Read reads from the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if b.sending != nil && endsWithConnection(b.response) {
		if cause := b.sending.wait(); cause != nil {
			return n, &IncompleteError{Cause: cause}
		}
	}
	if invalid := checkNames(b.response.Trailer); invalid != nil {
		return n, invalid
	}
	return n, err
}

// endsWithConnection reports whether the end of the connection is that of the response.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && !response.Uncompressed &&
		len(response.TransferEncoding) == 0
}

// DecodeJSON decodes the JSON body of a response once it has been read whole. It returns an error if
// that is incomplete or longer than limit bytes.
func DecodeJSON(body io.Reader, limit int64, result any) error {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return err
	}
	if int64(len(data)) > limit {
		return fmt.Errorf("response is longer than %d bytes", limit)
	}
	return json.Unmarshal(data, result)
}
