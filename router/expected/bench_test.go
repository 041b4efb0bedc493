package expected_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/router/expected"
)

func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{4, 12, 64, 256, 1024, 3600} {
		b.Run(fmt.Sprintf("candidates=%d", n), func(b *testing.B) {
			r := expected.New()
			random := rand.New(rand.NewPCG(1, 0))
			list := candidates(n)
			for i := range list {
				list[i].Load = carawaybeam.Load{Running: 8, Waiting: 1, WaitingTokens: 500}
			}
			request := carawaybeam.RouteRequest{Pool: "p", Prompt: 2000, Affinity: 7, Target: time.Second}
			now := time.Now()
			b.ReportAllocs()
			for b.Loop() {
				request.Affinity++
				r.Route(now, request, list, random)
			}
		})
	}
}

func BenchmarkObserve(b *testing.B) {
	r := expected.New()
	decision := carawaybeam.RouteDecision{
		Backend: "b1",
		Pool:    "p",
		Work:    carawaybeam.PendingWork{Tokens: 2000, Running: 8},
	}
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		r.Observe(now, decision, carawaybeam.RouteOutcome{FirstToken: 300 * time.Millisecond})
	}
}
