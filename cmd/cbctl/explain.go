package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/carawaybeam/carawaybeam/administrator"
	"github.com/carawaybeam/carawaybeam/recorder"
	"github.com/carawaybeam/carawaybeam/tracer"
)

// explain prints the recorded decisions about a request.
func (c *command) explain(args []string) error {
	if len(args) != 1 || args[0] == "" || strings.Contains(args[0], "/") {
		return usage("explain wants REQUEST")
	}
	var explained administrator.ExplanationResult
	if err := c.client.call(http.MethodGet, "/v1/requests/"+args[0]+"/explanation", nil, nil, &explained); err != nil {
		return err
	}
	if c.json {
		if err := c.printJSON(explained); err != nil {
			return err
		}
	}
	if len(explained.LogLines) > 0 {
		return c.printLines(explained.LogLines)
	}
	if explained.Explanation == nil {
		return newNotRecordedError(args[0], explained)
	}
	if c.json {
		return nil
	}
	return printExplanation(c.out, explained.Explanation)
}

// printLines prints log lines. It does nothing if the output is JSON, which already
// contains them.
func (c *command) printLines(lines []string) error {
	if c.json {
		return nil
	}
	_, err := fmt.Fprintln(c.out, strings.Join(lines, "\n"))
	return err
}

func newNotRecordedError(request string, explained administrator.ExplanationResult) error {
	detail := "no entry has a record of request " + request +
		": it is too old, was refused before its class was known, or its entry has been replaced"
	if len(explained.Unreachable) > 0 {
		detail += fmt.Sprintf("; %d of %d entries gave no answer: %s",
			len(explained.Unreachable), explained.Asked, strings.Join(explained.Unreachable, ", "))
	}
	return &exitError{code: exitNotRecorded, detail: detail}
}

func printExplanation(out io.Writer, e *recorder.Explanation) error {
	at := func(since tracer.Duration) string {
		return e.Start.Add(time.Duration(since)).UTC().Format("2006-01-02T15:04:05.000Z")
	}
	_, _ = fmt.Fprintf(out, "request %s on entry %s\n\n", e.Request, e.Process)
	printAdmission(out, e.Admission, at)
	if len(e.Routes) == 0 {
		_, _ = fmt.Fprintln(out, "routing: not recorded, or no longer")
	}
	for i := range e.Routes {
		if err := printRoute(out, &e.Routes[i], at); err != nil {
			return err
		}
	}
	for _, attempt := range e.Attempts {
		_, _ = fmt.Fprintf(out, "%s  attempt %d on %s: %s\n",
			at(attempt.At), attempt.Attempt, orNone(string(attempt.Backend)), outcomeText(attempt.Failure))
	}
	for _, retry := range e.Retries {
		decision := "no further attempt"
		if retry.Retry {
			decision = "another attempt after " + time.Duration(retry.Wait).String()
		}
		_, _ = fmt.Fprintf(out, "%s  retry after attempt %d (%s, %s), %s left: %s\n",
			at(retry.At), retry.Attempts, retry.Reason, retry.Outcome, time.Duration(retry.Left), decision)
	}
	if e.Outcome == nil {
		_, _ = fmt.Fprintln(out, "end: the request still runs, or its end is no longer recorded")
		return nil
	}
	_, _ = fmt.Fprintf(out, "%s  end: %s\n", at(e.Outcome.At), outcomeText(e.Outcome.Failure))
	return nil
}

func printAdmission(out io.Writer, admission *recorder.LimiterEvent, at func(tracer.Duration) string) {
	if admission == nil {
		_, _ = fmt.Fprintln(out, "admission: not recorded, or no longer")
		return
	}
	decision := "admitted"
	if !admission.Admitted {
		decision = "refused, come back after " + time.Duration(admission.RetryAfter).String()
	}
	_, _ = fmt.Fprintf(
		out,
		"%s  admission: %s; class %s, organisation %s, first token expected after %s (%s without load)\n",
		at(admission.At),
		decision,
		admission.Class,
		admission.Organisation,
		time.Duration(admission.Expected),
		time.Duration(admission.Unloaded),
	)
}

func printRoute(out io.Writer, route *recorder.RouterEvent, at func(tracer.Duration) string) error {
	_, _ = fmt.Fprintf(out, "%s  routing: chose %s of %d candidates, first token expected after %s\n",
		at(route.At), orNone(string(route.Chosen)), len(route.Candidates), time.Duration(route.Expected))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if len(route.Candidates) > 0 {
		_, _ = fmt.Fprintln(w, "  BACKEND\tDATA CENTRE\tRUNNING\tWAITING\tOWN\tREPORT AGE\tCACHED TOKENS")
	}
	for i := range route.Candidates {
		candidate := &route.Candidates[i]
		_, _ = fmt.Fprintf(w, "  %s\t%s\t%d\t%d\t%d\t%s\t%d\n",
			candidate.Backend, candidate.DataCentre, candidate.Running, candidate.Waiting, candidate.OwnRunning,
			time.Duration(candidate.ReportAge), candidate.CachedPrompt)
	}
	return w.Flush()
}

// outcomeText describes the end of an attempt or a request.
func outcomeText(failure *recorder.Failure) string {
	if failure == nil {
		return "answered in full"
	}
	text := fmt.Sprintf("%s (%s)", failure.Reason, failure.Outcome)
	if failure.Detail != "" {
		text += ": " + failure.Detail
	}
	return text
}

func orNone(name string) string {
	if name == "" {
		return "none"
	}
	return name
}
