package dispatcher

import (
	"fmt"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/finisher"
)

// kindOf groups a request with those that take about as long.
func kindOf(request Request) finisher.Kind { return finisher.Kind(request.Class.ID) }

// forecast compares the request, if it is sent now, with the time that the process has left.
// answer is nil before the first attempt.
func (d *Dispatcher) forecast(request Request, answer *answerState) finisher.Forecast {
	compared := finisher.Request{Kind: kindOf(request), Deadline: request.Deadline}
	if answer != nil && answer.headSent {
		compared.Begun = answer.begun
	}
	return d.options.Finisher.Forecast(compared)
}

// stoppingError returns the error of a request that would be cut off by the end of the process.
// Another entry can serve it.
func (d *Dispatcher) stoppingError(request Request, forecast finisher.Forecast) *carawaybeam.RequestError {
	d.options.Log.Info().Str("request", string(request.ID)).Str("class", string(request.Class.ID)).
		Dur("timeLeft", forecast.TimeLeft).Dur("longest", forecast.Longest).Int("samples", forecast.Samples).
		Msg("dispatcher: request is refused, as the process would end before it")
	return carawaybeam.NotRun(
		carawaybeam.ReasonLeaving,
		fmt.Sprintf("request may take %v and the entry ends in %v", forecast.Longest, forecast.TimeLeft),
		defaultRetryAfter,
	)
}
