// Package loader reads and validates the settings of a process from a TOML file.
// Unknown and invalid settings are reported with file, line and key.
package loader

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
)

type (
	// Entry holds the settings of cbentry.
	Entry struct {
		Process    string                 `toml:"process"    doc:"Name of the process in logs, dumps and metrics."`
		DataCentre carawaybeam.DataCentre `toml:"dataCentre" doc:"Data centre of the VM."`
		Callers    carawaybeam.Address    `toml:"callers"    doc:"Address for callers."`
		Links      carawaybeam.Address    `toml:"links"      doc:"Address for links, as in the list of VMs."`
		Admin      carawaybeam.Address    `toml:"admin"      doc:"Address for operators and metrics."`
		// Evacuations applies to entries in an installation with agents.
		Evacuations bool `toml:"evacuations" doc:"Obey evacuations of data centres where agents forward."`

		Store     Service   `toml:"store"`
		VMList    Service   `toml:"vmList"`
		Policies  Policies  `toml:"policies"`
		Limits    Limits    `toml:"limits"`
		CallerTLS TLS       `toml:"callerTLS"`
		LinkTLS   TLS       `toml:"linkTLS"`
		Operators Operators `toml:"operators"`
		Direct    Direct    `toml:"direct"`
		Admission Admission `toml:"admission"`
		Regions   Regions   `toml:"regions"   doc:"Region of each data centre, for homes."`
	}

	// Regions holds the region of each data centre.
	Regions map[carawaybeam.DataCentre]carawaybeam.Region

	// Operators configures the authentication of operators.
	Operators struct {
		// TokenHash is the hexadecimal SHA-256 of the operators' token. If it is
		// empty, all requests of operators are refused.
		TokenHash string `toml:"tokenHash" doc:"SHA-256 of the operators' token. Unless it is set, nobody is served."`
	}

	// Agent holds the settings of cbagent.
	Agent struct {
		Process    string                 `toml:"process"    doc:"Name of the process in logs, dumps and metrics."`
		DataCentre carawaybeam.DataCentre `toml:"dataCentre" doc:"Data centre of the VM."`
		Links      carawaybeam.Address    `toml:"links"      doc:"Address for links, as in the list of VMs."`
		Admin      carawaybeam.Address    `toml:"admin"      doc:"Address for operators and metrics."`
		Backend    Backend                `toml:"backend"`
		Group      Group                  `toml:"group"`
		LinkTLS    TLS                    `toml:"linkTLS"`
		Reporting  Reporting              `toml:"reporting"`
	}

	// Service configures the access to an external system.
	Service struct {
		Protocol string   `toml:"protocol" doc:"Plug-in that speaks to it."`
		URL      string   `toml:"url"      doc:"Base address, such as http://10.0.0.1:6000."`
		Token    string   `toml:"token"    doc:"Bearer token, or empty."`
		Timeout  Duration `toml:"timeout"  doc:"Bound on one call."`
	}

	// Backend configures the access to the backend server of an agent.
	Backend struct {
		ID          carawaybeam.BackendID `toml:"id"          doc:"Name of the backend server."`
		Protocol    string                `toml:"protocol"    doc:"Plug-in that speaks to it: engine or service."`
		URL         string                `toml:"url"         doc:"Base address, such as http://127.0.0.1:5000."`
		Concurrency int                   `toml:"concurrency" doc:"How many requests it runs at once."`
	}

	// Policies contains the names of the policy plug-ins.
	Policies struct {
		Router  string `toml:"router"  doc:"Plug-in that chooses a backend server."`
		Limiter string `toml:"limiter" doc:"Plug-in that admits requests."`
		Retrier string `toml:"retrier" doc:"Plug-in that decides on further tries."`
		Planner string `toml:"planner" doc:"Plug-in that places experts on ranks."`
	}

	// Limits bounds the size of callers' requests and the time that callers may
	// take to send a request and to read the answer.
	Limits struct {
		BodyBytes    int64    `toml:"bodyBytes"    doc:"Largest body of a caller's request."`
		HeaderBytes  int      `toml:"headerBytes"  doc:"Largest header of a caller's request."`
		ReadTimeout  Duration `toml:"readTimeout"  doc:"Time in which a caller sends its request."`
		WriteTimeout Duration `toml:"writeTimeout" doc:"Time in which a caller takes one part of its answer."`
		// MemoryMB and MaxDescriptors apply to entries in an installation with agents.
		MemoryMB       int `toml:"memoryMB"       doc:"Memory in MB at which the process is killed. 0: no bound."`
		MaxDescriptors int `toml:"maxDescriptors" doc:"Descriptors that it may open. 0: connections without bound."`
	}

	// Duration is a time.Duration that is written as a text such as "2.5s".
	Duration time.Duration

	// Error reports an invalid setting.
	Error struct {
		File string
		// Line is 0 if the setting is missing or its line is unknown.
		Line   int
		Key    string
		Detail string
	}

	// problem is an invalid setting whose line is not yet known.
	problem struct {
		key    string
		detail string
	}
)

