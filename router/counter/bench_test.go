package counter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/router/counter"
)

func BenchmarkFill(b *testing.B) {
	for _, requests := range []int{0, 4, 16, 64} {
		b.Run(fmt.Sprintf("running=%d", requests), func(b *testing.B) {
			c := counter.New()
			now := time.Unix(1000, 0)
			for i := range requests {
				c.Add(now.Add(time.Duration(i)*100*time.Millisecond), "b1", 100)
			}
			candidate := carawaybeam.Candidate{Backend: "b1"}
			b.ReportAllocs()
			for b.Loop() {
				c.Fill(now.Add(10*time.Second), now.Add(9*time.Second), &candidate)
			}
		})
	}
}
