package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/quarantiner"
)

// trialRetryAfter is how long the caller of a request on trial should wait before it retries.
const trialRetryAfter = time.Second

// trials holds the requests on trial that are running. The zero value is ready to use.
type trials struct {
	mu      sync.Mutex
	running map[quarantiner.Fingerprint]struct{}
}

// begin reports whether the request may run. If so, end must be called.
func (t *trials) begin(fingerprint quarantiner.Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, runs := t.running[fingerprint]; runs {
		return false
	}
	if t.running == nil {
		t.running = make(map[quarantiner.Fingerprint]struct{})
	}
	t.running[fingerprint] = struct{}{}
	return true
}

func (t *trials) end(fingerprint quarantiner.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, fingerprint)
}

// attemptOnTrial makes an attempt. If the request is on trial, it makes the attempt only if
// this entry conducts the trial and no other attempt is running, and after the other entries
// had time to share the last crash.
func (f *Forwarder) attemptOnTrial(
	ctx context.Context,
	p *pendingRequest,
	decision carawaybeam.RouteDecision,
) result {
	if f.options.Quarantiner.Status(p.fingerprint) == quarantiner.OnTrial {
		if !f.options.ConductsTrial(p.fingerprint) || !f.trials.begin(p.fingerprint) {
			return result{failure: onTrialError()}
		}
		defer f.trials.end(p.fingerprint)
		f.awaitShared(ctx, p)
		if f.options.Quarantiner.Status(p.fingerprint) == quarantiner.Quarantined {
			return result{failure: onTrialError()}
		}
	}
	f.logCrashes(p)
	return f.attempt(ctx, p, decision)
}

// onTrialError returns the error of a request that must not run while another one with the
// same content does.
func onTrialError() *carawaybeam.RequestError {
	return carawaybeam.NotRun(
		carawaybeam.ReasonBusy,
		"request was running in crashes of backend servers and is tried elsewhere",
		trialRetryAfter,
	)
}
