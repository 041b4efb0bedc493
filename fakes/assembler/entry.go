package assembler

import (
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/assessor"
	"github.com/carawaybeam/carawaybeam/binder"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/dispatcher"
	"github.com/carawaybeam/carawaybeam/evacuator"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
	"github.com/carawaybeam/carawaybeam/finisher"
	"github.com/carawaybeam/carawaybeam/follower"
	"github.com/carawaybeam/carawaybeam/limiter/unlimited"
	"github.com/carawaybeam/carawaybeam/quarantiner"
	"github.com/carawaybeam/carawaybeam/retrier/proof"
	"github.com/carawaybeam/carawaybeam/router/leastinflight"
	"github.com/carawaybeam/carawaybeam/starter"
	"github.com/carawaybeam/carawaybeam/tracker"
)

const (
	// These are the constants of cbentry for evacuations.
	evacuationsWait     = 1500 * time.Millisecond
	evacuationsInterval = 100 * time.Millisecond
	callTimeout         = time.Second
	reviewInterval      = 250 * time.Millisecond
)

type (
	// Entry holds the components of one entry.
	Entry struct {
		Configurer *configurer.Configurer
		Tracker    *tracker.Tracker
		Binder     *binder.Binder
		Dispatcher *dispatcher.Dispatcher
		Assessor   *assessor.Assessor
		Finisher   *finisher.Finisher
		// Evacuator is nil unless Options.Evacuations is set.
		Evacuator *evacuator.Evacuator
		// Store is the store as the entry reaches it.
		Store *storer.Link

		closers starter.Closers
	}
)

// StartEntry starts another entry and returns it.
func (a *Assembler) StartEntry() *Entry { return a.startEntry(storer.NewLink(a.Store, callTimeout)) }

// StartEntryCutOff starts another entry that is cut off from the store and returns it.
func (a *Assembler) StartEntryCutOff() *Entry {
	store := storer.NewLink(a.Store, callTimeout)
	store.SetCut(true)
	return a.startEntry(store)
}

func (a *Assembler) startEntry(store *storer.Link) *Entry {
	quarantine := quarantiner.New(quarantiner.Complete)
	e := &Entry{
		Configurer: configurer.New(), Assessor: assessor.New(), Finisher: finisher.New(),
		Store: store,
	}
	links := tracker.Options{
		Process:     fmt.Sprintf("entry-%d", len(a.Entries)),
		Incarnation: carawaybeam.NewIncarnation(),
		Lister:      a.Store.VMList(),
		Dialer:      a.Network,
		Config:      e.Configurer,
		Quarantiner: quarantine,
		Log:         zerolog.Nop(),
	}
	options := dispatcher.Options{
		ConfigObserver: e.Configurer,
		Router:         leastinflight.Router{},
		Limiter:        unlimited.Limiter{},
		Retrier:        proof.Retrier{},
		Quarantiner:    quarantine,
		Assessor:       e.Assessor,
		Finisher:       e.Finisher,
		Log:            zerolog.Nop(),
	}
	if a.options.Evacuations {
		e.Evacuator = evacuator.New(evacuator.Options{Log: zerolog.Nop()})
		links.Evacuations, options.Evacuations = e.Evacuator, e.Evacuator
		start := time.Now()
		e.closers.Add(follower.New(follower.Options{
			Store: e.Store, Kind: carawaybeam.KindEvacuation, Sink: e.Evacuator, Complete: e.Evacuator.Complete,
			Clock: func() time.Duration { return time.Since(start) }, Wait: evacuationsWait,
			MinInterval: evacuationsInterval, Log: zerolog.Nop(),
		}))
	}
	e.Tracker = tracker.New(links)
	e.closers.Add(e.Tracker)
	if a.options.Evacuations {
		e.closers.Add(starter.Repeat(reviewInterval, e.Tracker.ReviewEvacuations))
	}
	e.Binder = binder.New(e.Store)
	options.Members, options.Binder = e.Tracker, e.Binder
	e.Dispatcher = dispatcher.New(options)
	a.Entries = append(a.Entries, e)
	return e
}

// Kill ends the links of the entry and cuts it off from the store.
func (e *Entry) Kill() error {
	e.Store.SetCut(true)
	return e.closers.Close()
}

// Close stops the entry and waits for its requests. It may have been killed before.
func (e *Entry) Close() error {
	return errors.Join(e.Dispatcher.Close(), e.Binder.Close(), e.closers.Close())
}
