package carawaybeam

import (
	"context"
	"time"
)

type (
	// ProposalID identifies a proposed expert map. Proposals are ordered by the
	// epoch of the controller, then by the version of the map. The zero value
	// stands for no proposal.
	ProposalID struct {
		Epoch   Epoch      `json:"epoch"`
		Version MapVersion `json:"version"`
	}

	// MapDigest is a 64-bit hash of the content of a map.
	MapDigest uint64

	// MapAssignment assigns a map to all steps from Step on.
	MapAssignment struct {
		ID     ProposalID `json:"id"`
		Step   Step       `json:"step"`
		Digest MapDigest  `json:"digest,string"`
	}

	// MapSchedule holds the last two assignments. Steps from Current.Step on use
	// the map of Current, earlier ones that of Previous.
	MapSchedule struct {
		Previous MapAssignment `json:"previous"`
		Current  MapAssignment `json:"current"`
	}

	// StepGrant permits a rank to run all steps up to and including Through with
	// the maps of Schedule. It contains only final decisions, so that a late or
	// repeated grant is harmless.
	StepGrant struct {
		Schedule MapSchedule `json:"schedule"`
		Through  Step        `json:"through"`
	}

	// RankReport is the state that a rank reports to the controller.
	RankReport struct {
		// Step is the step that the rank has entered last. It never decreases,
		// even when the rank restarts.
		Step Step `json:"step"`
		// Grant is the last grant that the rank accepted. It is zero after a
		// restart of the rank.
		Grant StepGrant `json:"grant"`
	}

	// RankClient is a client of the ranks of a group that takes grants: a rank
	// runs only steps for which it has a StepGrant. RankEngine is the client
	// for ranks that switch maps by orders instead.
	RankClient interface {
		// Report returns the current state of the rank.
		Report(ctx context.Context, rank Rank) (RankReport, error)
		// Grant sends the grant to the rank. The error is a *FencedError if
		// the rank refused the grant because of its epoch.
		Grant(ctx context.Context, rank Rank, grant StepGrant) error
		// Loads returns the recent load of each expert, by layer.
		Loads(ctx context.Context) ([]LayerLoad, error)
	}

	// RankClientOptions configures a RankClient plug-in.
	RankClientOptions struct {
		// URL is the base address of the ranks.
		URL string
		// Timeout is the timeout of one call.
		Timeout time.Duration
	}
)

// FencedError reports that a rank refused a grant because it had accepted one of
// a newer epoch before.
type FencedError struct {
	// Epoch is the epoch of the refused grant.
	Epoch Epoch
}

func (e *FencedError) Error() string { return "rank refused a grant of an outdated epoch" }

// Less reports whether p is ordered before other.
func (p ProposalID) Less(other ProposalID) bool {
	if p.Epoch != other.Epoch {
		return p.Epoch < other.Epoch
	}
	return p.Version < other.Version
}

// Exists reports whether the assignment belongs to a proposal, that is, whether
// its ID is not zero.
func (a MapAssignment) Exists() bool { return a.ID != ProposalID{} }

// At returns the assignment that applies to the step.
func (s MapSchedule) At(step Step) MapAssignment {
	if step >= s.Current.Step {
		return s.Current
	}
	return s.Previous
}
