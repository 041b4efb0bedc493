package forwarder_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

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
	tests := map[string]struct {
		answered []string
		// answers is the number of answers to other requests that the entry has seen.
		answers int
		// maxRuns is the maximum number of runs, and maxLate that of those later than 3 s
		// after the fifth.
		maxRuns, maxLate int
	}{
		"first part answered":     {answered: []string{"first"}, answers: 20, maxRuns: 2},
		"few answers":             {answered: []string{"first"}, maxRuns: 3},
		"all parts are new":       {maxRuns: 3},
		"crashing part was sound": {answered: []string{"first", "crashing"}, maxRuns: 5 + 3, maxLate: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newEnvironment()
				env.answer(t, -1, test.answered...)
				for n := range test.answers {
					env.answer(t, -2-n, "first")
				}
				env.sender.sent = nil
				env.refusing = "10.0.0.1:80"
				var fifth time.Time
				late := 0
				for n := range 12 {
					if test.maxLate > 0 { // Others that have the first part are answered meanwhile.
						env.answer(t, 100+n, "first")
						env.sender.sent = env.sender.sent[:len(env.sender.sent)-1]
					}
					before := len(env.sender.sent)
					env.sender.behaviours = []behaviour{broken(), broken()}
					_, failure := env.serve(promptRequest(n, "first", "crashing"))
					is.True(failure != nil)
					switch runs := len(env.sender.sent); {
					case !fifth.IsZero() && time.Since(fifth) > 3*time.Second:
						late += runs - before
					case fifth.IsZero() && runs >= 5:
						fifth = time.Now()
					}
					env.restart()
					time.Sleep(4 * time.Second)
				}
				is.True(late <= test.maxLate)
				is.True(len(env.sender.sent) <= test.maxRuns)
				env.answer(t, 200, "first", "another")
				env.answer(t, 201)
			})
		})
	}
}

// answer lets a backend server answer a request for a stream with the parts.
func (env *environment) answer(t *testing.T, n int, parts ...string) {
	t.Helper()
	env.sender.behaviours = []behaviour{whole("data: x\n\n")}
	if _, failure := env.serve(promptRequest(n, parts...)); failure != nil {
		t.Errorf("request with the parts %v was not answered: %v", parts, failure)
	}
}
