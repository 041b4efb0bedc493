package loader_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/carawaybeam/carawaybeam/loader"
	_ "github.com/carawaybeam/carawaybeam/registrar"
)

// FuzzLoadEntry checks that every file is either accepted or refused with an error
// of type *Error that names the file.
func FuzzLoadEntry(f *testing.F) {
	for _, example := range []string{"entry-kitami.toml", "agent-drafting-1.toml"} {
		data, err := os.ReadFile(filepath.Join("../examples/kitami", example))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("process = 1"))
	f.Add([]byte("[store]\nurl = \"http://\"\n[store]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		file := filepath.Join(t.TempDir(), "settings.toml")
		if err := os.WriteFile(file, data, 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := loader.LoadEntry(file)
		var refused *loader.Error
		if err != nil && (!errors.As(err, &refused) || refused.File != file) {
			t.Errorf("error is not typed or names no file: %v", err)
		}
	})
}
