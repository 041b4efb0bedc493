package adopter_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/configurer/adopter"
)

// TestNeverGoesBack checks that only newer configurations come into force, and
// that the last one is kept if the object is older, malformed, deleted or of
// another name.
func TestNeverGoesBack(t *testing.T) {
	is := is.New(t)
	a := adopter.New(adopter.Options{
		Name: "main",
		Decode: func(value []byte) (carawaybeam.Routing, error) {
			var routing carawaybeam.Routing
			return routing, json.Unmarshal(value, &routing)
		},
		Log: zerolog.Nop(),
	})
	is.True(a.Current() == nil)
	steps := []struct {
		object carawaybeam.Object
		want   carawaybeam.ConfigVersion
	}{
		{carawaybeam.Object{Name: "main", Value: []byte(`{"Version":5}`)}, 5},
		{carawaybeam.Object{Name: "main", Value: []byte(`{"Version":4}`)}, 5},
		{carawaybeam.Object{Name: "other", Value: []byte(`{"Version":9}`)}, 5},
		{carawaybeam.Object{Name: "main", Value: []byte(`spoilt`)}, 5},
		{carawaybeam.Object{Name: "main", Deleted: true}, 5},
		{carawaybeam.Object{Name: "main", Value: []byte(`{"Version":17}`)}, 17},
	}
	for _, step := range steps {
		a.Apply([]carawaybeam.Object{step.object})
		is.Equal(a.Current().Version(), step.want)
	}
	a.Replace(nil)
	is.Equal(a.Current().Version(), carawaybeam.ConfigVersion(17))
}
