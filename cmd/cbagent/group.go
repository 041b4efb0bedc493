package main

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/certifier"
	"github.com/carawaybeam/carawaybeam/granter"
	"github.com/carawaybeam/carawaybeam/loader"
	"github.com/carawaybeam/carawaybeam/messenger"
)

// startGroup starts the granter of the rank that the settings name, if any.
func (d *daemon) startGroup(incarnation carawaybeam.Incarnation) error {
	settings := d.settings.Group
	if !settings.Enabled() {
		return nil
	}
	newClient, err := carawaybeam.RankClients.Lookup(settings.Protocol)
	if err != nil {
		return err
	}
	client, err := newClient(carawaybeam.RankClientOptions{URL: settings.URL, Timeout: time.Duration(settings.Timeout)})
	if err != nil {
		return err
	}
	dialer, err := d.peerDialer()
	if err != nil {
		return err
	}
	weights, err := newWeights(settings.Weights)
	if err != nil {
		return err
	}
	d.granter = granter.New(granter.Options{
		Group:       settings.ID,
		Rank:        settings.Rank,
		Incarnation: incarnation,
		Lookahead:   settings.Lookahead,
		Peers:       settings.Peers,
		Dialer:      dialer,
		Client:      client,
		Weights:     weights,
		Log:         d.log,
	})
	d.closers.Add(d.granter)
	return nil
}

// newWeights returns a source of weights with a client of the weight store that the
// settings name. Without one, it returns the zero value.
func newWeights(settings loader.Weights) (granter.WeightSource, error) {
	if settings.URL == "" {
		return granter.WeightSource{}, nil
	}
	newStore, err := carawaybeam.WeightStores.Lookup(settings.Protocol)
	if err != nil {
		return granter.WeightSource{}, err
	}
	store, err := newStore(carawaybeam.WeightStoreOptions{URL: settings.URL, Timeout: time.Duration(settings.Timeout)})
	if err != nil {
		return granter.WeightSource{}, err
	}
	return granter.WeightSource{
		Store:       store,
		Model:       settings.Model,
		RateLimiter: rate.NewLimiter(rate.Limit(settings.Rate), 1),
	}, nil
}

// peerDialer returns a dialer of links to the other agents of the group.
func (d *daemon) peerDialer() (messenger.Dialer, error) {
	if !d.settings.LinkTLS.Enabled() {
		return messenger.Dialer{}, nil
	}
	c, err := certifier.New(certifier.Files(d.settings.LinkTLS), d.log)
	if err != nil {
		return messenger.Dialer{}, err
	}
	return messenger.Dialer{TLS: c.Client(certifier.RoleAgent)}, nil
}

// rankHandler returns the handler of streams from other agents of the group, or nil if
// the backend server does not belong to a group.
func (d *daemon) rankHandler() carawaybeam.StreamHandler {
	if d.granter == nil {
		return nil
	}
	return d.granter
}

// groupState returns the state of the group for the state dump, or nil if the backend
// server does not belong to a group.
func (d *daemon) groupState() *granter.State {
	if d.granter == nil {
		return nil
	}
	state := d.granter.State()
	return &state
}