func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Detail)
}

// UnmarshalText parses a duration such as "2.5s".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText formats the duration so that UnmarshalText can parse it.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// DefaultEntry returns the default settings of cbentry.
func DefaultEntry() Entry {
	return Entry{
		Store:    Service{Protocol: "rest", Timeout: Duration(2 * time.Second)},
		VMList:   Service{Protocol: "rest", Timeout: Duration(2 * time.Second)},
		Policies: Policies{Router: "expected", Limiter: "fair", Retrier: "budget", Planner: "drift"},
		Limits: Limits{
			BodyBytes:    8 << 20,
			HeaderBytes:  32 << 10,
			ReadTimeout:  Duration(30 * time.Second),
			WriteTimeout: Duration(30 * time.Second),
		},
	}
}

// DefaultAgent returns the default settings of cbagent.
func DefaultAgent() Agent {
	return Agent{
		Backend:   Backend{Protocol: "engine", Concurrency: 64},
		Reporting: Reporting{Store: Service{Protocol: "rest", Timeout: Duration(2 * time.Second)}},
		Group: Group{
			Lookahead: 8,
			Protocol:  "rest",
			Timeout:   Duration(time.Second),
			Weights:   Weights{Protocol: "rest", Timeout: Duration(30 * time.Second), Rate: 10},
		},
	}
}

// LoadEntry reads and validates the settings of cbentry. Errors are of type *Error.
func LoadEntry(file string) (Entry, error) {
	settings := DefaultEntry()
	data, err := load(file, &settings)
	if err != nil {
		return settings, err
	}
	return settings, firstError(file, data, settings.validate())
}

// LoadAgent reads and validates the settings of cbagent. Errors are of type *Error.
func LoadAgent(file string) (Agent, error) {
	settings := DefaultAgent()
	data, err := load(file, &settings)
	if err != nil {
		return settings, err
	}
	return settings, firstError(file, data, settings.validate())
}

func load(file string, settings any) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{File: file, Key: "file", Detail: err.Error()}
	}
	decoder := toml.NewDecoder(strings.NewReader(string(data))).DisallowUnknownFields()
	if err := decoder.Decode(settings); err != nil {
		return nil, decodeError(file, err)
	}
	return data, nil
}

func decodeError(file string, err error) *Error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := unknown.Errors[0]
		line, _ := first.Position()
		return &Error{File: file, Line: line, Key: strings.Join(first.Key(), "."), Detail: "no such setting"}
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		line, _ := wrong.Position()
		return &Error{File: file, Line: line, Key: strings.Join(wrong.Key(), "."), Detail: wrong.Error()}
	}
	return &Error{File: file, Key: "file", Detail: err.Error()}
}

func (s Entry) validate() []problem {
	var problems []problem
	problems = append(problems, required("process", s.Process)...)
	problems = append(problems, required("dataCentre", string(s.DataCentre))...)
	problems = append(problems, address("callers", s.Callers)...)
	problems = append(problems, address("links", s.Links)...)
	problems = append(problems, address("admin", s.Admin)...)
	problems = append(problems, s.Store.validate("store")...)
	problems = append(problems, registered("store.protocol", &carawaybeam.Stores, s.Store.Protocol)...)
	if s.Direct.Enabled() {
		problems = append(problems, s.Direct.validate()...)
	} else {
		problems = append(problems, s.VMList.validate("vmList")...)
		problems = append(problems, registered("vmList.protocol", &carawaybeam.Listers, s.VMList.Protocol)...)
	}
	problems = append(problems, registered("policies.router", &carawaybeam.Routers, s.Policies.Router)...)
	problems = append(problems, registered("policies.limiter", &carawaybeam.Limiters, s.Policies.Limiter)...)
	problems = append(problems, registered("policies.retrier", &carawaybeam.Retriers, s.Policies.Retrier)...)
	problems = append(problems, registered("policies.planner", &carawaybeam.Planners, s.Policies.Planner)...)
	problems = append(problems, s.Regions.validate()...)
	problems = append(problems, s.CallerTLS.validate("callerTLS", false)...)
	problems = append(problems, s.LinkTLS.validate("linkTLS", true)...)
	problems = append(problems, tokenHash("operators.tokenHash", s.Operators.TokenHash)...)
	if s.Limits.BodyBytes <= 0 || s.Limits.BodyBytes > maxBodyBytes {
		problems = append(
			problems,
			problem{key: "limits.bodyBytes", detail: fmt.Sprintf("want 1 to %d bytes", maxBodyBytes)},
		)
	}
	if s.Limits.HeaderBytes <= 0 {
		problems = append(problems, problem{key: "limits.headerBytes", detail: "want a positive number of bytes"})
	}
	if s.Limits.ReadTimeout <= 0 {
		problems = append(problems, problem{key: "limits.readTimeout", detail: "want a positive duration"})
	}
	if s.Limits.WriteTimeout <= 0 {
		problems = append(problems, problem{key: "limits.writeTimeout", detail: "want a positive duration"})
	}
	if s.Limits.MemoryMB < 0 {
		problems = append(problems, problem{key: "limits.memoryMB", detail: "want no negative number of MB"})
	}
	problems = append(problems, descriptors("limits.maxDescriptors", s.Limits.MaxDescriptors)...)
	return problems
}

