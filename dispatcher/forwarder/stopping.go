package forwarder

import (
	"fmt"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/finisher"
)

// kind groups the request with those that take about as long.
func (p *pendingRequest) kind() finisher.Kind { return finisher.Kind(p.route.ID) }

// forecast compares the request, if it is sent now, with the time that the process has left.
func (f *Forwarder) forecast(p *pendingRequest) finisher.Forecast {
	request := finisher.Request{Kind: p.kind(), Answer: p.request.MaxAnswer, Deadline: p.deadline}
	if p.started {
		request.Begun = p.arrived.Add(p.firstPart)
	}
	return f.options.Finisher.Forecast(request)
}

// stoppingError returns the error of a request that would be cut off by the end of the process.
// Another entry can serve it.
func (f *Forwarder) stoppingError(p *pendingRequest, forecast finisher.Forecast) *carawaybeam.RequestError {
	f.logForecast(p, forecast)
	return carawaybeam.NotRun(
		carawaybeam.ReasonLeaving,
		fmt.Sprintf("request may take %v and the entry ends in %v", forecast.Longest, forecast.TimeLeft),
		shortRetryAfter,
	)
}

// logForecast logs whether a request is sent that arrived, or is to be sent again, while the
// process stops.
func (f *Forwarder) logForecast(p *pendingRequest, forecast finisher.Forecast) {
	if !forecast.Stopping {
		return
	}
	f.options.Log.Info().Str("request", string(p.request.ID)).Int("tries", p.attempts).
		Str("route", string(p.route.ID)).Dur("timeLeft", forecast.TimeLeft).Dur("longest", forecast.Longest).
		Int("samples", forecast.Samples).Dur("toDeadline", time.Until(p.deadline)).Bool("sent", forecast.InTime()).
		Msg("forwarder: request is compared with the time left while the process stops")
}
