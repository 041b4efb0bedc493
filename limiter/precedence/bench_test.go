package precedence_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/limiter/precedence"
)

func BenchmarkAdmit(b *testing.B) {
	for _, servers := range []int{12, 72, 3600} {
		for _, several := range []bool{false, true} {
			b.Run(fmt.Sprintf("servers=%d/several=%t", servers, several), func(b *testing.B) {
				candidates := make([]carawaybeam.Candidate, servers)
				for i := range candidates {
					candidates[i] = carawaybeam.Candidate{
						Backend:    carawaybeam.BackendID(fmt.Sprint("server-", i)),
						DataCentre: carawaybeam.DataCentre(fmt.Sprint("centre-", i*11/servers)),
						Slots:      simSlots, StepTime: 130 * time.Millisecond,
						Load: carawaybeam.Load{Running: 4 + i%7},
					}
				}
				limiter, gaps := precedence.New(), precedence.NewGaps()
				now := time.Unix(1000, 0)
				i := 0
				b.ReportAllocs()
				for b.Loop() {
					now = now.Add(20 * time.Millisecond)
					request := carawaybeam.AdmitRequest{
						Class: carawaybeam.Class{
							Pool: "pool", Targets: carawaybeam.Targets{FirstToken: time.Second},
						},
						Organisation: "org", Fingerprint: uint64(i), Priority: i % 3, Prompt: 700,
						EventGap: 130 * time.Millisecond, EventGapTarget: 150 * time.Millisecond,
					}
					if several {
						for i := range candidates {
							gaps.Sustained(now, simEngine, &candidates[i])
						}
						request.Contention = carawaybeam.Contention{
							Several: true, MustComplete: true, TimeLeft: 8 * time.Second, Events: 19,
							Gap: 130 * time.Millisecond, Engine: simEngine, Chosen: "server-3",
							Candidates: candidates,
						}
					}
					limiter.Admit(now, request)
					i++
				}
			})
		}
	}
}

// BenchmarkService admits and releases requests for plain services, of ten routes and many sizes.
func BenchmarkService(b *testing.B) {
	for _, servers := range []int{12, 3600} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			candidates := make([]carawaybeam.Candidate, servers)
			for i := range candidates {
				candidates[i] = carawaybeam.Candidate{
					Backend:    carawaybeam.BackendID(fmt.Sprint("server-", i)),
					DataCentre: carawaybeam.DataCentre(fmt.Sprint("centre-", i*11/servers)),
					Slots:      simSlots, OwnRunning: i % 3,
				}
			}
			routes := make([]carawaybeam.RouteID, 10)
			for i := range routes {
				routes[i] = carawaybeam.RouteID(fmt.Sprint("route-", i))
			}
			limiter, now, i := precedence.New(), time.Unix(1000, 0), 0
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(5 * time.Millisecond)
				request := carawaybeam.AdmitRequest{
					Class: carawaybeam.Class{Pool: "desk", Targets: carawaybeam.Targets{Completed: time.Second}},
					Idle:  true, Organisation: "org", Fingerprint: uint64(i), Priority: i % 3,
					Contention: carawaybeam.Contention{
						Several: true, MustComplete: true, TimeLeft: 8 * time.Second, Route: routes[i%10],
						Unit: carawaybeam.WorkTokens, Work: float64(int(1) << (i % 12)),
						Chosen: "server-3", Candidates: candidates,
					},
				}
				limiter.Admit(now, request)
				request.Contention.Candidates = nil
				limiter.Release(now, request, time.Duration(20+i%7)*time.Millisecond)
				i++
			}
		})
	}
}

// BenchmarkSustained asks for the gaps of all candidates of a request, 10 s after a backend server that was slow left.
func BenchmarkSustained(b *testing.B) {
	for _, left := range []bool{false, true} {
		b.Run(fmt.Sprintf("left=%t", left), func(b *testing.B) {
			candidates := make([]carawaybeam.Candidate, 3600)
			for i := range candidates {
				candidates[i] = carawaybeam.Candidate{
					Backend: carawaybeam.BackendID(fmt.Sprint("server-", i)), StepTime: 130 * time.Millisecond,
				}
			}
			gaps, now := precedence.NewGaps(), time.Unix(1000, 0)
			if left {
				gaps.Sustained(now, simEngine, &carawaybeam.Candidate{Backend: "left", StepTime: time.Second})
			}
			now = now.Add(10 * time.Second)
			b.ReportAllocs()
			for b.Loop() {
				for i := range candidates {
					gaps.Sustained(now, simEngine, &candidates[i])
				}
			}
		})
	}
}
