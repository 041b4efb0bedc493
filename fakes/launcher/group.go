package launcher

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/fakes/forwarder"
	"github.com/carawaybeam/carawaybeam/proposer"
	"github.com/carawaybeam/carawaybeam/verifier"
)

const (
	groupName    = "drafting"
	groupLayers  = 2
	groupExperts = 16
	groupSlots   = 6

	// groupPeriod is the time between two plans.
	groupPeriod = time.Second

	// groupStepsAhead is how many steps ahead a map switch is scheduled.
	groupStepsAhead = 50
)

type (
	// Group is a group of ranks with their agents, and the entries that control
	// the group.
	Group struct {
		fleet *Fleet
		ranks *Process
		// URL is the base URL of the stand-in for the ranks.
		URL    string
		Agents []*Process
		// Links are the forwarders in front of the agents, by rank.
		Links []*forwarder.Forwarder
		// Entries compete for control of the group.
		Entries []*Process
	}

	// GroupOptions configures StartGroup.
	GroupOptions struct {
		// Directory is where the programs and settings are written.
		Directory string
		// Module is the root directory of the module.
		Module  string
		Ranks   int
		Entries int
		// CheckFencing makes ranks refuse grants of older epochs.
		CheckFencing bool
	}
)

// StartGroup builds the programs, starts all processes of a group and writes
// the group's settings to the store. Also after an error, the Group must be
// closed.
func StartGroup(ctx context.Context, options GroupOptions) (*Group, error) {
	f := &Fleet{directory: options.Directory, programs: filepath.Join(options.Directory, "bin")}
	g := &Group{fleet: f}
	if err := Build(ctx, options.Module, f.programs); err != nil {
		return g, err
	}
	agents, err := freeAddresses(options.Ranks)
	if err != nil {
		return g, err
	}
	peers := make([]string, options.Ranks)
	for rank, address := range agents {
		link, forwarded, err := forwarder.Listen(address)
		if err != nil {
			return g, err
		}
		g.Links, peers[rank] = append(g.Links, link), forwarded
	}
	if err := g.startRanks(ctx, options); err != nil {
		return g, err
	}
	if err := f.startEntries(options.Entries); err != nil {
		return g, err
	}
	for rank, address := range agents {
		if err := g.addAgent(rank, address, peers); err != nil {
			return g, err
		}
	}
	for _, entry := range f.Entries {
		g.Entries = append(g.Entries, entry.Process)
	}
	return g, g.configure(ctx, peers)
}

// startRanks starts the ranks and waits until they answer.
func (g *Group) startRanks(ctx context.Context, options GroupOptions) error {
	address, err := FreeAddress()
	if err != nil {
		return err
	}
	g.URL = "http://" + address
	g.ranks, err = g.fleet.start(
		"cbfake", "-role", "group", "-listen", address,
		"-ranks", fmt.Sprint(options.Ranks), fmt.Sprintf("-fencing=%t", options.CheckFencing),
	)
	if err != nil {
		return err
	}
	for {
		var history json.RawMessage
		err := FetchJSON(ctx, g.URL+"/history", &history)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(readyInterval):
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		}
	}
}

func (g *Group) addAgent(rank int, address string, peers []string) error {
	admin, err := FreeAddress()
	if err != nil {
		return err
	}
	// Each agent listens on its own address, so its settings name that instead
	// of the forwarder's.
	ownPeers := slices.Clone(peers)
	ownPeers[rank] = address
	list, err := json.Marshal(ownPeers)
	if err != nil {
		return err
	}
	settings, err := g.fleet.write(fmt.Sprintf("rank-%d.toml", rank), fmt.Sprintf(
		"process = \"rank-%d\"\ndataCentre = \"dc\"\nlinks = %q\nadmin = %q\n\n"+
			"[backend]\nid = \"rank-%d\"\nurl = %q\n\n"+
			"[group]\nid = %q\nrank = %d\npeers = %s\nurl = %q\n\n"+
			"[group.weights]\nurl = %q\nmodel = \"draft\"\nrate = 100\n",
		rank, address, admin, rank, g.URL, groupName, rank, list, g.URL, g.fleet.storeURL,
	))
	if err != nil {
		return err
	}
	agent, err := g.fleet.start("cbagent", "-settings", settings)
	g.Agents = append(g.Agents, agent)
	return err
}

// configure writes the group's settings to the platform's store. It retries
// until the store answers or ctx ends.
func (g *Group) configure(ctx context.Context, peers []string) error {
	document := proposer.GroupSettings{
		Protocol: "rest", URL: g.URL, Layers: groupLayers, Experts: groupExperts, Slots: groupSlots,
		SkewPreference: 0.9, PeriodMs: groupPeriod.Milliseconds(), StepsAhead: groupStepsAhead,
	}
	for _, peer := range peers {
		document.Peers = append(document.Peers, carawaybeam.Address(peer))
	}
	value, err := json.Marshal(document)
	if err != nil {
		return err
	}
	url := g.fleet.storeURL + "/v1/objects/group/" + groupName
	for {
		err := put(ctx, url, value)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(readyInterval):
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		}
	}
}

func put(ctx context.Context, url string, value []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(value))
	if err != nil {
		return err
	}
	response, err := verifier.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		err = fmt.Errorf("store answered %d", response.StatusCode)
	}
	return errors.Join(err, response.Body.Close())
}

// Close stops all processes, entries first. It returns the errors of those that
// did not exit cleanly.
func (g *Group) Close() error {
	var errs []error
	for _, p := range append(g.Entries, g.Agents...) {
		errs = append(errs, p.Stop())
	}
	for _, link := range g.Links {
		errs = append(errs, link.Close())
	}
	return errors.Join(append(errs, g.fleet.platform.Stop(), g.ranks.Stop())...)
}
