package carawaybeam

import (
	"context"
	"time"
)

type (
	// ProposalID orders proposals: by the epoch of the controller, then by the
	// version of the map. The zero value stands for no proposal.
	ProposalID struct {
		Epoch   Epoch      `json:"epoch"`
		Version MapVersion `json:"version"`
	}

	// MapDigest is the 64-bit hash of the content of a map.
	MapDigest uint64

	// MapAssignment is a map and the first step that uses it.
	MapAssignment struct {
		ID     ProposalID `json:"id"`
		Step   Step       `json:"step"`
		Digest MapDigest  `json:"digest,string"`
	}

	// MapSchedule holds the last two assignments. Steps before the first one of
	// Current use Previous.
	MapSchedule struct {
		Previous MapAssignment `json:"previous"`
		Current  MapAssignment `json:"current"`
	}

	// StepGrant lets a rank run all steps up to Through on the maps of Schedule.
	// It states only what is decided for good, so that a late or repeated grant
	// does no harm.
	StepGrant struct {
		Schedule MapSchedule `json:"schedule"`
		Through  Step        `json:"through"`
	}

	// RankReport is what a rank tells of itself.
	RankReport struct {
		// Step is the step that the rank has entered. It never decreases, even
		// when the rank restarts.
		Step Step `json:"step"`
		// Grant is the last grant that the rank took. It is zero after a
		// restart of the rank.
		Grant StepGrant `json:"grant"`
	}

	// RankClient is a client of the ranks of a group.
	RankClient interface {
		// Report reads what the rank tells of itself now.
		Report(ctx context.Context, rank Rank) (RankReport, error)
		// Grant gives the rank its next steps. A *FencedError tells that the
		// rank refused it for its epoch.
		Grant(ctx context.Context, rank Rank, grant StepGrant) error
		// Loads returns the load of each expert of each layer lately.
		Loads(ctx context.Context) ([]LayerLoad, error)
	}

	// RankClientOptions is what a plug-in for ranks is made from.
	RankClientOptions struct {
		// URL is the base address of the ranks.
		URL string
		// Timeout bounds one call.
		Timeout time.Duration
	}
)

// FencedError reports that an engine refused an order of an older epoch than
// one it had taken before.
type FencedError struct {
	// Epoch is that of the refused order.
	Epoch Epoch
}

func (e *FencedError) Error() string { return "engine refused an order of an old epoch" }

// Less tells whether the proposal comes before the other one.
func (p ProposalID) Less(other ProposalID) bool {
	if p.Epoch != other.Epoch {
		return p.Epoch < other.Epoch
	}
	return p.Version < other.Version
}

// Exists tells whether the assignment is of a proposal.
func (a MapAssignment) Exists() bool { return a.ID != ProposalID{} }

// At returns the assignment whose map the step uses.
func (s MapSchedule) At(step Step) MapAssignment {
	if step >= s.Current.Step {
		return s.Current
	}
	return s.Previous
}
