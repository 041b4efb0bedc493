package main

import (
	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/administrator"
	"github.com/carawaybeam/carawaybeam/applier"
	"github.com/carawaybeam/carawaybeam/certifier"
	"github.com/carawaybeam/carawaybeam/messenger"
	"github.com/carawaybeam/carawaybeam/replicator"
	"github.com/carawaybeam/carawaybeam/watcher"
)

// startReplication starts the parts that keep the configuration up to date: the links
// to other entries, and the watch of the store.
func (e *entry) startReplication(incarnation carawaybeam.Incarnation) error {
	links, err := e.listenLinks()
	if err != nil {
		return err
	}
	e.replicator = replicator.New(replicator.Options{
		Process:     e.settings.Process,
		Incarnation: incarnation,
		DataCentre:  e.settings.DataCentre,
		Address:     e.settings.Links,
		Configurer:  e.configurer,
		Dialer:      e.dialer(certifier.RoleEntry),
		Entries:     e.tracker.Entries,
		List:        e.tracker,
		Answerer: replicator.Answerer{
			Stop:     e.shutDown,
			Dump:     func() ([]byte, error) { return e.dumpOptions().Dump() },
			DumpPart: func(name string) ([]byte, error) { return e.dumpPart(e.dumpOptions(), name) },
		},
		Log: e.log,
	})
	e.closers.Add(e.replicator)
	e.listener = messenger.New(links, e.replicator)
	e.closers.Add(e.listener)
	e.closers.Add(watcher.New(watcher.Options{
		Store:      e.store,
		Configurer: e.configurer,
		IsWatcher:  e.replicator.IsWatcher,
		Log:        e.log,
	}))
	return nil
}

// administrator returns the handler of operators' requests.
func (e *entry) administrator() *administrator.Administrator {
	return administrator.New(administrator.Options{
		TokenHash: e.settings.Operators.TokenHash,
		Applier: applier.New(applier.Options{
			Store:      e.store,
			Configurer: e.configurer,
			Replicator: e.replicator,
			Log:        e.log,
		}),
		Configurer: e.configurer,
		Tracker:    e.tracker,
		Explain:    e.recorder.Explain,
		Evacuated:  e.evacuatedDataCentres,
		Dialer:     e.dialer(certifier.RoleEntry, certifier.RoleAgent),
	})
}
