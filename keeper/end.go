package keeper

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// PartyClient is the client of the connection.
	PartyClient Party = "client"
	// PartyEntry is this process.
	PartyEntry Party = "entry"
	// PartyBackend is the backend server that gave the answer.
	PartyBackend Party = "backend"
)

const (
	// CauseClosed means that the connection was closed or reset.
	CauseClosed Cause = "closed"
	// CauseIdle means that the connection was idle for longer than its limit.
	CauseIdle Cause = "idle"
	// CauseReadTimeout means that the client did not send a request in time.
	CauseReadTimeout Cause = "readTimeout"
	// CauseWriteTimeout means that the client did not receive an answer in time.
	CauseWriteTimeout Cause = "writeTimeout"
	// CauseOverload means that the connection made less progress than others when there were
	// too many, or that there was no memory for its request.
	CauseOverload Cause = "overload"
	// CauseStopped means that the process stopped serving.
	CauseStopped Cause = "stopped"
	// CausePanic means that the handler of the request panicked.
	CausePanic Cause = "panic"
	// CauseIncomplete means that an answer of which the client has a part cannot be
	// completed.
	CauseIncomplete Cause = "incomplete"
)

type (
	// Party is a side of a request.
	Party string

	// Cause is the cause for which a connection was ended.
	Cause string

	// End tells who ended a connection and why. It is the zero value for a connection
	// that has not ended.
	End struct {
		By    Party
		Cause Cause
	}

	connKey struct{}
)

// EndOf returns how the connection of a request ended, if it has.
func EndOf(ctx context.Context) End {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok || c == nil {
		return End{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end
}

// Guard calls serve for a request that was read and returns its error. A panic in serve is
// logged, and is returned as the error of a request that may have run.
func (k *Keeper) Guard(
	request carawaybeam.RequestID,
	serve func() *carawaybeam.RequestError,
) (failure *carawaybeam.RequestError) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		k.logPanic(request, cause)
		failure = &carawaybeam.RequestError{
			Outcome: carawaybeam.OutcomeUnknown, Reason: carawaybeam.ReasonInternal, Detail: "the entry failed",
		}
	}()
	return serve()
}

// logPanic logs a panic of a handler with its stack. request is empty if it is not known.
func (k *Keeper) logPanic(request carawaybeam.RequestID, cause any) {
	k.options.Log.Error().Str("request", string(request)).Str("panic", fmt.Sprint(cause)).
		Str("stack", string(debug.Stack())).Msg(k.options.Component + ": handler panicked")
}

// Interrupted logs and counts a request that was read and failed, if the client gets no
// complete answer. ctx is the context of the request. begun tells that the client has a part
// of the answer, which will not be completed.
func (k *Keeper) Interrupted(
	ctx context.Context,
	request carawaybeam.RequestID,
	failure *carawaybeam.RequestError,
	begun bool,
) {
	end := EndOf(ctx)
	switch {
	case end != (End{}):
	case !begun:
		return
	case failure.Reason == carawaybeam.ReasonInternal:
		end = End{By: PartyEntry, Cause: CausePanic}
	case ctx.Err() != nil:
		end = End{By: PartyEntry, Cause: CauseStopped}
	default:
		end = End{By: PartyBackend, Cause: CauseIncomplete}
	}
	k.options.Scope.Tagged(map[string]string{"by": string(end.By), "cause": string(end.Cause)}).
		Counter("requests_unanswered").Inc(1)
	k.options.Log.Info().Str("request", string(request)).Str("by", string(end.By)).
		Str("cause", string(end.Cause)).Bool("begun", begun).
		Msg(k.options.Component + ": request ended without a complete answer")
}
