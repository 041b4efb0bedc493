package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/labstack/echo/v5"
	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/administrator"
	"github.com/carawaybeam/carawaybeam/checker"
	"github.com/carawaybeam/carawaybeam/enroller"
	"github.com/carawaybeam/carawaybeam/platform"
)

// update makes the tests write the golden files instead of comparing with them.
var update = flag.Bool("update", false, "write the golden files")

// runCheck executes the command check in the directory with the test data.
func runCheck(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	t.Chdir(filepath.Join("testdata", "check"))
	var stdout, stderr bytes.Buffer
	code = run(args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// TestCheckOutput guards against changes of the output and exit codes, which scripts rely on.
func TestCheckOutput(t *testing.T) {
	tests := map[string]struct {
		args []string
		code int
	}{
		"valid.txt":         {[]string{"check", "valid.json"}, 0},
		"valid.out.json":    {[]string{"-json", "check", "valid.json"}, 0},
		"faulty.txt":        {[]string{"check", "faulty.json"}, exitErrors},
		"faulty.out.json":   {[]string{"check", "--output", "json", "faulty.json"}, exitErrors},
		"warnings.txt":      {[]string{"check", "warnings.json"}, 0},
		"strict.txt":        {[]string{"check", "warnings.json", "--strict"}, exitWarnings},
		"against.txt":       {[]string{"check", "changed.json", "--against", "valid.json"}, 0},
		"against.out.json":  {[]string{"check", "changed.json", "--against", "valid.json", "--output", "json"}, 0},
		"notNewer.txt":      {[]string{"check", "valid.json", "--against", "changed.json"}, exitErrors},
		"missing.txt":       {[]string{"check", "none.json"}, exitErrors},
		"same.txt":          {[]string{"check", "valid.json", "--against", "valid.json"}, 0},
		"faulty-strict.txt": {[]string{"check", "faulty.json", "--strict"}, exitErrors},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			code, out, errOut := runCheck(t, test.args...)
			is.Equal(code, test.code)
			is.Equal(errOut == "", code == 0)
			is.True(!strings.Contains(out, `"k1"`))
			if *update {
				is.NoErr(os.WriteFile(name+".golden", []byte(out), 0o600))
			}
			want, err := os.ReadFile(name + ".golden")
			is.NoErr(err)
			is.Equal(out, string(want))
		})
	}
}

// TestCheckUsage guards against arguments that are ignored, and against comparisons with files that are
// no configurations.
func TestCheckUsage(t *testing.T) {
	for _, args := range [][]string{
		{"check"},
		{"check", "valid.json", "changed.json"},
		{"check", "valid.json", "--output", "yaml"},
		{"check", "valid.json", "--dialect", "none"},
		{"check", "valid.json", "--against", "none.json"},
		{"check", "valid.json", "--against", "valid.txt.golden"},
		{"check", "valid.json", "--unknown"},
	} {
		t.Run(strings.Join(args, " "), func(t *testing.T) {
			is := is.New(t)
			code, out, errOut := runCheck(t, args...)
			is.Equal(code, exitUsage)
			is.Equal(out, "")
			is.True(errOut != "")
		})
	}
}

// TestCheckAgainstForce checks the comparison with the configuration of an entry, and that an entry
// that cannot be asked is not taken for a configuration without differences.
func TestCheckAgainstForce(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile(filepath.Join("testdata", "check", "valid.json"))
	is.NoErr(err)
	routing, err := platform.Dialect{}.DecodeRouting(data)
	is.NoErr(err)
	known := true
	router := echo.New()
	self := enroller.Entry{Name: "entry"}
	administrator.NewViewer(administrator.ViewerOptions{
		Entry:   self,
		Entries: func() []enroller.Entry { return []enroller.Entry{self} },
		Dump:    func() ([]byte, error) { return []byte(`{"state":{"config":7,"pools":{"large":1,"small":5}}}`), nil },
		Routing: func() (carawaybeam.Routing, bool) { return routing, known },
	}).Route(router)
	server := httptest.NewServer(router)
	admin := strings.TrimPrefix(server.URL, "http://")
	t.Chdir(filepath.Join("testdata", "check"))
	execute := func(file string) (int, string) {
		var out bytes.Buffer
		code := run([]string{"-admin", admin, "check", file, "--against", "FORCE", "--output", "json"}, &out, &out)
		return code, out.String()
	}
	code, out := execute("changed.json")
	is.Equal(code, exitDone)
	var result checkResult
	is.NoErr(json.Unmarshal([]byte(out), &result))
	is.Equal(len(result.Differences), 6)
	is.Equal(len(result.Findings), 1)
	is.Equal(result.Findings[0].Code, checker.CodeTooManyAttempts) // One backend server is known.
	code, out = execute("valid.json")
	is.Equal(code, exitDone)
	is.NoErr(json.Unmarshal([]byte(out), &result))
	is.Equal(len(result.Differences), 0)
	known = false
	code, _ = execute("valid.json")
	is.Equal(code, exitNotFound)
	server.Close()
	code, _ = execute("valid.json")
	is.Equal(code, exitUnavailable)
}

// TestCheckRegions guards against homes without a data centre that are not reported, and against settings that
// cannot be read and are ignored.
func TestCheckRegions(t *testing.T) {
	is := is.New(t)
	valid, err := os.ReadFile(filepath.Join("testdata", "check", "valid.json"))
	is.NoErr(err)
	directory := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(directory, name)
		is.NoErr(os.WriteFile(file, []byte(text), 0o600))
		return file
	}
	check := func(args ...string) (code int, out, errOut string) {
		var stdout, stderr bytes.Buffer
		code = run(args, &stdout, &stderr)
		return code, stdout.String(), stderr.String()
	}
	file := write("homes.json", strings.Replace(string(valid), `"kind"`, `"allowedRegions": ["south"], "kind"`, 1))
	settings := write("entry.toml", "process = \"e\"\n[regions]\na = \"north\"\n")
	code, out, _ := check("check", file, "-settings", settings)
	is.Equal(code, 0)
	is.True(strings.Contains(out, `the home "south" has no data centre`))
	_, out, _ = check("check", file)
	is.True(!strings.Contains(out, "unknownRegion"))
	code, _, errOut := check("check", file, "-settings", write("bad.toml", "[regions]\na = \"\"\n"))
	is.Equal(code, exitErrors)
	is.True(strings.Contains(errOut, "regions"))
	code, _, _ = check("check", file, "-settings", filepath.Join(directory, "none.toml"))
	is.Equal(code, exitErrors)
}
