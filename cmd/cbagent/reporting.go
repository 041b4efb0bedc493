package main

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/clock"
	"github.com/carawaybeam/carawaybeam/dumper"
	"github.com/carawaybeam/carawaybeam/enroller"
	"github.com/carawaybeam/carawaybeam/follower"
	"github.com/carawaybeam/carawaybeam/loader"
	"github.com/carawaybeam/carawaybeam/relayer"
	"github.com/carawaybeam/carawaybeam/reloader"
	"github.com/carawaybeam/carawaybeam/reporter"
	"github.com/carawaybeam/carawaybeam/starter"
)

const (
	// entriesWait is the time that one watch of the enrolled entries waits for a
	// change, entriesInterval the minimum time between two watches. Entries seldom
	// start or stop.
	entriesWait     = 30 * time.Second
	entriesInterval = time.Second
)

// reportingState is the state dump of an agent that only reports the state of a rank.
type reportingState struct {
	// Entries holds the enrolled entries, if the agent follows them.
	Entries []enroller.Entry `json:"entries"`
	// Recipients is the number of entries to which statuses are sent.
	Recipients int `json:"recipients"`
}

// runReporting reports the state of a rank to entries, and sends their orders to it, until
// it receives the signal to stop.
func runReporting(
	stop context.Context,
	reload chan os.Signal,
	file string,
	settings loader.Agent,
	log zerolog.Logger,
) error {
	starter.LimitMemory(settings.Reporting.MemoryMB)
	var closers starter.Closers
	closers.Add(reloader.New(reloader.Options{File: file, Signals: reload, Log: log, Apply: func(path string) error {
		changed, err := loader.LoadAgent(path)
		if err == nil {
			starter.LimitMemory(changed.Reporting.MemoryMB)
		}
		return err
	}}))
	newEngine, err := carawaybeam.RankEngines.Lookup(settings.Reporting.Protocol)
	if err != nil {
		return err
	}
	rank, err := newEngine(carawaybeam.RankEngineOptions{Address: settings.Reporting.Rank, Timeout: connectTimeout})
	if err != nil {
		return err
	}
	entries := enroller.NewEntrySet(log)
	if settings.Reporting.Store.URL != "" {
		store, err := settings.Reporting.Store.OpenStore(log)
		if err != nil {
			return err
		}
		closers.Add(follower.New(follower.Options{
			Store: store, Kind: carawaybeam.KindEntry, Sink: entries, Clock: clock.SinceBoot,
			Wait: entriesWait, MinInterval: entriesInterval, Log: log,
		}))
	}
	if err := startReporting(settings, rank, entries, &closers, log); err != nil {
		return errors.Join(err, closers.Close())
	}
	log.Info().Str("rank", string(settings.Reporting.Rank)).Msg("agent: started")
	<-stop.Done()
	err = closers.Close()
	log.Info().Msg("agent: stopped")
	return err
}

// startReporting opens the ports of the agent and starts to report.
func startReporting(
	settings loader.Agent,
	rank carawaybeam.RankEngine,
	entries *enroller.EntrySet,
	closers *starter.Closers,
	log zerolog.Logger,
) error {
	conn, err := net.ListenPacket("udp", string(settings.Links))
	if err != nil {
		return &starter.ListenError{Purpose: "requests of entries", Address: settings.Links, Cause: err}
	}
	admin, err := starter.Listen("operators", settings.Admin)
	if err != nil {
		return err
	}
	relay := relayer.New(relayer.Options{Address: settings.Reporting.Rank, Rank: rank, Log: log})
	closers.Add(relay)
	reports := reporter.New(reporter.Options{
		Sender:  settings.Process + "/" + string(carawaybeam.NewIncarnation()),
		Address: settings.Reporting.Rank,
		Rank:    rank,
		Entries: entries.Entries,
		Orders:  relay.Take,
		Conn:    conn,
		Log:     log,
	})
	closers.Add(reports)
	closers.Add(dumper.New(admin, dumper.Options{
		Process: settings.Process,
		Ready:   func() bool { return reports.Recipients() > 0 },
		State: func() any {
			return reportingState{Entries: entries.Entries(), Recipients: reports.Recipients()}
		},
		Log: log,
	}))
	return nil
}
