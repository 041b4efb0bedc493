package loader

import (
	"fmt"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// maxPort is the highest port number.
	maxPort = 1<<16 - 1

	// minDescriptors leaves room for the connections that a process needs beside those of clients.
	minDescriptors = 512
)

// minMaxDelay is the least delay that measurements, which are made every 20 ms, can tell from none.
const minMaxDelay = Duration(10 * time.Millisecond)

// maxStreamBuffer is the most bytes that may be held of one stream.
const maxStreamBuffer = 16 << 20

type (
	// Direct holds the settings of an entry that calls backend servers directly,
	// without agents, on a platform whose backend servers prove that a request
	// was not run.
	Direct struct {
		Dialect    string              `toml:"dialect"    doc:"Plug-in for messages. Empty: through agents."`
		Readiness  carawaybeam.Address `toml:"readiness"  doc:"Address on which the balancer asks for readiness."`
		MaxKeyAge  Duration            `toml:"maxKeyAge"  doc:"Age of the configuration up to which keys count."`
		StopWithin Duration            `toml:"stopWithin" doc:"Time from the signal to stop until the kill."`
		MemoryMB   int                 `toml:"memoryMB"   doc:"Memory in MB at which the process is killed."`
		AgentPort  int                 `toml:"agentPort"  doc:"Port of agents, asked for statuses. 0: enrolled only."`
		// StreamBuffer is in bytes.
		StreamBuffer int      `toml:"streamBuffer" doc:"Bytes held of a stream that its client has not read. 0: none."`
		Retries      Retries  `toml:"retries"`
		Overload     Overload `toml:"overload"`

		Evacuations bool `toml:"evacuations" doc:"Obey evacuations of data centres, which takes a watch of the store."`

		Hedging Hedging `toml:"hedging"`

		MaxDescriptors int `toml:"maxDescriptors" doc:"Descriptors that the process may open. 0: clients unbounded."`
	}

	// Overload bounds how slow an entry may become before it refuses new requests.
	Overload struct {
		MaxDelay Duration `toml:"maxDelay" doc:"Delay of timers that is kept by refusing requests. 0: unbounded."`
	}

	// Admission configures the limiter "precedence".
	Admission struct {
		Completion bool `toml:"completion" doc:"Refuse what cannot end in time in pools with one priority too."`
	}

	// Reporting holds the settings of an agent that only reports the state of
	// its rank to the entries: to those that ask for it, and, if Store has a URL, to
	// all that are enrolled there.
	Reporting struct {
		Protocol string              `toml:"protocol" doc:"Plug-in for the rank. Empty: the agent takes requests."`
		Rank     carawaybeam.Address `toml:"rank"     doc:"Address of the rank."`
		MemoryMB int                 `toml:"memoryMB" doc:"Memory in MB at which the process is killed."`
		Store    Service             `toml:"store"`
	}

	// Retries bounds the additional attempts of all entries together, for each
	// pool.
	Retries struct {
		Ratio   float64  `toml:"ratio"   doc:"Further tries for each request."`
		Reserve float64  `toml:"reserve" doc:"Further tries in a window beside the ratio."`
		Window  Duration `toml:"window"  doc:"Time over which the bound holds."`
	}
)

// descriptors checks a number of file descriptors.
func descriptors(key string, value int) []problem {
	if value != 0 && value < minDescriptors {
		return []problem{{key: key, detail: fmt.Sprintf("want 0, or at least %d", minDescriptors)}}
	}
	return nil
}

// Enabled reports whether the entry calls backend servers directly.
func (s Direct) Enabled() bool { return s.Dialect != "" }

func (s Direct) validate() []problem {
	var problems []problem
	problems = append(problems, registered("direct.dialect", &carawaybeam.Dialects, s.Dialect)...)
	problems = append(problems, address("direct.readiness", s.Readiness)...)
	if s.MaxKeyAge < 0 {
		problems = append(problems, problem{key: "direct.maxKeyAge", detail: "want no negative duration"})
	}
	if s.StopWithin <= 0 {
		problems = append(problems, problem{key: "direct.stopWithin", detail: "want a positive duration"})
	}
	if s.MemoryMB <= 0 {
		problems = append(problems, problem{key: "direct.memoryMB", detail: "want a positive number of MB"})
	}
	problems = append(problems, descriptors("direct.maxDescriptors", s.MaxDescriptors)...)
	if s.AgentPort < 0 || s.AgentPort > maxPort {
		problems = append(problems, problem{key: "direct.agentPort", detail: "want a port, or 0"})
	}
	if s.StreamBuffer < 0 || s.StreamBuffer > maxStreamBuffer {
		problems = append(problems, problem{key: "direct.streamBuffer", detail: "want 0 to 16777216 bytes"})
	}
	if s.Overload.MaxDelay != 0 && s.Overload.MaxDelay < minMaxDelay {
		problems = append(problems, problem{key: "direct.overload.maxDelay", detail: "want 0, or 10ms or more"})
	}
	if s.Retries.Ratio < 0 || s.Retries.Reserve < 0 {
		problems = append(problems, problem{key: "direct.retries", detail: "want no negative numbers"})
	}
	if s.Retries.Window <= 0 {
		problems = append(problems, problem{key: "direct.retries.window", detail: "want a positive duration"})
	}
	return append(problems, s.Hedging.validate()...)
}

// Enabled reports whether the agent only reports.
func (s Reporting) Enabled() bool { return s.Protocol != "" }

func (s Reporting) validate() []problem {
	var problems []problem
	problems = append(problems, registered("reporting.protocol", &carawaybeam.RankEngines, s.Protocol)...)
	problems = append(problems, address("reporting.rank", s.Rank)...)
	if s.Store.URL != "" {
		problems = append(problems, s.Store.validate("reporting.store")...)
		problems = append(problems, registered("reporting.store.protocol", &carawaybeam.Stores, s.Store.Protocol)...)
	}
	if s.MemoryMB <= 0 {
		problems = append(problems, problem{key: "reporting.memoryMB", detail: "want a positive number of MB"})
	}
	return problems
}
