package prefixer_test

import (
	"fmt"
	"testing"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/router/prefixer"
)

func BenchmarkSplit(b *testing.B) {
	for _, tokens := range []int{512, 2048, 8192, 32768} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			body := make([]byte, tokens*4)
			b.ReportAllocs()
			for b.Loop() {
				prefixer.Split(body)
			}
		})
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, tokens := range []int{512, 2048, 8192, 32768} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			table := prefixer.New(1 << 15)
			prefixes := prefixer.Split(make([]byte, tokens*4))
			for i := range 8 {
				table.Add(carawaybeam.BackendID(fmt.Sprintf("b%d", i)), prefixes)
			}
			b.ReportAllocs()
			for b.Loop() {
				table.Lookup(prefixes)
			}
		})
	}
}

// BenchmarkTable shows the memory that a full table needs per prefix.
func BenchmarkTable(b *testing.B) {
	for _, prefixes := range []int{1 << 12, 1 << 13, 1 << 14, 1 << 15} {
		b.Run(fmt.Sprintf("heads=%d", prefixes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table := prefixer.New(prefixes)
				for i := range prefixes {
					prefix := []prefixer.Prefix{{Hash: prefixer.Hash(i), Tokens: 256}}
					table.Add("b1", prefix)
					table.Add("b2", prefix)
				}
			}
		})
	}
}