// maxBodyBytes bounds the body of a caller's request so that it fits in one frame.
const maxBodyBytes = 8 << 20

func (s Agent) validate() []problem {
	var problems []problem
	problems = append(problems, required("process", s.Process)...)
	problems = append(problems, required("dataCentre", string(s.DataCentre))...)
	problems = append(problems, address("links", s.Links)...)
	problems = append(problems, address("admin", s.Admin)...)
	if s.Reporting.Enabled() {
		return append(problems, s.Reporting.validate()...)
	}
	problems = append(problems, required("backend.id", string(s.Backend.ID))...)
	problems = append(problems, baseURL("backend.url", s.Backend.URL)...)
	problems = append(problems, registered("backend.protocol", &carawaybeam.Backends, s.Backend.Protocol)...)
	problems = append(problems, s.LinkTLS.validate("linkTLS", true)...)
	problems = append(problems, s.Group.validate(s.Links)...)
	if s.Backend.Concurrency <= 0 {
		problems = append(problems, problem{key: "backend.concurrency", detail: "want a positive number"})
	}
	return problems
}

// OpenStore returns a client of the store for these settings. The error is a
// *carawaybeam.UnknownPluginError if the protocol is unknown, and that of the
// plug-in otherwise.
func (s Service) OpenStore(log zerolog.Logger) (carawaybeam.Store, error) {
	newStore, err := carawaybeam.Stores.Lookup(s.Protocol)
	if err != nil {
		return nil, err
	}
	return newStore(
		carawaybeam.StoreOptions{URL: s.URL, Token: s.Token, Timeout: time.Duration(s.Timeout), Log: log},
	)
}

func (s Service) validate(key string) []problem {
	problems := baseURL(key+".url", s.URL)
	if s.Timeout <= 0 {
		problems = append(problems, problem{key: key + ".timeout", detail: "want a positive duration"})
	}
	return problems
}

func tokenHash(key, value string) []problem {
	hash, err := hex.DecodeString(value)
	if value != "" && (err != nil || len(hash) != sha256.Size) {
		return []problem{{key: key, detail: "want the hexadecimal SHA-256 of a token"}}
	}
	return nil
}

func required(key, value string) []problem {
	if value != "" {
		return nil
	}
	return []problem{{key: key, detail: "is missing"}}
}

func address(key string, value carawaybeam.Address) []problem {
	if _, err := netip.ParseAddrPort(string(value)); err != nil {
		return []problem{{key: key, detail: "want an IP address and port such as 10.0.0.1:7000"}}
	}
	return nil
}

func baseURL(key, value string) []problem {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
		return []problem{{key: key, detail: "want a URL such as http://10.0.0.1:6000"}}
	}
	return nil
}

func registered[T any](key string, registry *carawaybeam.Registry[T], name string) []problem {
	if _, err := registry.Lookup(name); err != nil {
		return []problem{{key: key, detail: err.Error()}}
	}
	return nil
}

// firstError returns the first problem as an Error with its line in the file, or
// nil if there is no problem.
func firstError(file string, data []byte, problems []problem) error {
	if len(problems) == 0 {
		return nil
	}
	first := problems[0]
	return &Error{File: file, Line: lineOf(data, first.key), Key: first.key, Detail: first.detail}
}

// lineOf returns the number of the line that sets a key, or 0 if there is none.
func lineOf(data []byte, key string) int {
	table := ""
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if name, ok := strings.CutPrefix(line, "["); ok {
			table = strings.TrimSuffix(name, "]") + "."
			continue
		}
		name, _, ok := strings.Cut(line, "=")
		if ok && table+strings.TrimSpace(name) == key {
			return i + 1
		}
	}
	return 0
}
