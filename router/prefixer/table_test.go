package prefixer_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/router/prefixer"
)

const block = 1024

func prompt(parts ...string) []byte {
	var b strings.Builder
	for _, part := range parts {
		b.WriteString(strings.Repeat(part, block))
	}
	return []byte(b.String())
}

func TestSplitChainsBlocks(t *testing.T) {
	is := is.New(t)
	one := prefixer.Split(prompt("a", "b", "c"))
	other := prefixer.Split(prompt("a", "b", "d"))
	swapped := prefixer.Split(prompt("b", "a", "c"))
	is.Equal(len(one), 3)
	is.Equal(one[:2], other[:2])
	is.True(one[2].Hash != other[2].Hash)
	is.True(one[1].Hash != swapped[1].Hash)
	is.Equal(one[2].Tokens, carawaybeam.Tokens(768))
	is.Equal(len(prefixer.Split([]byte("short"))), 0)
}

func TestAffinityCoversMostOfPrompt(t *testing.T) {
	is := is.New(t)
	first := prefixer.Affinity(prefixer.Split(prompt("a", "b", "c", "d")))
	grown := prefixer.Affinity(prefixer.Split(prompt("a", "b", "c", "d", "e")))
	other := prefixer.Affinity(prefixer.Split(prompt("a", "b", "c", "x")))
	is.Equal(first, grown)
	is.True(first != other)
	is.Equal(prefixer.Affinity(nil), uint64(0))
}

func TestLookupFindsLongestPrefix(t *testing.T) {
	is := is.New(t)
	table := prefixer.New(100)
	table.Add("b1", prefixer.Split(prompt("a", "b", "c")))
	table.Add("b2", prefixer.Split(prompt("a")))
	hits := table.Lookup(prefixer.Split(prompt("a", "b", "x")))
	is.Equal(hits, []prefixer.Hit{{Backend: "b1", Tokens: 512}, {Backend: "b2", Tokens: 256}})
}

func TestEventsCorrectTable(t *testing.T) {
	prefixes := prefixer.Split(prompt("a", "b"))
	tests := []struct {
		name   string
		events []prefixer.Event
		want   carawaybeam.Tokens
	}{
		{"none", nil, 512},
		{"evicted", []prefixer.Event{{Sequence: 1, Evicted: []prefixer.Hash{prefixes[1].Hash}}}, 256},
		{"cleared", []prefixer.Event{{Sequence: 1, Cleared: true}}, 0},
		{"clearedThenStored", []prefixer.Event{{Sequence: 1, Cleared: true, Stored: prefixes[:1]}}, 256},
		{"gap", []prefixer.Event{{Sequence: 1}, {Sequence: 5}}, 256},
		{"late", []prefixer.Event{{Sequence: 2}, {Sequence: 1, Cleared: true}}, 512},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			table := prefixer.New(100)
			table.Add("b1", prefixes)
			for _, event := range test.events {
				table.Apply("b1", event)
			}
			var got carawaybeam.Tokens
			for _, hit := range table.Lookup(prefixes) {
				got = hit.Tokens
			}
			is.Equal(got, test.want)
		})
	}
}

func TestForgetDropsBackend(t *testing.T) {
	is := is.New(t)
	table := prefixer.New(100)
	prefixes := prefixer.Split(prompt("a"))
	table.Add("b1", prefixes)
	table.Forget("b1")
	is.Equal(len(table.Lookup(prefixes)), 0)
	table.Add("b1", prefixes)
	is.Equal(len(table.Lookup(prefixes)), 1)
}

func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := prefixer.New(3)
	for i := range 100 {
		table.Add("b1", []prefixer.Prefix{{Hash: prefixer.Hash(i), Tokens: 1}})
	}
	is.Equal(table.Len(), 3)
	is.Equal(len(table.Lookup([]prefixer.Prefix{{Hash: 99, Tokens: 1}})), 1)
	is.Equal(len(table.Lookup([]prefixer.Prefix{{Hash: 1, Tokens: 1}})), 0)
}
