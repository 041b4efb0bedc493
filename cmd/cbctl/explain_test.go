package main

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/administrator"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/limiter/unlimited"
	"github.com/carawaybeam/carawaybeam/recorder"
	"github.com/carawaybeam/carawaybeam/retrier/proof"
	"github.com/carawaybeam/carawaybeam/router/leastinflight"
)

// recordTwoAttempts returns the records of a request whose first attempt failed and
// whose second one succeeded.
func recordTwoAttempts(t *testing.T, id carawaybeam.RequestID) *recorder.Explanation {
	t.Helper()
	r := recorder.New(recorder.Options{Process: "entry-2"})
	random := rand.New(rand.NewPCG(1, 1))
	candidates := []carawaybeam.Candidate{{Backend: "desk-1", DataCentre: "kitami"}}
	failure := &carawaybeam.RequestError{Outcome: carawaybeam.OutcomeNotRun, Reason: carawaybeam.ReasonBusy}
	now := time.Now()
	r.Router(leastinflight.Router{}).Route(now, carawaybeam.RouteRequest{Request: id}, candidates, random)
	r.Limiter(unlimited.Limiter{}).Admit(now, carawaybeam.AdmitRequest{
		Request: id, Class: carawaybeam.Class{ID: "drafting"}, Organisation: "town",
	})
	r.Attempted(id, 1, "desk-1", failure)
	r.Retrier(proof.Retrier{}).Retry(now, carawaybeam.RetryRequest{
		Request: id, Attempts: 1, Failure: failure, Deadline: now.Add(time.Minute),
	}, random)
	r.Attempted(id, 2, "desk-2", nil)
	r.Ended(id, "drafting", "town", nil)
	explanation, ok := r.Explain(id)
	if !ok {
		t.Fatal("request is not recorded")
	}
	return &explanation
}

// TestExplanationComesFromEntryWithRecord checks that the entry that cbctl calls finds
// the one entry that has a record of the request, though another one cannot be
// reached. Only if none has a record, the unreachable one is reported.
func TestExplanationComesFromEntryWithRecord(t *testing.T) {
	is := is.New(t)
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(refused.Close())
	b := newTestEntry(
		t,
		listen(t, "entry-1", "kitami", fakePeer{held: configurer.New()}),
		listen(t, "entry-2", "kitami", fakePeer{
			held: configurer.New(), records: map[string]*recorder.Explanation{"r1": recordTwoAttempts(t, "r1")},
		}),
		entryVM("entry-3", "abashiri", refused.Addr().String()),
	)
	code, out := b.run("explain", "r1")
	for end := time.Now().Add(waitLimit); code == exitNotRecorded && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
		code, out = b.run("explain", "r1")
	}
	is.Equal(code, exitDone)
	for _, part := range []string{
		"request r1 on entry entry-2",
		"admission: admitted; class drafting, organisation town",
		"routing: chose desk-1 of 1 candidates",
		"attempt 1 on desk-1: busy (notRun)",
		"retry after attempt 1 (busy, notRun), 1m0s left: another attempt after",
		"attempt 2 on desk-2: answered in full",
		"end: answered in full",
	} {
		is.True(strings.Contains(out, part)) // each decision must be printed
	}
	code, out = b.run("-json", "explain", "r1")
	is.Equal(code, exitDone)
	var explained administrator.ExplanationResult
	is.NoErr(json.Unmarshal([]byte(out), &explained))
	is.Equal(explained.Explanation.Request, carawaybeam.RequestID("r1"))
	is.Equal(len(explained.Explanation.Attempts), 2)

	code, out = b.run("explain", "r2")
	is.Equal(code, exitNotRecorded)
	is.True(strings.Contains(out, "no entry has a record of request r2: it is too old"))
	is.True(strings.Contains(out, "1 of 3 entries gave no answer: entry-3"))
	code, out = b.run("-json", "explain", "r2")
	is.Equal(code, exitNotRecorded)
	is.True(strings.Contains(out, `"explanation": null`))
	code, _ = b.run("explain")
	is.Equal(code, exitUsage)
	t.Setenv(envToken, "wrong")
	code, out = b.run("explain", "r1")
	is.Equal(code, exitFailed)
	is.True(strings.Contains(out, "token is missing or wrong"))
}
