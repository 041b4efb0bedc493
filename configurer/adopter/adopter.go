// Package adopter holds the newest routing configuration read from the store. It
// never returns to an older version.
package adopter

import (
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/matcher"
)

type (
	// Options configures an Adopter.
	Options struct {
		// Name is the name of the object that contains the configuration.
		Name string
		// Decode decodes a configuration.
		Decode func(value []byte) (carawaybeam.Routing, error)
		Log    zerolog.Logger
	}

	// Adopter holds the configuration in force. Replace and Apply must be called
	// by one goroutine only; Current is safe for concurrent use.
	Adopter struct {
		options Options
		current atomic.Pointer[matcher.Matcher]
	}
)

// New returns an Adopter without a configuration.
func New(options Options) *Adopter { return &Adopter{options: options} }

// Current returns the configuration in force, or nil if there is none yet.
func (a *Adopter) Current() *matcher.Matcher { return a.current.Load() }

// Replace receives all objects of the kind.
func (a *Adopter) Replace(objects []carawaybeam.Object) { a.Apply(objects) }

// Apply receives changed objects. A deletion is ignored: the last accepted
// configuration remains in force.
func (a *Adopter) Apply(changes []carawaybeam.Object) {
	for _, o := range changes {
		if o.Name == a.options.Name && !o.Deleted {
			a.adopt(o)
		}
	}
}

func (a *Adopter) adopt(o carawaybeam.Object) {
	routing, err := a.options.Decode(o.Value)
	if err != nil {
		a.options.Log.Error().Err(err).Uint64("storeVersion", uint64(o.Version)).
			Msg("adopter: configuration is invalid, keeping the previous one")
		return
	}
	var before carawaybeam.ConfigVersion
	if current := a.current.Load(); current != nil {
		before = current.Version()
	}
	if routing.Version <= before {
		if routing.Version < before {
			a.options.Log.Warn().Uint64("version", uint64(routing.Version)).Uint64("inForce", uint64(before)).
				Msg("adopter: ignoring older configuration")
		}
		return
	}
	a.current.Store(matcher.New(routing))
	a.options.Log.Info().Uint64("version", uint64(routing.Version)).Uint64("before", uint64(before)).
		Int("routes", len(routing.Routes)).Int("keyHolders", len(routing.KeyHolders)).
		Msg("adopter: configuration is in force")
}
