package loader_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam/loader"
	_ "github.com/carawaybeam/carawaybeam/registrar"
)

const (
	settingsPage = "../docs/SETTINGS.md"

	// updateVariable is the environment variable that makes the test write the
	// page before it compares.
	updateVariable = "UPDATE_SETTINGS"

	valid = `process = "entry-1"
dataCentre = "kitami"
callers = "127.0.0.1:8080"
links = "127.0.0.1:7000"
admin = "127.0.0.1:9000"

[store]
url = "http://127.0.0.1:6000"

[vmList]
url = "http://127.0.0.1:6000"
timeout = "1s"
`
)

func TestWrongSettingsNameFileLineAndKey(t *testing.T) {
	for _, test := range []struct {
		name, old, replacement string
		line                   int
		key                    string
	}{
		{"unknown key", `admin = "127`, "colour = \"red\"\nadmin = \"127", 5, "colour"},
		{"unknown key in a table", `timeout = "1s"`, `patience = "1s"`, 12, "vmList.patience"},
		{"wrong type", `process = "entry-1"`, `process = 7`, 1, "process"},
		{"wrong duration", `timeout = "1s"`, `timeout = "soon"`, 12, "vmList.timeout"},
		{"duration that is not positive", `timeout = "1s"`, `timeout = "0s"`, 12, "vmList.timeout"},
		{"address without port", `links = "127.0.0.1:7000"`, `links = "127.0.0.1"`, 4, "links"},
		{"address by name", `links = "127.0.0.1:7000"`, `links = "localhost:7000"`, 4, "links"},
		{"wrong URL", `url = "http://127.0.0.1:6000"`, `url = "127.0.0.1:6000"`, 8, "store.url"},
		{"missing key", `process = "entry-1"`, "", 0, "process"},
		{"unknown plug-in", `[vmList]`, "[policies]\nrouter = \"magic\"\n[vmList]", 11, "policies.router"},
		{"token, not its hash", `[vmList]`, "[operators]\ntokenHash = \"secret\"\n[vmList]", 11, "operators.tokenHash"},
		{"no TOML", `process =`, `process`, 1, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "entry.toml")
			text := strings.Replace(valid, test.old, test.replacement, 1)
			is.True(text != valid)
			is.NoErr(os.WriteFile(file, []byte(text), 0o600))
			_, err := loader.LoadEntry(file)
			var wrong *loader.Error
			is.True(errors.As(err, &wrong))
			is.Equal(wrong.File, file)
			is.Equal(wrong.Line, test.line)
			is.Equal(wrong.Key, test.key)
			is.True(wrong.Detail != "")
		})
	}
}

func TestValidSettingsAreLoaded(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "entry.toml")
	is.NoErr(os.WriteFile(file, []byte(valid), 0o600))
	settings, err := loader.LoadEntry(file)
	is.NoErr(err)
	is.Equal(settings.Process, "entry-1")
	is.Equal(settings.Store.Protocol, "rest")
}

func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../examples/*/entry-*.toml")
	is.NoErr(err)
	is.True(len(files) > 0)
	for _, file := range files {
		_, err := loader.LoadEntry(file)
		is.NoErr(err)
	}
}

func TestSettingsPageIsThatOfTheCode(t *testing.T) {
	is := is.New(t)
	page, err := loader.Page()
	is.NoErr(err)
	if os.Getenv(updateVariable) != "" {
		is.NoErr(os.WriteFile(settingsPage, []byte(page), 0o644))
	}
	current, err := os.ReadFile(settingsPage)
	is.NoErr(err)
	is.Equal(string(current), page) // the page is out of date: run "make settings"
}
