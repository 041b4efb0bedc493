package carawaybeam

import (
	"context"
	"io"
	"time"
)

type (
	// BackendRequest is one attempt of a request as it is sent to a backend
	// server.
	BackendRequest struct {
		// Attempt identifies the attempt.
		Attempt AttemptID
		// Method and Path are those of the HTTP request.
		Method string
		Path   string
		// ContentType is the media type of Body.
		ContentType string
		Body        []byte
		// Priority is higher for more urgent requests.
		Priority int
		// Resume is the number of answer bytes that an earlier attempt has
		// already delivered. The backend server continues after them.
		Resume Bytes
	}

	// BackendResponse is the response of a backend server. The caller of
	// Backend.Start must close Body.
	BackendResponse struct {
		Status      int
		ContentType string
		Body        io.ReadCloser
		// Resumed is the number of bytes behind which the backend server says that it
		// continues the answer, or 0.
		Resumed Bytes
		Signals BackendSignals
	}

	// Load is the load that a backend server reports.
	Load struct {
		// Running is the number of requests being served.
		Running int
		// Waiting is the number of requests queued in the backend server.
		Waiting int
		// WaitingTokens is the sum of the prompt tokens of queued requests.
		WaitingTokens Tokens
	}

	// Backend is a client of one backend server.
	Backend interface {
		// Start sends the request and returns once the response begins.
		// Cancelling ctx cancels the request. An error that wraps
		// *NotSentError proves that the backend server did not receive the
		// request.
		Start(ctx context.Context, call BackendRequest) (*BackendResponse, error)
		// Load returns the current load of the backend server, and what it says of
		// itself in this answer.
		Load(ctx context.Context) (Load, BackendSignals, error)
	}

	// BackendOptions configures a Backend plug-in.
	BackendOptions struct {
		// URL is the base address of the backend server.
		URL string
		// ConnectTimeout is the timeout for establishing a connection.
		ConnectTimeout time.Duration
	}
)

// NotSentError reports that a request did not reach the backend server, so that
// it certainly did not run.
type NotSentError struct {
	// Cause is the error that prevented sending.
	Cause error
}

func (e *NotSentError) Error() string {
	return "request was not sent to the backend server: " + e.Cause.Error()
}

func (e *NotSentError) Unwrap() error { return e.Cause }

// InvalidAnswerError reports an answer that is not a valid HTTP response, so that nothing of it may
// be used. The request may have run.
type InvalidAnswerError struct {
	// Defect is what is wrong with the answer.
	Defect string
}

func (e *InvalidAnswerError) Error() string {
	return "answer is not a valid HTTP response: " + e.Defect
}
