// Package locator maps data centres to regions, as the settings of the process name them, and reviews
// the homes of a configuration against them.
package locator

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
)

// maxLogged is the maximum number of oddities that are logged.
const maxLogged = 256

type (
	// Options configures a Locator.
	Options struct {
		// Regions holds the region of each data centre. It must not be changed afterwards.
		Regions map[carawaybeam.DataCentre]carawaybeam.Region
		Log     zerolog.Logger
	}

	// Locator knows the regions of data centres. Its methods are safe for concurrent use.
	Locator struct {
		options Options
		known   map[carawaybeam.Region]struct{}
		refused atomic.Uint64

		mu sync.Mutex
		// logged holds what was logged.
		logged map[oddity]struct{}
		// unlocated holds the data centres without a region.
		unlocated map[carawaybeam.DataCentre]struct{}
	}

	// Homes are those of one route, class of work or organisation.
	Homes struct {
		// Owner names it in log lines, such as "route chat".
		Owner   string
		Regions []carawaybeam.Region
		// Fault says what of the homes is unreadable, or is empty.
		Fault string
	}

	// oddity is something that is logged once.
	oddity struct {
		kind   string
		name   string
		detail string
	}

	// State is the state dump of a Locator.
	State struct {
		// Regions holds the data centres of each region.
		Regions map[carawaybeam.Region][]carawaybeam.DataCentre `json:"regions"`
		// Unlocated lists the data centres of backend servers whose region is unknown. Requests with
		// homes are not sent there.
		Unlocated []carawaybeam.DataCentre `json:"unlocated,omitempty"`
		// Refused is the number of requests that were rejected because no backend server is in a
		// home region.
		Refused uint64 `json:"refused"`
	}
)

// New returns a Locator.
func New(options Options) *Locator {
	l := &Locator{
		options:   options,
		known:     make(map[carawaybeam.Region]struct{}),
		logged:    make(map[oddity]struct{}),
		unlocated: make(map[carawaybeam.DataCentre]struct{}),
	}
	for _, region := range options.Regions {
		l.known[region] = struct{}{}
	}
	return l
}

// Region returns the region of a data centre, or an empty one if it is unknown.
func (l *Locator) Region(dataCentre carawaybeam.DataCentre) carawaybeam.Region {
	return l.options.Regions[dataCentre]
}

// CountRefused counts a request that was rejected because no backend server is in a home region.
func (l *Locator) CountRefused() { l.refused.Add(1) }

// Review logs homes that cannot be read or name a region without data centres, and data centres of
// backend servers without a region. Each is logged once. It is called from time to time while a
// configuration has homes.
func (l *Locator) Review(homes []Homes, dataCentres []carawaybeam.DataCentre) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range homes {
		if h.Fault != "" && l.isNew(oddity{kind: "homes", name: h.Owner, detail: h.Fault}) {
			l.options.Log.Error().Str("owner", h.Owner).Str("fault", h.Fault).Int("regions", len(h.Regions)).
				Msg("locator: homes are unreadable, requests are served in the readable ones only")
		}
		for _, region := range h.Regions {
			if _, ok := l.known[region]; !ok && l.isNew(oddity{kind: "region", name: string(region)}) {
				l.options.Log.Warn().Str("owner", h.Owner).Str("region", string(region)).
					Msg("locator: home region has no data centre in the settings")
			}
		}
	}
	clear(l.unlocated)
	for _, dataCentre := range dataCentres {
		if l.options.Regions[dataCentre] != "" {
			continue
		}
		l.unlocated[dataCentre] = struct{}{}
		if l.isNew(oddity{kind: "dataCentre", name: string(dataCentre)}) {
			l.options.Log.Warn().Str("dataCentre", string(dataCentre)).
				Msg("locator: data centre has no region in the settings, requests with homes are not sent there")
		}
	}
}

// isNew reports whether an oddity has not been logged, and records that it is. The caller holds mu.
func (l *Locator) isNew(odd oddity) bool {
	if _, ok := l.logged[odd]; ok || len(l.logged) >= maxLogged {
		return false
	}
	l.logged[odd] = struct{}{}
	return true
}

// State returns the state dump.
func (l *Locator) State() State {
	state := State{
		Regions: make(map[carawaybeam.Region][]carawaybeam.DataCentre), Refused: l.refused.Load(),
	}
	for dataCentre, region := range l.options.Regions {
		state.Regions[region] = append(state.Regions[region], dataCentre)
	}
	for _, dataCentres := range state.Regions {
		slices.Sort(dataCentres)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	state.Unlocated = slices.Sorted(maps.Keys(l.unlocated))
	return state
}
