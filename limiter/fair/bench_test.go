package fair_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/limiter/fair"
)

func BenchmarkAdmit(b *testing.B) {
	for _, organisations := range []int{10, 100, 1000, 2800} {
		for _, wait := range []time.Duration{0, time.Second} {
			name := fmt.Sprintf("organisations=%d/wait=%v", organisations, wait)
			b.Run(name, func(b *testing.B) {
				l := fair.New()
				requests := make([]carawaybeam.AdmitRequest, organisations)
				for i := range requests {
					requests[i] = newRequest(fmt.Sprintf("org-%d", i), 100*time.Millisecond+wait, uint64(i))
				}
				now := time.Unix(1000, 0)
				i := 0
				b.ReportAllocs()
				for b.Loop() {
					// 100 requests per second is the most that one of many
					// entries receives.
					now = now.Add(10 * time.Millisecond)
					l.Admit(now, requests[i%organisations])
					i++
				}
			})
		}
	}
}

func BenchmarkAdmitClasses(b *testing.B) {
	for _, classes := range []int{2, 8, 29, 100} {
		b.Run(fmt.Sprintf("classes=%d", classes), func(b *testing.B) {
			l := fair.New()
			requests := make([]carawaybeam.AdmitRequest, classes)
			for i := range requests {
				requests[i] = newRequest("org", 100*time.Millisecond, uint64(i))
				requests[i].Class.ID = carawaybeam.ClassID(fmt.Sprintf("class-%d", i))
			}
			now := time.Unix(1000, 0)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(10 * time.Millisecond)
				l.Admit(now, requests[i%classes])
				i++
			}
		})
	}
}
