package forwarder_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
)

// promptRequest returns a request for a stream whose prompt has the parts, and behind them one of
// its own.
func promptRequest(n int, parts ...string) *carawaybeam.ClientRequest {
	r := request(carawaybeam.RouteStream)
	r.ID, r.Body = carawaybeam.RequestID(fmt.Sprint("id", n)), fmt.Append(nil, "body", n)
	for _, part := range append(parts, fmt.Sprint("own", n)) {
		r.Parts = append(r.Parts, carawaybeam.PromptPart{ID: part, Tokens: 100})
	}
	return r
}

// restart starts all backend servers again, as new incarnations.
func (env *environment) restart() {
	for i := range env.instances {
		env.instances[i].Started++
	}
}

// TestCrashingPartIsRefused guards against requests being sent on that have a part in common
// which crashes the backend servers that begin to answer it, though no two requests are alike.
func TestCrashingPartIsRefused(t *testing.T) {
	is := is.New(t)
	env := newEnvironment(broken(), broken(), broken(), broken(), broken(), broken(), broken(), broken())
	env.refusing = "10.0.0.1:80"
	for n := range 8 {
		_, failure := env.serve(promptRequest(n, "first", "crashing"))
		is.True(failure != nil)
		env.restart()
	}
	is.True(len(env.sender.sent) <= 3)
}
