package forwarder_test

import (
	"math"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/dispatcher/forwarder"
	"github.com/carawaybeam/carawaybeam/limiter/precedence"
)

type (
	// admissionTest is what tests of admission change in an environment.
	admissionTest struct {
		limiter carawaybeam.Limiter
		options forwarder.Admission
		// reuse is set if all requests are served by one Forwarder, which is kept.
		reuse bool
		kept  *forwarder.Forwarder
	}

	// seenLimiter records the requests that it is asked about, and decides like the embedded one.
	seenLimiter struct {
		carawaybeam.Limiter
		seen     []carawaybeam.AdmitRequest
		released []carawaybeam.AdmitRequest
	}
)

func (l *seenLimiter) Release(now time.Time, request carawaybeam.AdmitRequest, took time.Duration) {
	l.released = append(l.released, request)
	l.Limiter.Release(now, request, took)
}

func (l *seenLimiter) Admit(now time.Time, request carawaybeam.AdmitRequest) carawaybeam.AdmitDecision {
	l.seen = append(l.seen, request)
	return l.Limiter.Admit(now, request)
}

// newForwarder returns a Forwarder with the options, changed as the environment says.
func (env *environment) newForwarder(options forwarder.Options) *forwarder.Forwarder {
	if env.admission.kept != nil {
		return env.admission.kept
	}
	if env.admission.limiter != nil {
		options.Limiter, options.Admission = env.admission.limiter, env.admission.options
	}
	f := forwarder.New(options)
	if env.admission.reuse {
		env.admission.kept = f
	}
	return f
}

// newAdmissionEnvironment returns an environment with two engines. The routes have the priorities 1, 2 and 3.
func newAdmissionEnvironment(behaviours ...behaviour) (*environment, *seenLimiter) {
	env := newEnvironment(behaviours...)
	for i := range env.routing.Routes {
		env.routing.Routes[i].Priority = i + 1
		env.routing.Routes[i].Timeout = 8 * time.Second
	}
	env.routing.Pools = []carawaybeam.Pool{{ID: "pool", Engine: &carawaybeam.EngineProfile{
		Slots: 4, StepsPerPass: 5, MeanAnswer: 100, PromptRate: 60_000,
		StepTime: 4 * time.Millisecond, SequenceTime: time.Millisecond,
	}}}
	env.instances[1].Address = "10.0.0.2:80"
	env.reports = make(map[carawaybeam.Address]func() (forwarder.Report, bool))
	env.setGap("10.0.0.1:80", 100*time.Millisecond)
	env.setGap("10.0.0.2:80", 100*time.Millisecond)
	limiter := &seenLimiter{Limiter: precedence.New()}
	env.admission = admissionTest{limiter: limiter, options: forwarder.Admission{Precedence: true}}
	return env, limiter
}

// setGap makes a backend server report a time between events.
func (env *environment) setGap(address carawaybeam.Address, gap time.Duration) {
	env.reports[address] = func() (forwarder.Report, bool) {
		return forwarder.Report{At: time.Now(), StepTime: gap, Load: carawaybeam.Load{Running: 1}}, true
	}
}

func admissionRequest(id string) *carawaybeam.ClientRequest {
	r := request(carawaybeam.RouteSafe)
	r.ID, r.Timeout = carawaybeam.RequestID(id), 6*time.Second
	return r
}

// The limiter must learn of the priority of the organisation, of the length of the answer and of the time
// left, and recognise a request that comes back with another identifier.
func TestLimiterLearnsOfContention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env, limiter := newAdmissionEnvironment(whole("x"), whole("x"), whole("x"))
		seven := 7
		env.routing.KeyHolders[0].Priority = &seven
		env.routing.KeyHolders = append(env.routing.KeyHolders, carawaybeam.KeyHolder{ID: "other"})
		hinted := admissionRequest("second")
		hinted.AnswerHint = 400
		short := admissionRequest("third")
		short.MaxAnswer = 50
		for _, r := range []*carawaybeam.ClientRequest{admissionRequest("first"), hinted, short} {
			_, failure := env.serve(r)
			is.True(failure == nil)
		}
		is.Equal(len(limiter.seen), 3)
		for i, events := range []float64{20, 40, 10} {
			seen := limiter.seen[i]
			is.Equal(seen.Priority, 7)
			is.Equal(seen.Fingerprint, limiter.seen[0].Fingerprint)
			is.True(seen.Contention.Several && seen.Contention.MustComplete && !seen.Contention.Probe)
			is.True(math.Abs(seen.Contention.Events-events) < 0.01)
			is.Equal(seen.Contention.TimeLeft, 6*time.Second)
			is.Equal(seen.Contention.Gap, 100*time.Millisecond)
			is.Equal(len(seen.Contention.Candidates), 2)
		}
	})
}

