package placer_test

import (
	"fmt"
	"testing"

	"github.com/carawaybeam/carawaybeam/fakes/sampler"
	"github.com/carawaybeam/carawaybeam/replayer/placer"
)

// BenchmarkPreference reports the skew and the cost of rebalancing for a range
// of skew preferences, on the traces of both users.
func BenchmarkPreference(b *testing.B) {
	for _, name := range []string{"winterDrift", "quarterSwings"} {
		events, _ := sampler.Generate(name, 1)
		seconds := events[len(events)-1].When().Seconds()
		for _, preference := range []float64{0, 0.1, 0.2, 0.3, 0.5, 0.7, 0.8, 0.9, 1} {
			policy := fmt.Sprintf("drift@%g", preference)
			b.Run(name+"/"+policy, func(b *testing.B) {
				for b.Loop() {
					result, err := placer.Run(events, policy)
					if err != nil {
						b.Fatal(err)
					}
					b.ReportMetric(result.MeanSkew, "meanSkew")
					b.ReportMetric(float64(result.Moves), "moves")
					b.ReportMetric(result.Delay.Seconds()/seconds, "delayShare")
				}
			})
		}
	}
}
