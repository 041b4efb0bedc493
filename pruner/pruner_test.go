package pruner_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam/pruner"
)

func TestPrune(t *testing.T) {
	tests := map[string]struct{ document, want string }{
		"shallow":            {`{"a":[1,{"b":2}]}`, ""},
		"deep array":         {`{"a":[1,[2,[3,[4]]],5]}`, `{"a":[1,[2,null],5]}`},
		"deep object":        {`{"a":{"b":{"c":{"d":1}}},"e":2}`, `{"a":{"b":{"c":null}},"e":2}`},
		"twice":              {`[[[[1]]],[[[2]]]]`, `[[[null]],[[null]]]`},
		"brackets in text":   {`["[[[[",{"a\"[[[[":"\\"}]`, ""},
		"ends too early":     {`[[[[[1]]`, `[[[null`},
		"ends in a string":   {`["a`, ""},
		"ends in an escape":  {`["\`, ""},
		"closed too often":   {`]]]]]`, ""},
		"an invalid part":    {`[1,[[[oops]]]]`, `[1,[[null]]]`},
		"nothing":            {``, ""},
		"empty at the limit": {`[[[]]]`, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pruned, changed := pruner.Prune([]byte(test.document), 3)
			is.Equal(changed, test.want != "")
			is.Equal(string(pruned), test.want)
		})
	}
}

// TestUnmarshalDeep checks that a document is decoded that encoding/json refuses for its depth.
func TestUnmarshalDeep(t *testing.T) {
	is := is.New(t)
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	var got struct {
		Name string
		Deep json.RawMessage
	}
	is.True(json.Unmarshal([]byte(`{"deep":`+deep+`,"name":"a"}`), &got) != nil)
	is.NoErr(pruner.Unmarshal([]byte(`{"deep":`+deep+`,"name":"a"}`), 100, &got))
	is.Equal(got.Name, "a")
	is.True(len(got.Deep) < 1000)
	is.True(pruner.Unmarshal([]byte(`{"deep":`+deep), 100, &got) != nil)
}

// FuzzPrune checks that pruning keeps valid documents valid and within the depth.
func FuzzPrune(f *testing.F) {
	f.Add([]byte(`{"a":[1,[2,[3,[4]]],5]}`), 3)
	f.Add([]byte(`["\"[",{"a\\":[[[]]]}]`), 1)
	f.Fuzz(func(t *testing.T, document []byte, maxDepth int) {
		maxDepth = 1 + max(0, maxDepth%64)
		pruned, changed := pruner.Prune(document, maxDepth)
		if !changed || !json.Valid(document) {
			return
		}
		if !json.Valid(pruned) {
			t.Fatalf("%q is pruned to %q", document, pruned)
		}
		if _, again := pruner.Prune(pruned, maxDepth); again {
			t.Fatalf("%q is pruned to %q, which is too deep", document, pruned)
		}
	})
}
