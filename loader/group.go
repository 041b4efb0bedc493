package loader

import (
	"fmt"

	"github.com/carawaybeam/carawaybeam"
)

// Group tells an agent which rank of a lock-step group it serves. Without an id
// the backend server is of no group.
type Group struct {
	ID        carawaybeam.GroupID   `toml:"id"        doc:"Name of the group of ranks, or empty for none."`
	Rank      carawaybeam.Rank      `toml:"rank"      doc:"Rank that the agent serves, from 0."`
	Peers     []carawaybeam.Address `toml:"peers"     doc:"Link addresses of all agents, by rank."`
	Lookahead carawaybeam.Step      `toml:"lookahead" doc:"Steps granted ahead. The same in all agents of a group."`
	Protocol  string                `toml:"protocol"  doc:"Plug-in that speaks to the rank."`
	URL       string                `toml:"url"       doc:"Base address of the rank, such as http://127.0.0.1:5000."`
	Timeout   Duration              `toml:"timeout"   doc:"Bound on one call to the rank."`
	Weights   Weights               `toml:"weights"`
}

// Weights tells where the weights of newly held experts come from.
type Weights struct {
	Protocol string   `toml:"protocol" doc:"Plug-in that speaks to the weight store."`
	URL      string   `toml:"url"      doc:"Base address of the weight store, or empty if all weights are in place."`
	Timeout  Duration `toml:"timeout"  doc:"Bound on one call to the weight store."`
	Model    string   `toml:"model"    doc:"Model whose experts the group holds."`
	Rate     float64  `toml:"rate"     doc:"Experts fetched a second at most."`
}

// Enabled tells whether the agent serves a rank.
func (g Group) Enabled() bool { return g.ID != "" }

func (g Group) faults(links carawaybeam.Address) []fault {
	if !g.Enabled() {
		return nil
	}
	var faults []fault
	for _, peer := range g.Peers {
		faults = append(faults, address("group.peers", peer)...)
	}
	switch {
	case g.Rank < 0 || int(g.Rank) >= len(g.Peers):
		faults = append(
			faults,
			fault{key: "group.rank", detail: fmt.Sprintf("want a rank below the %d peers", len(g.Peers))},
		)
	case g.Peers[g.Rank] != links:
		faults = append(faults, fault{key: "group.peers", detail: "the address at the own rank is not that of links"})
	}
	if g.Lookahead == 0 {
		faults = append(faults, fault{key: "group.lookahead", detail: "want a positive number of steps"})
	}
	faults = append(faults, registered("group.protocol", &carawaybeam.RankClients, g.Protocol)...)
	faults = append(faults, Service{URL: g.URL, Timeout: g.Timeout}.faults("group")...)
	return append(faults, g.Weights.faults()...)
}

func (w Weights) faults() []fault {
	if w.URL == "" {
		return nil
	}
	faults := registered("group.weights.protocol", &carawaybeam.WeightStores, w.Protocol)
	faults = append(faults, Service{URL: w.URL, Timeout: w.Timeout}.faults("group.weights")...)
	faults = append(faults, required("group.weights.model", w.Model)...)
	if w.Rate <= 0 {
		faults = append(faults, fault{key: "group.weights.rate", detail: "want a positive number"})
	}
	return faults
}
