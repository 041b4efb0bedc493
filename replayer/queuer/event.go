package queuer

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/router/prefixer"
	"github.com/carawaybeam/carawaybeam/tracer"
)

type (
	// Event is one line of a trace of requests. Exactly one of its pointers
	// is set.
	Event struct {
		At            tracer.Duration     `json:"at"`
		Class         *ClassEvent         `json:"class,omitempty"`
		Backend       *BackendEvent       `json:"backend,omitempty"`
		Entries       *EntriesEvent       `json:"entries,omitempty"`
		Request       *RequestEvent       `json:"request,omitempty"`
		Reports       *ReportsEvent       `json:"reports,omitempty"`
		Slowdown      *SlowdownEvent      `json:"slow,omitempty"`
		Outage        *OutageEvent        `json:"gone,omitempty"`
		CachesCleared *CachesClearedEvent `json:"caches,omitempty"`
		Store         *StoreEvent         `json:"store,omitempty"`
		Flooding      *FloodingEvent      `json:"flooding,omitempty"`
	}

	// ClassEvent declares a class and its targets.
	ClassEvent struct {
		ID            carawaybeam.ClassID `json:"id"`
		FirstToken    tracer.Duration     `json:"firstToken"`
		BetweenTokens tracer.Duration     `json:"betweenTokens"`
	}

	// BackendEvent adds a backend server. Its fields are explained at Options.
	BackendEvent struct {
		ID              carawaybeam.BackendID  `json:"id"`
		DataCentre      carawaybeam.DataCentre `json:"dataCentre"`
		Slots           int                    `json:"slots"`
		PromptRate      float64                `json:"promptRate"`
		TokenTime       tracer.Duration        `json:"tokenTime"`
		TokenTimePerJob tracer.Duration        `json:"tokenTimeEach"`
		CacheCapacity   int                    `json:"cacheHeads"`
	}

	// EntriesEvent declares the entries, one for each element of DataCentres,
	// and the one-way network latency within and between data centres.
	EntriesEvent struct {
		DataCentres    []carawaybeam.DataCentre `json:"dataCentres"`
		LatencyWithin  tracer.Duration          `json:"within"`
		LatencyBetween tracer.Duration          `json:"between"`
		// CacheEvents is set when load reports carry cache events.
		CacheEvents bool `json:"cacheEvents,omitempty"`
		// ClockSkew is how far the clock of each entry is ahead of that of
		// the entry before it.
		ClockSkew tracer.Duration `json:"skew,omitempty"`
	}

	// RequestEvent describes a request: its size in tokens and the prefixes of
	// its prompt.
	RequestEvent struct {
		// Entry is the index of the entry that receives the request.
		Entry          int                        `json:"entry"`
		Class          carawaybeam.ClassID        `json:"class"`
		Organisation   carawaybeam.OrganisationID `json:"org"`
		Prompt         carawaybeam.Tokens         `json:"prompt"`
		Output         carawaybeam.Tokens         `json:"output"`
		SharedPrefixes []SharedPrefix             `json:"heads,omitempty"`
	}

	// SharedPrefix is a prefix that the prompt shares with other prompts. Tokens
	// is its length from the start of the prompt.
	SharedPrefix struct {
		Hash   prefixer.Hash      `json:"hash"`
		Tokens carawaybeam.Tokens `json:"tokens"`
	}

	// ReportsEvent sets the loss and the delay of load reports from its time on.
	ReportsEvent struct {
		// LossShare is the fraction of reports that are lost, from 0 to 1.
		LossShare float64 `json:"lost"`
		// Delay is the additional latency of the other reports.
		Delay tracer.Duration `json:"late"`
	}

	// SlowdownEvent makes a backend server Factor times slower than recorded from
	// its time on.
	SlowdownEvent struct {
		Backend carawaybeam.BackendID `json:"backend"`
		Factor  float64               `json:"factor"`
	}

	// OutageEvent starts the outage of a data centre or of one backend server, or
	// ends it if Recovered is set.
	OutageEvent struct {
		DataCentre carawaybeam.DataCentre `json:"dataCentre,omitempty"`
		Backend    carawaybeam.BackendID  `json:"backend,omitempty"`
		Recovered  bool                   `json:"back,omitempty"`
	}

	// CachesClearedEvent empties the prefix caches of all backend servers.
	CachesClearedEvent struct{}

	// StoreEvent starts an outage of the platform's store and VM list, or ends
	// it if Recovered is set. During the outage no entry discovers new backend
	// servers.
	StoreEvent struct {
		Recovered bool `json:"back,omitempty"`
	}
)

// FloodingEvent names an organisation that sends far more than its fair share of
// requests.
type FloodingEvent struct {
	Organisation carawaybeam.OrganisationID `json:"org"`
}

// Read reads the events of a trace whose header has been read already. The body
// begins with the line after the header.
func Read(header tracer.Header, body io.Reader) ([]Event, error) {
	line, err := json.Marshal(header)
	if err != nil {
		return nil, err
	}
	trace := io.MultiReader(bytes.NewReader(append(line, '\n')), body)
	_, events, err := tracer.Read[Event](trace, header.Kind)
	return events, err
}

// When returns the time of the event since the start of the trace.
func (e Event) When() time.Duration { return time.Duration(e.At) }

// Prefixes returns the shared prefixes as the type that prefix caches use.
func (r RequestEvent) Prefixes() []prefixer.Prefix {
	prefixes := make([]prefixer.Prefix, 0, len(r.SharedPrefixes))
	for _, h := range r.SharedPrefixes {
		prefixes = append(prefixes, prefixer.Prefix(h))
	}
	return prefixes
}
