// Package loader reads the settings of a process from a TOML file. Unknown and
// wrong settings are refused with file, line and key.
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
		Store      Service                `toml:"store"`
		VMList     Service                `toml:"vmList"`
		Policies   Policies               `toml:"policies"`
		Limits     Limits                 `toml:"limits"`
		CallerTLS  TLS                    `toml:"callerTLS"`
		LinkTLS    TLS                    `toml:"linkTLS"`
		Operators  Operators              `toml:"operators"`
		Direct     Direct                 `toml:"direct"`
	}

	// Operators tells who may change the configuration.
	Operators struct {
		// TokenHash is the hexadecimal SHA-256 of the operators' token. Without
		// one, no operator is served.
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

	// Service tells how to reach an outside system.
	Service struct {
		Protocol string   `toml:"protocol" doc:"Plug-in that speaks to it."`
		URL      string   `toml:"url"      doc:"Base address, such as http://10.0.0.1:6000."`
		Token    string   `toml:"token"    doc:"Bearer token, or empty."`
		Timeout  Duration `toml:"timeout"  doc:"Bound on one call."`
	}

	// Backend tells how to reach the backend server beside an agent.
	Backend struct {
		ID          carawaybeam.BackendID `toml:"id"          doc:"Name of the backend server."`
		Protocol    string                `toml:"protocol"    doc:"Plug-in that speaks to it: engine or service."`
		URL         string                `toml:"url"         doc:"Base address, such as http://127.0.0.1:5000."`
		Concurrency int                   `toml:"concurrency" doc:"How many requests it runs at once."`
	}

	// Policies names the decision plug-ins.
	Policies struct {
		Router  string `toml:"router"  doc:"Plug-in that chooses a backend server."`
		Limiter string `toml:"limiter" doc:"Plug-in that admits requests."`
		Retrier string `toml:"retrier" doc:"Plug-in that decides on further tries."`
		Planner string `toml:"planner" doc:"Plug-in that places experts on ranks."`
	}

	// Limits bounds what callers send.
	Limits struct {
		BodyBytes    int64    `toml:"bodyBytes"    doc:"Largest body of a caller's request."`
		HeaderBytes  int      `toml:"headerBytes"  doc:"Largest header of a caller's request."`
		ReadTimeout  Duration `toml:"readTimeout"  doc:"Time in which a caller sends its request."`
		WriteTimeout Duration `toml:"writeTimeout" doc:"Time in which a caller takes one part of its answer."`
	}

	// Duration is a time.Duration written as in "2.5s".
	Duration time.Duration

	// Error reports a setting that is refused.
	Error struct {
		File string
		// Line is 0 where the setting is missing.
		Line   int
		Key    string
		Detail string
	}

	// fault is a wrong setting before its line is known.
	fault struct {
		key    string
		detail string
	}
)

func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Detail)
}

// UnmarshalText reads a duration such as "2.5s".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText writes the duration as it is read.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// DefaultEntry returns the settings in force where the file is silent.
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

// DefaultAgent returns the settings in force where the file is silent.
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

// LoadEntry reads and checks the settings of cbentry. Errors are of type *Error.
func LoadEntry(file string) (Entry, error) {
	settings := DefaultEntry()
	data, err := load(file, &settings)
	if err != nil {
		return settings, err
	}
	return settings, locate(file, data, settings.faults())
}

