// Package adopter puts the newest routing configuration in force and never goes
// back to an older one.
package adopter

import (
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/matcher"
)

type (
	// Options is what an Adopter is made from.
	Options struct {
		// Name is the object that holds the configuration.
		Name string
		// Decode reads a configuration.
		Decode func(value []byte) (carawaybeam.Routing, error)
		Log    zerolog.Logger
	}

	// Adopter holds the configuration in force. Replace and Apply are called by
	// one goroutine, Current by any.
	Adopter struct {
		options Options
		current atomic.Pointer[matcher.Matcher]
	}
)

// New returns an Adopter without a configuration.
func New(options Options) *Adopter { return &Adopter{options: options} }

// Current returns the configuration in force, or nil.
func (a *Adopter) Current() *matcher.Matcher { return a.current.Load() }

// Replace takes all objects of the kind.
func (a *Adopter) Replace(objects []carawaybeam.Object) { a.Apply(objects) }

// Apply takes changed objects. A deletion changes nothing: the last accepted
// configuration stays in force.
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
			Msg("adopter: configuration is not in force")
		return
	}
	var before carawaybeam.ConfigVersion
	if current := a.current.Load(); current != nil {
		before = current.Version()
	}
	if routing.Version <= before {
		if routing.Version < before {
			a.options.Log.Warn().Uint64("version", uint64(routing.Version)).Uint64("inForce", uint64(before)).
				Msg("adopter: older configuration is ignored")
		}
		return
	}
	a.current.Store(matcher.New(routing))
	a.options.Log.Info().Uint64("version", uint64(routing.Version)).Uint64("before", uint64(before)).
		Int("routes", len(routing.Routes)).Int("keyHolders", len(routing.KeyHolders)).
		Msg("adopter: configuration is in force")
}
