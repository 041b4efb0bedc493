package main

import (
	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/administrator"
)

// newViewer returns the read-only part of the operators' API.
func (e *directEntry) newViewer(dump func() ([]byte, error)) *administrator.Viewer {
	return administrator.NewViewer(administrator.ViewerOptions{
		Entry: e.enrolled(), Entries: e.entries.Entries, Dump: dump, LogLines: e.logKeeper.Lines,
		Routing: e.routingInForce,
	})
}

// routingInForce returns the routing configuration in force, or false if there is none yet.
func (e *directEntry) routingInForce() (carawaybeam.Routing, bool) {
	current := e.adopter.Current()
	if current == nil {
		return carawaybeam.Routing{}, false
	}
	return current.Routing(), true
}
