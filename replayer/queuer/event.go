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
	// Event is one line of a trace of requests. Exactly one of its parts is
	// set.
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

	// ClassEvent tells a class and its targets.
	ClassEvent struct {
		ID            carawaybeam.ClassID `json:"id"`
		FirstToken    tracer.Duration     `json:"firstToken"`
		BetweenTokens tracer.Duration     `json:"betweenTokens"`
	}

	// BackendEvent tells of a backend server and what it can do.
	BackendEvent struct {
		ID              carawaybeam.BackendID  `json:"id"`
		DataCentre      carawaybeam.DataCentre `json:"dataCentre"`
		Slots           int                    `json:"slots"`
		PromptRate      float64                `json:"promptRate"`
		TokenTime       tracer.Duration        `json:"tokenTime"`
		TokenTimePerJob tracer.Duration        `json:"tokenTimeEach"`
		CacheCapacity   int                    `json:"cacheHeads"`
	}

	// EntriesEvent tells the entries, one for each element, by data centre, and
	// the time that a message takes one way.
	EntriesEvent struct {
		DataCentres    []carawaybeam.DataCentre `json:"dataCentres"`
		LatencyWithin  tracer.Duration          `json:"within"`
		LatencyBetween tracer.Duration          `json:"between"`
		// CacheEvents tells whether the load reports carry cache events.
		CacheEvents bool `json:"cacheEvents,omitempty"`
		// ClockSkew is how far the clock of each entry is ahead of the one before.
		ClockSkew tracer.Duration `json:"skew,omitempty"`
	}

	// RequestEvent tells of a request and its recorded demand.
	RequestEvent struct {
		// Entry is the position of the entry that it came to.
		Entry          int                        `json:"entry"`
		Class          carawaybeam.ClassID        `json:"class"`
		Organisation   carawaybeam.OrganisationID `json:"org"`
		Prompt         carawaybeam.Tokens         `json:"prompt"`
		Output         carawaybeam.Tokens         `json:"output"`
		SharedPrefixes []SharedPrefix             `json:"heads,omitempty"`
	}

	// SharedPrefix is a head that the prompt shares with others.
	SharedPrefix struct {
		Hash   prefixer.Hash      `json:"hash"`
		Tokens carawaybeam.Tokens `json:"tokens"`
	}

	// ReportsEvent tells how load reports fare from then on.
	ReportsEvent struct {
		// LossShare is the share that never arrives.
		LossShare float64 `json:"lost"`
		// Delay delays the others.
		Delay tracer.Duration `json:"late"`
	}

	// SlowdownEvent makes a backend server so many times slower from then on.
	SlowdownEvent struct {
		Backend carawaybeam.BackendID `json:"backend"`
		Factor  float64               `json:"factor"`
	}

	// OutageEvent tells that a data centre or one backend server goes, or comes
	// back.
	OutageEvent struct {
		DataCentre carawaybeam.DataCentre `json:"dataCentre,omitempty"`
		Backend    carawaybeam.BackendID  `json:"backend,omitempty"`
		Recovered  bool                   `json:"back,omitempty"`
	}

	// CachesClearedEvent tells that all prefix caches were emptied.
	CachesClearedEvent struct{}

	// StoreEvent tells that the platform's store and list of VMs go, or come
	// back. While they are gone, no entry learns of new backend servers.
	StoreEvent struct {
		Recovered bool `json:"back,omitempty"`
	}
)

// FloodingEvent names an organisation that asks for far more than its share.
type FloodingEvent struct {
	Organisation carawaybeam.OrganisationID `json:"org"`
}

// Read reads a trace whose header has been taken off.
func Read(header tracer.Header, body io.Reader) ([]Event, error) {
	line, err := json.Marshal(header)
	if err != nil {
		return nil, err
	}
	whole := io.MultiReader(bytes.NewReader(append(line, '\n')), body)
	_, events, err := tracer.Read[Event](whole, header.Kind)
	return events, err
}

// When returns the time of the event.
func (e Event) When() time.Duration { return time.Duration(e.At) }

// Prefixes returns the heads in the form that caches use.
func (r RequestEvent) Prefixes() []prefixer.Prefix {
	prefixes := make([]prefixer.Prefix, 0, len(r.SharedPrefixes))
	for _, h := range r.SharedPrefixes {
		prefixes = append(prefixes, prefixer.Prefix(h))
	}
	return prefixes
}
