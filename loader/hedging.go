package loader

import "github.com/carawaybeam/carawaybeam"

// Hedging bounds the second attempts of slow requests, for each pool.
type Hedging struct {
	Ratio        float64               `toml:"ratio"        doc:"Second attempts for each request in 10 s. 0: none."`
	MinDelay     Duration              `toml:"minDelay"     doc:"Least time after which a second attempt is due."`
	ExceptRoutes []carawaybeam.RouteID `toml:"exceptRoutes" doc:"Routes without second attempts."`
}

func (s Hedging) validate() []problem {
	var problems []problem
	if !(s.Ratio >= 0 && s.Ratio <= 1) {
		problems = append(problems, problem{key: "direct.hedging.ratio", detail: "want a number from 0 to 1"})
	}
	if s.MinDelay < 0 {
		problems = append(problems, problem{key: "direct.hedging.minDelay", detail: "want no negative duration"})
	}
	return problems
}
