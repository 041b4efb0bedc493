package carawaybeam

import (
	"context"
	"io"
	"time"
)

type (
	// BackendRequest is one request as it is put to a backend server.
	BackendRequest struct {
		// Attempt identifies the try.
		Attempt AttemptID
		// Method and Path are those of the HTTP request.
		Method string
		Path   string
		// ContentType is the media type of Body.
		ContentType string
		Body        []byte
		// Priority is higher for work that must not wait.
		Priority int
		// Resume is the number of answer bytes delivered by an earlier try.
		// The backend server goes on behind them.
		Resume Bytes
	}

	// BackendResponse is what a backend server sends back. The reader closes Body.
	BackendResponse struct {
		Status      int
		ContentType string
		Body        io.ReadCloser
	}

	// Load is what a backend server reports of itself.
	Load struct {
		// Running counts calls being served.
		Running int
		// Waiting counts calls queued in the backend server.
		Waiting int
		// WaitingTokens counts the prompt tokens of queued calls.
		WaitingTokens Tokens
	}

	// Backend is a client of one backend server.
	Backend interface {
		// Start puts a call and returns once the answer begins. Cancelling ctx
		// cancels the call. An error that wraps *NotSentError proves that the
		// backend server never saw the call.
		Start(ctx context.Context, call BackendRequest) (*BackendResponse, error)
		// Load returns the present load.
		Load(ctx context.Context) (Load, error)
	}

	// BackendOptions is what a plug-in for backend servers is made from.
	BackendOptions struct {
		// URL is the base address of the backend server.
		URL string
		// ConnectTimeout bounds the time to connect.
		ConnectTimeout time.Duration
	}
)

// NotSentError proves that a backend server never saw a call.
type NotSentError struct {
	// Cause is why nothing was sent.
	Cause error
}

func (e *NotSentError) Error() string { return "call was not sent: " + e.Cause.Error() }

func (e *NotSentError) Unwrap() error { return e.Cause }
