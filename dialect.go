package carawaybeam

import (
	"net/http"
	"time"
)

type (
	// PromptPart is one part of a prompt. Prompts that begin with the same parts
	// share them in a prefix cache.
	PromptPart struct {
		ID     string
		Tokens Tokens
	}

	// ClientRequest is a request as a client sent it.
	ClientRequest struct {
		ID     RequestID
		Method string
		Host   string
		// Target is the path and query, unmodified.
		Target string
		// Header holds the header fields that are forwarded unmodified to the
		// backend server.
		Header http.Header
		Body   []byte
		Key    APIKey
		// Timeout is how long the client waits for the answer, or 0 if the
		// request does not state it.
		Timeout time.Duration
		// After is the last event that the client has received, or 0.
		After EventID
		// Prompt is the length of the prompt. MaxAnswer is the longest answer
		// that the model may generate.
		Prompt    Tokens
		MaxAnswer Tokens
		// AnswerHint is the client's estimate of the length of the answer, or 0. It is
		// often far off.
		AnswerHint Tokens
		Parts      []PromptPart
		// Conditional is set if the client names backend servers which may not run the
		// request, such as those with another version. They answer as misdirected
		// ones do.
		Conditional bool
	}

	// Forwarding holds what the load balancer adds to a request that it forwards
	// to a backend server.
	Forwarding struct {
		// Backend is the only backend server that may run the request.
		Backend      BackendID
		Organisation OrganisationID
		// TimeLeft is how long the backend server may work on the request.
		TimeLeft time.Duration
		// Priority is lower for more urgent requests.
		Priority int
		// After is the last event that the client has received, or 0.
		After EventID
	}

	// ReplyHead holds the status and header of a backend server's answer.
	ReplyHead struct {
		// Request is the request that the backend server says it answers.
		Request RequestID
		Status  int
		// Header holds the header fields that are forwarded unmodified to the
		// client.
		Header http.Header
		// NotRun proves that the backend server has not run the request and
		// never will.
		NotRun bool
		// Misdirected is set when a backend server other than the expected one
		// answers.
		Misdirected bool
		// Sealed is set when the answer carries the backend server's signature.
		Sealed bool
		// Encoded is set when the body was encoded on the way, such as
		// compressed, and differs from what the backend server sent.
		Encoded bool
		// FaultyBackend is the backend server that caused a refusal, or empty.
		FaultyBackend BackendID
		// IdleTimeout is how long the backend server keeps an idle connection
		// open, or 0 if it does not say.
		IdleTimeout time.Duration
		Signals     BackendSignals
	}

	// BackendSignals is what a backend server says of itself in an answer.
	BackendSignals struct {
		// Limit is how many requests per second the backend server takes from
		// all processes together, or nil if it names no limit.
		Limit *RequestRate
		// Leaving is set once the backend server is about to stop.
		Leaving bool
		// RetryAfter is how long the backend server, which refused the request,
		// wants no other one from this process, or 0.
		RetryAfter time.Duration
		// Invalid holds the header fields whose values cannot be decoded, as
		// "name: value". They count as absent.
		Invalid []string
		// Unknown holds the names of header fields that look like signals but
		// are not known.
		Unknown []string
	}

	// Dialect decodes and encodes the messages and store objects of one
	// platform. It makes no decisions.
	Dialect interface {
		// RoutingObject returns the kind and name of the store object that
		// holds the routing configuration.
		RoutingObject() (StoreKind, string)
		// DecodeRouting decodes a routing configuration.
		DecodeRouting(value []byte) (Routing, error)
		// InstanceKind returns the kind of the store objects with which backend
		// servers announce themselves.
		InstanceKind() StoreKind
		// DecodeInstance decodes the announcement of a backend server.
		DecodeInstance(object Object) (Instance, error)
		// DecodeAnnouncement decodes the announcement of a backend server, and what it
		// says of how long the backend server stays cold.
		DecodeAnnouncement(object Object) (Instance, ColdReport, error)
		// EvacuationKind returns the kind of the store objects whose names are the
		// evacuated data centres.
		EvacuationKind() StoreKind
		// DecodeRequest decodes a client's request, except for its body.
		DecodeRequest(r *http.Request) (ClientRequest, error)
		// EncodeForwarding returns the header of the request that is sent to a
		// backend server.
		EncodeForwarding(request *ClientRequest, forwarding Forwarding) http.Header
		// DecodeReply decodes the status and header of a backend server's
		// answer.
		DecodeReply(status int, header http.Header) ReplyHead
		// EncodeFailure returns the HTTP status and header that report a failed
		// request to the client.
		EncodeFailure(failure *RequestError) (int, http.Header)
	}
)
