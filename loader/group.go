package loader

import (
	"fmt"

	"github.com/carawaybeam/carawaybeam"
)

// Group configures the rank of a lock-step group that an agent serves. If ID is
// empty, the backend server does not belong to a group.
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

// Weights configures the store from which the weights of newly placed experts are
// fetched.
type Weights struct {
	Protocol string   `toml:"protocol" doc:"Plug-in that speaks to the weight store."`
	URL      string   `toml:"url"      doc:"Base address of the weight store, or empty if all weights are in place."`
	Timeout  Duration `toml:"timeout"  doc:"Bound on one call to the weight store."`
	Model    string   `toml:"model"    doc:"Model whose experts the group holds."`
	Rate     float64  `toml:"rate"     doc:"Experts fetched a second at most."`
}

// Enabled reports whether the agent serves a rank.
func (g Group) Enabled() bool { return g.ID != "" }

func (g Group) validate(links carawaybeam.Address) []problem {
	if !g.Enabled() {
		return nil
	}
	var problems []problem
	for _, peer := range g.Peers {
		problems = append(problems, address("group.peers", peer)...)
	}
	switch {
	case g.Rank < 0 || int(g.Rank) >= len(g.Peers):
		problems = append(
			problems,
			problem{key: "group.rank", detail: fmt.Sprintf("want a rank below the %d peers", len(g.Peers))},
		)
	case g.Peers[g.Rank] != links:
		problems = append(
			problems,
			problem{key: "group.peers", detail: "want the address of links at the position of the own rank"},
		)
	}
	if g.Lookahead == 0 {
		problems = append(problems, problem{key: "group.lookahead", detail: "want a positive number of steps"})
	}
	problems = append(problems, registered("group.protocol", &carawaybeam.RankClients, g.Protocol)...)
	problems = append(problems, Service{URL: g.URL, Timeout: g.Timeout}.validate("group")...)
	return append(problems, g.Weights.validate()...)
}

func (w Weights) validate() []problem {
	if w.URL == "" {
		return nil
	}
	problems := registered("group.weights.protocol", &carawaybeam.WeightStores, w.Protocol)
	problems = append(problems, Service{URL: w.URL, Timeout: w.Timeout}.validate("group.weights")...)
	problems = append(problems, required("group.weights.model", w.Model)...)
	if w.Rate <= 0 {
		problems = append(problems, problem{key: "group.weights.rate", detail: "want a positive number"})
	}
	return problems
}
