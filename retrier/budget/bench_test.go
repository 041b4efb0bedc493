package budget_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/retrier/budget"
)

func BenchmarkRetry(b *testing.B) {
	for _, classes := range []int{2, 8, 29, 100} {
		b.Run(fmt.Sprintf("classes=%d", classes), func(b *testing.B) {
			r := budget.New()
			random := rand.New(rand.NewPCG(1, 0))
			requests := make([]carawaybeam.RetryRequest, classes)
			for i := range requests {
				requests[i] = failed(notRun, true, 1)
				requests[i].Class.ID = carawaybeam.ClassID(fmt.Sprintf("class-%d", i))
			}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				request := requests[i%classes]
				r.CountFirstAttempt(now, request.Class.ID)
				r.Retry(now, request, random)
				i++
			}
		})
	}
}