// The limiter must learn the route and the stated work of a request, since response times are compared between requests
// of a route and of similar work only.
func TestLimiterLearnsOfWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env, limiter := newAdmissionEnvironment()
		env.sender.behaviours = []behaviour{whole("x"), whole("x"), whole("x"), whole("x"), whole("x")}
		tests := []struct {
			change func(*carawaybeam.ClientRequest)
			unit   carawaybeam.WorkUnit
			work   float64
		}{
			{func(*carawaybeam.ClientRequest) {}, carawaybeam.WorkBytes, 4},
			{func(r *carawaybeam.ClientRequest) { r.Body = nil }, carawaybeam.WorkUnknown, 0},
			{func(r *carawaybeam.ClientRequest) { r.Prompt, r.MaxAnswer = 300, 90 }, carawaybeam.WorkPrompt, 300},
			{func(r *carawaybeam.ClientRequest) { r.Prompt, r.AnswerHint = 300, 70 }, carawaybeam.WorkTokens, 370},
			{
				func(r *carawaybeam.ClientRequest) { r.Prompt, r.AnswerHint, r.MaxAnswer = 300, 70, 20 },
				carawaybeam.WorkTokens, 320,
			},
		}
		for i, test := range tests {
			r := admissionRequest("id")
			test.change(r)
			_, failure := env.serve(r)
			is.True(failure == nil)
			seen := limiter.seen[i].Contention
			is.Equal(seen.Route, env.routing.Routes[0].ID)
			is.Equal(seen.Unit, test.unit)
			is.Equal(seen.Work, test.work)
			is.Equal(limiter.released[i].Contention.Work, test.work)
		}
	})
}

// The limiter must learn which requests were not answered, so that it doesn't take them for fast answers.
func TestLimiterLearnsOfFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		faulty := reply(http.StatusInternalServerError, strings.NewReader("x"), nil)
		env, limiter := newAdmissionEnvironment(whole("x"), faulty, broken(), whole("x"))
		for range 4 {
			r := admissionRequest("id")
			r.Target = "/unsafe/x" // It is not attempted again.
			_, _ = env.serve(r)
		}
		is.Equal(len(limiter.released), 4)
		for i, failed := range []bool{false, true, true, false} {
			is.Equal(limiter.released[i].Contention.Failed, failed)
		}
	})
}

// Pools with one priority, and other limiters, must get what they got before.
func TestLimiterWithoutContention(t *testing.T) {
	tests := map[string]func(*environment){
		"another limiter": func(env *environment) { env.admission.options = forwarder.Admission{} },
		"one priority": func(env *environment) {
			for i := range env.routing.Routes {
				env.routing.Routes[i].Priority = 1
			}
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env, limiter := newAdmissionEnvironment(whole("x"))
				change(env)
				_, failure := env.serve(admissionRequest("id"))
				is.True(failure == nil)
				seen := limiter.seen[0]
				is.Equal(seen.Priority, 0)
				is.Equal(seen.Fingerprint, uint64(0))
				is.Equal(len(seen.Contention.Candidates), 0)
				is.True(!seen.Contention.Several && !seen.Contention.MustComplete)
			})
		})
	}
}

// While a group is slow, requests must go to one on which they end in time. If there is none they are refused at
// once, with an explanation, and served again soon after the group has recovered.
func TestSlowGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env, _ := newAdmissionEnvironment()
		env.admission.reuse = true
		serve := func(id string) *carawaybeam.RequestError {
			time.Sleep(100 * time.Millisecond)
			env.sender.behaviours = []behaviour{whole("x"), whole("x")}
			_, failure := env.serve(admissionRequest(id))
			return failure
		}
		env.setGap("10.0.0.1:80", 2*time.Second)
		for range 20 {
			is.True(serve("one slow") == nil)
		}
		for range 20 {
			is.True(serve("one slow") == nil)
		}
		for _, forwarded := range env.forwarded[len(env.forwarded)-20:] {
			is.Equal(forwarded.Backend, carawaybeam.BackendID("b"))
		}
		env.setGap("10.0.0.2:80", 2*time.Second)
		var failure *carawaybeam.RequestError
		for range 20 {
			failure = serve("both slow")
		}
		is.True(failure != nil)
		is.Equal(failure.Outcome, carawaybeam.OutcomeNotRun)
		is.Equal(failure.RetryAfter, time.Duration(0))
		is.True(strings.Contains(failure.Detail, "refused as tooLate: priority 1"))
		env.setGap("10.0.0.2:80", 100*time.Millisecond)
		is.True(serve("recovered") == nil)
	})
}

// The gap that an idle group reports is that of its last requests. Once a second one request must measure it, or
// the group stays empty for ever.
func TestIdleSlowGroupIsMeasured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env, limiter := newAdmissionEnvironment()
		env.admission.reuse = true
		for _, address := range []carawaybeam.Address{"10.0.0.1:80", "10.0.0.2:80"} {
			env.reports[address] = func() (forwarder.Report, bool) {
				return forwarder.Report{At: time.Now(), StepTime: 2 * time.Second}, true
			}
		}
		served := 0
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			env.sender.behaviours = []behaviour{whole("x")}
			if _, failure := env.serve(admissionRequest("id")); failure == nil {
				served++
			}
		}
		probes := 0
		for _, seen := range limiter.seen[20:] {
			if seen.Contention.Probe {
				probes++
			}
		}
		is.True(probes >= 2 && probes <= 4) // In 3 s.
		is.True(served >= probes)
	})
}
