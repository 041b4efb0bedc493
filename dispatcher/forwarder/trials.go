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

// trials holds the keys of the trials that are running. The zero value is ready to use.
type trials struct {
	mu      sync.Mutex
	running map[quarantiner.Fingerprint]struct{}
}

// begin reports whether a trial with the key may run. If so, end must be called.
func (t *trials) begin(key quarantiner.Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, runs := t.running[key]; runs {
		return false
	}
	if t.running == nil {
		t.running = make(map[quarantiner.Fingerprint]struct{})
	}
	t.running[key] = struct{}{}
	return true
}

func (t *trials) end(key quarantiner.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, key)
}

// attemptOnTrial makes an attempt. If the request or a part of its prompt is on trial, it makes the
// attempt only if this entry conducts the trial and no other attempt with the same key is
// running, and after the other entries had time to share the last crash. The process may have been
// told to stop meanwhile.
func (f *Forwarder) attemptOnTrial(
	ctx context.Context,
	p *pendingRequest,
	decision carawaybeam.RouteDecision,
) result {
	end, begun := f.beginTrials(ctx, p.fingerprints())
	defer end()
	if !begun {
		return result{failure: onTrialError(), final: true}
	}
	forecast := f.forecast(p)
	if !forecast.InTime() {
		return result{failure: f.stoppingError(p, forecast), final: true}
	}
	f.logForecast(p, forecast)
	f.logCrashes(p)
	return f.attemptHedged(ctx, p, decision)
}

// beginTrials begins the trials of those of the fingerprints that need one, and reports whether the request
// may run. Other entries had time to share the last crash then. The returned function ends the trials.
func (f *Forwarder) beginTrials(ctx context.Context, fingerprints []quarantiner.Fingerprint) (end func(), begun bool) {
	keys := make(map[quarantiner.Fingerprint]struct{})
	end = func() {
		for key := range keys {
			f.trials.end(key)
		}
	}
	for _, fingerprint := range fingerprints {
		if !f.needsTrial(fingerprint) {
			continue
		}
		key := f.options.Quarantiner.TrialKey(fingerprint)
		if !f.conductsTrial(fingerprint, key) {
			return end, false
		}
		if _, ok := keys[key]; !ok {
			if !f.trials.begin(key) {
				return end, false
			}
			keys[key] = struct{}{}
		}
		f.awaitShared(ctx, fingerprint)
		if f.options.Quarantiner.Status(fingerprint) == quarantiner.Quarantined {
			return end, false
		}
	}
	return end, true
}

// needsTrial reports whether requests with the fingerprint may run only one at a time. A part of a
// prompt needs a trial after its first crash, because many requests may have it.
func (f *Forwarder) needsTrial(fingerprint quarantiner.Fingerprint) bool {
	switch f.options.Quarantiner.Status(fingerprint) {
	case quarantiner.OnTrial:
		return true
	case quarantiner.Suspect:
		return fingerprint.IsPart()
	}
	return false
}

// conductsTrial reports whether this entry may send a request on trial, whose trials have the key. Each
// entry tries a part of a prompt that was in few crashes.
func (f *Forwarder) conductsTrial(fingerprint, key quarantiner.Fingerprint) bool {
	return f.options.Quarantiner.Status(fingerprint) == quarantiner.Suspect || f.options.ConductsTrial(key)
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
