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
			heads := prefixer.Split(make([]byte, tokens*4))
			for i := range 8 {
				table.Add(carawaybeam.BackendID(fmt.Sprintf("b%d", i)), heads)
			}
			b.ReportAllocs()
			for b.Loop() {
				table.Lookup(heads)
			}
		})
	}
}

// BenchmarkTable gives the bytes that a full table takes for each head.
func BenchmarkTable(b *testing.B) {
	for _, heads := range []int{1 << 12, 1 << 13, 1 << 14, 1 << 15} {
		b.Run(fmt.Sprintf("heads=%d", heads), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table := prefixer.New(heads)
				for i := range heads {
					prefix := []prefixer.Prefix{{Hash: prefixer.Hash(i), Tokens: 256}}
					table.Add("b1", prefix)
					table.Add("b2", prefix)
				}
			}
		})
	}
}
