package carawaybeam

import (
	"net/http"
	"time"
)

type (
	// PromptPart is one part of a prompt, in order. Prompts that begin with the
	// same parts share them.
	PromptPart struct {
		ID     string
		Tokens Tokens
	}

	// ClientRequest is a request as a client sent it.
	ClientRequest struct {
		ID     RequestID
		Method string
		Host   string
		// Target is path and query, byte for byte.
		Target string
		// Header holds what is passed on to the backend server as it came.
		Header http.Header
		Body   []byte
		Key    APIKey
		// Timeout is how long the client waits, or 0 where it did not tell.
		Timeout time.Duration
		// After is the last event that the client has, or 0.
		After EventID
		// Prompt and MaxAnswer are what a model has to read and may write.
		Prompt    Tokens
		MaxAnswer Tokens
		Parts     []PromptPart
	}

	// Forwarding is what the system adds to a request for a backend server.
	Forwarding struct {
		// Backend is the only backend server that may run the request.
		Backend      BackendID
		Organisation OrganisationID
		// TimeLeft is how long the backend server may work.
		TimeLeft time.Duration
		// Priority is lower for work that must not wait.
		Priority int
		// After is the last event that the client has, or 0.
		After EventID
	}

	// ReplyHead is what the head of a backend server's answer says.
	ReplyHead struct {
		// Request is the request that is answered, as the backend server says.
		Request RequestID
		Status  int
		// Header holds what is passed on to the client as it came.
		Header http.Header
		// NotRun proves that the backend server has not run the request and
		// never will.
		NotRun bool
		// Misdirected is set when another backend server than the expected one
		// answers.
		Misdirected bool
		// Sealed is set when the answer bears the backend server's signature.
		Sealed bool
		// Encoded is set when the body is not that of the backend server.
		Encoded bool
		// FaultyBackend is the backend server at fault for a refusal, or empty.
		FaultyBackend BackendID
		// IdleTimeout is how long the backend server keeps the connection open
		// without a request, or 0 where it does not tell.
		IdleTimeout time.Duration
	}

	// Dialect translates between a platform's messages and the types here. It
	// decides nothing.
	Dialect interface {
		// RoutingObject returns where the store holds the routing configuration.
		RoutingObject() (StoreKind, string)
		// DecodeRouting reads a routing configuration.
		DecodeRouting(value []byte) (Routing, error)
		// InstanceKind returns the kind under which backend servers announce
		// themselves.
		InstanceKind() StoreKind
		// DecodeInstance reads the announcement of a backend server.
		DecodeInstance(object Object) (Instance, error)
		// DecodeRequest reads a client's request without its body.
		DecodeRequest(r *http.Request) (ClientRequest, error)
		// EncodeForwarding returns the header of a request for a backend server.
		EncodeForwarding(request *ClientRequest, forwarding Forwarding) http.Header
		// DecodeReply reads the head of a backend server's answer.
		DecodeReply(status int, header http.Header) ReplyHead
		// EncodeFailure returns the status and header that tell a client how its
		// request failed.
		EncodeFailure(failure *RequestError) (int, http.Header)
	}
)
