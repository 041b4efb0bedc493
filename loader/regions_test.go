package loader_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/loader"
)

// TestRegions guards against a data centre whose region is lost, empty or not a text.
func TestRegions(t *testing.T) {
	for regions, valid := range map[string]bool{
		"a = \"north\"\n\"b.1\" = \"south\"": true,
		"a = \"\"":                           false,
		"\"\" = \"north\"":                   false,
		"a = 3":                              false,
		"a = \"" + strings.Repeat("x", 300) + "\"": false,
	} {
		is := is.New(t)
		file := filepath.Join(t.TempDir(), "entry.toml")
		is.NoErr(os.WriteFile(file, []byte(directEntry+"\n[regions]\n"+regions+"\n"), 0o600))
		settings, err := loader.LoadEntry(file)
		is.Equal(err == nil, valid)
		if valid {
			is.Equal(settings.Regions["a"], carawaybeam.Region("north"))
			is.Equal(settings.Regions["b.1"], carawaybeam.Region("south"))
		} else {
			is.True(strings.Contains(err.Error(), "regions"))
		}
	}
}
