package main

import (
	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/certifier"
	"github.com/carawaybeam/carawaybeam/proposer"
)

// controlGroups starts to compete with other entries for the control of the groups in
// the configuration.
func (e *entry) controlGroups(incarnation carawaybeam.Incarnation) error {
	newPlanner, err := carawaybeam.Planners.Lookup(e.settings.Policies.Planner)
	if err != nil {
		return err
	}
	e.closers.Add(proposer.New(e.holdEvacuatedGroups(proposer.Options{
		Store:      e.store,
		Config:     e.configurer,
		Dialer:     e.dialer(certifier.RoleAgent),
		NewPlanner: newPlanner,
		Holder:     incarnation,
		Log:        e.log,
	})))
	return nil
}