// LoadAgent reads and checks the settings of cbagent. Errors are of type *Error.
func LoadAgent(file string) (Agent, error) {
	settings := DefaultAgent()
	data, err := load(file, &settings)
	if err != nil {
		return settings, err
	}
	return settings, locate(file, data, settings.faults())
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

func (s Entry) faults() []fault {
	var faults []fault
	faults = append(faults, required("process", s.Process)...)
	faults = append(faults, required("dataCentre", string(s.DataCentre))...)
	faults = append(faults, address("callers", s.Callers)...)
	faults = append(faults, address("links", s.Links)...)
	faults = append(faults, address("admin", s.Admin)...)
	faults = append(faults, s.Store.faults("store")...)
	faults = append(faults, registered("store.protocol", &carawaybeam.Stores, s.Store.Protocol)...)
	if s.Direct.Enabled() {
		faults = append(faults, s.Direct.faults()...)
	} else {
		faults = append(faults, s.VMList.faults("vmList")...)
		faults = append(faults, registered("vmList.protocol", &carawaybeam.Listers, s.VMList.Protocol)...)
	}
	faults = append(faults, registered("policies.router", &carawaybeam.Routers, s.Policies.Router)...)
	faults = append(faults, registered("policies.limiter", &carawaybeam.Limiters, s.Policies.Limiter)...)
	faults = append(faults, registered("policies.retrier", &carawaybeam.Retriers, s.Policies.Retrier)...)
	faults = append(faults, registered("policies.planner", &carawaybeam.Planners, s.Policies.Planner)...)
	faults = append(faults, s.CallerTLS.faults("callerTLS", false)...)
	faults = append(faults, s.LinkTLS.faults("linkTLS", true)...)
	faults = append(faults, tokenHash("operators.tokenHash", s.Operators.TokenHash)...)
	if s.Limits.BodyBytes <= 0 || s.Limits.BodyBytes > maxBodyBytes {
		faults = append(faults, fault{key: "limits.bodyBytes", detail: fmt.Sprintf("want 1 to %d bytes", maxBodyBytes)})
	}
	if s.Limits.HeaderBytes <= 0 {
		faults = append(faults, fault{key: "limits.headerBytes", detail: "want a positive number of bytes"})
	}
	if s.Limits.ReadTimeout <= 0 {
		faults = append(faults, fault{key: "limits.readTimeout", detail: "want a positive duration"})
	}
	if s.Limits.WriteTimeout <= 0 {
		faults = append(faults, fault{key: "limits.writeTimeout", detail: "want a positive duration"})
	}
	return faults
}

// maxBodyBytes keeps a caller's body within one frame.
const maxBodyBytes = 8 << 20

func (s Agent) faults() []fault {
	var faults []fault
	faults = append(faults, required("process", s.Process)...)
	faults = append(faults, required("dataCentre", string(s.DataCentre))...)
	faults = append(faults, address("links", s.Links)...)
	faults = append(faults, address("admin", s.Admin)...)
	if s.Reporting.Enabled() {
		return append(faults, s.Reporting.faults()...)
	}
	faults = append(faults, required("backend.id", string(s.Backend.ID))...)
	faults = append(faults, baseURL("backend.url", s.Backend.URL)...)
	faults = append(faults, registered("backend.protocol", &carawaybeam.Backends, s.Backend.Protocol)...)
	faults = append(faults, s.LinkTLS.faults("linkTLS", true)...)
	faults = append(faults, s.Group.faults(s.Links)...)
	if s.Backend.Concurrency <= 0 {
		faults = append(faults, fault{key: "backend.concurrency", detail: "want a positive number"})
	}
	return faults
}

// OpenStore returns the client of the store that the settings name. An unknown
// protocol is a *carawaybeam.UnknownPluginError.
func (s Service) OpenStore() (carawaybeam.Store, error) {
	newStore, err := carawaybeam.Stores.Lookup(s.Protocol)
	if err != nil {
		return nil, err
	}
	return newStore(carawaybeam.StoreOptions{URL: s.URL, Token: s.Token, Timeout: time.Duration(s.Timeout)})
}

func (s Service) faults(key string) []fault {
	faults := baseURL(key+".url", s.URL)
	if s.Timeout <= 0 {
		faults = append(faults, fault{key: key + ".timeout", detail: "want a positive duration"})
	}
	return faults
}

func tokenHash(key, value string) []fault {
	hash, err := hex.DecodeString(value)
	if value != "" && (err != nil || len(hash) != sha256.Size) {
		return []fault{{key: key, detail: "want the hexadecimal SHA-256 of a token"}}
	}
	return nil
}

func required(key, value string) []fault {
	if value != "" {
		return nil
	}
	return []fault{{key: key, detail: "is missing"}}
}

func address(key string, value carawaybeam.Address) []fault {
	if _, err := netip.ParseAddrPort(string(value)); err != nil {
		return []fault{{key: key, detail: "want an IP address and port such as 10.0.0.1:7000"}}
	}
	return nil
}

func baseURL(key, value string) []fault {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
		return []fault{{key: key, detail: "want a URL such as http://10.0.0.1:6000"}}
	}
	return nil
}

func registered[T any](key string, registry *carawaybeam.Registry[T], name string) []fault {
	if _, err := registry.Lookup(name); err != nil {
		return []fault{{key: key, detail: err.Error()}}
	}
	return nil
}

// locate reports the first fault with its line in the file.
func locate(file string, data []byte, faults []fault) error {
	if len(faults) == 0 {
		return nil
	}
	first := faults[0]
	return &Error{File: file, Line: lineOf(data, first.key), Key: first.key, Detail: first.detail}
}

// lineOf finds the line that sets a key, or 0.
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
