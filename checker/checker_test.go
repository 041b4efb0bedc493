package checker_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/checker"
	"github.com/carawaybeam/carawaybeam/platform"
)

func readFile(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func newOptions() checker.Options {
	return checker.Options{Decode: platform.Dialect{}.DecodeRouting, Schema: platform.Dialect{}.RoutingSchema()}
}

func decode(t testing.TB, data []byte) checker.Snapshot {
	t.Helper()
	routing, err := platform.Dialect{}.DecodeRouting(data)
	if err != nil {
		t.Fatal(err)
	}
	return checker.NewSnapshot(routing)
}

// TestFindings checks that each fault of a configuration is found at its place, and nothing else is.
// The cases are in a file because they contain names of the platform.
func TestFindings(t *testing.T) {
	var cases []struct {
		Name string  `json:"name"`
		Old  *string `json:"old"` // nil: New is the whole document.
		New  string  `json:"new"`
		// Want holds severity, code, line, column and path.
		Want []string `json:"want"`
	}
	if err := json.Unmarshal(readFile(t, "cases.json"), &cases); err != nil {
		t.Fatal(err)
	}
	valid := string(readFile(t, "valid.json"))
	inForce := decode(t, []byte(valid))
	inForce.Version = 6
	for _, test := range cases {
		t.Run(test.Name, func(t *testing.T) {
			is := is.New(t)
			text := test.New
			if test.Old != nil {
				is.Equal(*test.Old == "" || strings.Count(valid, *test.Old) == 1, true)
				text = strings.Replace(valid, *test.Old, test.New, 1)
			}
			options := newOptions()
			options.Backends = map[carawaybeam.PoolID]int{"large": 3, "small": 9}
			options.Regions = map[carawaybeam.DataCentre]carawaybeam.Region{"a": "north", "b": "south"}
			if strings.HasPrefix(test.Name, "hedging") {
				options.Hedging = &checker.Hedging{ExceptRoutes: []carawaybeam.RouteID{"chat"}}
				if test.Name == "hedging exception" {
					options.Hedging.ExceptRoutes = []carawaybeam.RouteID{"lookup"}
				}
			}
			if test.Name == "version not above the one in force" {
				older := inForce
				older.Version = 7
				options.Against = &older
			}
			if test.Name == "same version with differences" {
				changed := inForce
				changed.Routes = changed.Routes[1:]
				options.Against = &changed
			}
			got := []string{}
			for _, f := range checker.New(options).Check([]byte(text)).Findings {
				got = append(got, fmt.Sprintf("%s %s %d:%d %s", f.Severity, f.Code, f.Line, f.Column, f.Path))
				is.True(f.Message != "")
			}
			is.Equal(strings.Join(got, "\n"), strings.Join(test.Want, "\n"))
		})
	}
}

// TestTooLarge guards against reading documents that no entry would adopt into many structures.
func TestTooLarge(t *testing.T) {
	is := is.New(t)
	report := checker.New(newOptions()).Check(make([]byte, checker.MaxBytes+1))
	is.Equal(len(report.Findings), 1)
	is.Equal(report.Findings[0].Code, checker.CodeTooLarge)
}

// TestDecoderDecides guards against a document that passes although the decoder of the entries refuses
// it for a reason that the schema does not tell.
func TestDecoderDecides(t *testing.T) {
	is := is.New(t)
	options := newOptions()
	options.Decode = func([]byte) (carawaybeam.Routing, error) { return carawaybeam.Routing{}, errors.New("refused") }
	findings := checker.New(options).Check(readFile(t, "valid.json")).Findings
	is.Equal(len(findings), 1)
	is.Equal(findings[0].Code, checker.CodeWrongType)
	is.Equal(findings[0].Message, "refused")
}

// TestSecretsAreNotShown guards against keys in findings or differences.
func TestSecretsAreNotShown(t *testing.T) {
	is := is.New(t)
	valid := string(readFile(t, "valid.json"))
	text := strings.NewReplacer(`"k1", "k2"`, `"secret-1", "secret-2", "secret-2"`, `"k3"`, `"secret-1"`).Replace(valid)
	options := newOptions()
	inForce := decode(t, []byte(valid))
	options.Against = &inForce
	report := checker.New(options).Check([]byte(text))
	is.Equal(len(report.Findings), 3) // Twice in one organisation, in two, and the version.
	shown := fmt.Sprint(report)
	is.True(!strings.Contains(shown, "secret"))
	is.True(strings.Contains(shown, checker.KeyHash("secret-2")))
	encoded, err := json.Marshal(decode(t, []byte(text)))
	is.NoErr(err)
	is.True(!strings.Contains(string(encoded), "secret"))
}

// TestMeaning guards against differences between texts that mean the same, and against changes that
// are not shown.
func TestMeaning(t *testing.T) {
	is := is.New(t)
	valid := string(readFile(t, "valid.json"))
	before := decode(t, []byte(valid))
	same := strings.NewReplacer(
		`"host": "api.example"`, `"host": "API.example"`,
		`{"service": "large", "weight": 90}, {"service": "small", "weight": 10}`,
		`{"service": "small", "weight": 1}, {"service": "large", "weight": 4}, {"service": "large", "weight": 5}`,
		`"k1", "k2"`, `"k2", "k1"`, `8000`, `8e3`, `"version": 7`, `"version": 8`,
	).Replace(valid)
	is.Equal(len(checker.Compare(before, decode(t, []byte(same)))), 0)
	changed := strings.NewReplacer(
		`"name": "lookup"`,
		`"name": "search"`,
		`8000`,
		`9000`,
		`"weight": 10`,
		`"weight": 30`,
		`"k3"`,
		`"k4"`,
		`"maxConns": 110`,
		`"maxConns": 111`,
		`4.84`,
		`5`,
		`3000`,
		`4000`,
		`], "priority": 0`,
		`]`,
		`"resumable": true`,
		`"resumable": false`,
	).Replace(valid)
	differences := checker.Compare(before, decode(t, []byte(changed)))
	got := make([]string, 0, len(differences))
	for _, d := range differences {
		got = append(got, fmt.Sprintf("%s %s %s %s %s>%s", d.Action, d.Subject, d.Name, d.Field, d.Before, d.After))
	}
	is.Equal(strings.Join(got, "\n"), strings.Join([]string{
		"changed limits  headerTimeout 3s>4s",
		"changed pool large engine.stepTime 4.84ms>5ms",
		"changed pool small connections 110>111",
		"changed route chat pools large:9 small:1>large:3 small:1",
		"changed route chat timeout 8s>9s",
		"changed route chat resumable true>false",
		"removed route lookup  >",
		"added route search  >",
		"changed organisation north priority 0>",
		"removed organisation south key " + checker.KeyHash("k3") + ">",
		"added organisation south key >" + checker.KeyHash("k4"),
	}, "\n"))
}

// TestUnknownFieldsAreCounted guards against a warning for each route about one field that this
// program does not know.
func TestUnknownFieldsAreCounted(t *testing.T) {
	is := is.New(t)
	text := strings.ReplaceAll(string(readFile(t, "valid.json")), `"attempts": 2`, `"attempts": 2, "sticky": true`)
	findings := checker.New(newOptions()).Check([]byte(text)).Findings
	is.Equal(len(findings), 1)
	is.True(strings.Contains(findings[0].Message, "in 2 places"))
}

// newLarge returns a valid document with many routes, of which nine in ten are of one host.
func newLarge(t testing.TB, routes int) []byte {
	t.Helper()
	var document map[string]any
	if err := json.Unmarshal(readFile(t, "valid.json"), &document); err != nil {
		t.Fatal(err)
	}
	template := slices.Clone(document["routes"].([]any))
	many := make([]any, 0, routes)
	for i := range routes {
		route := make(map[string]any)
		for key, value := range template[i%2].(map[string]any) {
			route[key] = value
			if text, ok := value.(string); ok && strings.HasPrefix(text, "/") {
				route[key] = fmt.Sprintf("%s%d/", text, i)
			}
		}
		route["name"] = fmt.Sprint("route-", i)
		if i%10 == 0 {
			route["host"] = fmt.Sprintf("host-%d.example", i)
		}
		many = append(many, route)
	}
	document["routes"] = many
	data, err := json.MarshalIndent(document, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// processorTime returns how much processor time the process has used. Checks take a multiple of it while the
// machine is busy.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestManyRoutesTakeBoundedTime guards against work that grows with the square of the routes or
// findings. The bound is five times the required 2 s, for the race detector.
func TestManyRoutesTakeBoundedTime(t *testing.T) {
	is := is.New(t)
	data := newLarge(t, manyRoutes)
	options := newOptions()
	inForce := decode(t, data)
	inForce.Version = 1
	options.Against = &inForce
	began, start := time.Now(), processorTime(t)
	report := checker.New(options).Check(data)
	used := processorTime(t) - start
	t.Log(manyRoutes, "routes took", time.Since(began), "and processor time of", used)
	is.True(used < 10*time.Second)
	is.Equal(len(report.Findings), 0)
	is.Equal(len(report.Differences), 0)

	faulty := []byte(strings.ReplaceAll(string(data), `"attempts": 2`, `"attempts": 0`))
	start = processorTime(t)
	is.Equal(len(checker.New(newOptions()).Check(faulty).Findings), manyRoutes)
	is.True(processorTime(t)-start < 10*time.Second)
}

// TestManyFaultyItemsTakeBoundedTime guards against a scan of the whole list for each faulty item.
func TestManyFaultyItemsTakeBoundedTime(t *testing.T) {
	is := is.New(t)
	const items = 100000
	text := strings.Replace(string(readFile(t, "valid.json")), `["k3"]`, `["k3"`+strings.Repeat(`, "k3"`, items)+`]`, 1)
	start := processorTime(t)
	is.Equal(len(checker.New(newOptions()).Check([]byte(text)).Findings), items)
	is.True(processorTime(t)-start < 10*time.Second)
}

func BenchmarkCheck(b *testing.B) {
	data := newLarge(b, 100000)
	options := newOptions()
	inForce := decode(b, data)
	options.Against = &inForce
	c := checker.New(options)
	b.ReportAllocs()
	for b.Loop() {
		c.Check(data)
	}
}

// FuzzCheck guards against panics and endless loops on documents of any kind, and against documents
// that the decoder refuses without a finding.
func FuzzCheck(f *testing.F) {
	valid := readFile(f, "valid.json")
	f.Add(valid)
	for _, seed := range []string{
		"", "{", "null", "7", `{"routes":[null,{}],"routes":{}}`, `{"routes":[{"backends":[null,{}]}]}`,
		`{"ROUTES":[{"name":"a"}],"limits":null}`, `{"version":1e2}`, `{"\u0076ersion":7,"a\"b":1}`,
		`{"route\u017f":7}`, `{"a":"}]\\","a":"[["}`, "\"\\\"",
	} {
		f.Add([]byte(seed))
	}
	options := newOptions()
	inForce := decode(f, valid)
	options.Against = &inForce
	c := checker.New(options)
	f.Fuzz(func(t *testing.T, data []byte) {
		report := c.Check(data)
		if _, err := options.Decode(data); err != nil && report.Count(checker.SeverityError) == 0 {
			t.Errorf("no error for %q: %v", data, err)
		}
	})
}
