package explorer_test

import (
	"fmt"
	"testing"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/explorer"
	"github.com/carawaybeam/carawaybeam/mapper"
	"github.com/carawaybeam/carawaybeam/prover"
)

const (
	// fullSeeds is the least number of seeds with which the test explores the
	// full set.
	fullSeeds = 100

	// deepSeeds is the same for explorations that take many minutes and need a
	// longer test timeout.
	deepSeeds = 1000

	// maxStates limits the memory of an exploration.
	maxStates = 40_000_000
)

func proposal(epoch carawaybeam.Epoch, step carawaybeam.Step) mapper.Assignment {
	return mapper.Assignment{ID: mapper.ProposalID{Epoch: epoch, Version: 1}, Step: step, Digest: mapper.Digest(epoch)}
}

func show(t *testing.T, name string, result explorer.Result) int {
	t.Helper()
	fmt.Println("explorer", name, result)
	for _, event := range result.Path {
		fmt.Println("  ", event)
	}
	if result.Violation != "" {
		return 1
	}
	return 0
}

// bounds is the configuration of one exhaustive exploration.
type bounds struct {
	name      string
	proposals []mapper.Assignment
	restarts  []int
	total     int
	faults    int
	// seeds is the least number of seeds with which the test runs the
	// exploration.
	seeds int
}

func TestPromiseOneMapExhaustive(t *testing.T) {
	one := []mapper.Assignment{proposal(1, 2)}
	two := []mapper.Assignment{proposal(1, 2), proposal(2, 2)}
	trials, violations := 0, 0
	for _, b := range []bounds{
		{
			name: "one proposal", proposals: one, restarts: []int{0, 0, 0},
			total: 0, faults: 0,
		},
		{
			name: "one proposal, one fault", proposals: one, restarts: []int{0, 0, 0},
			total: 0, faults: 1,
		},
		{
			name: "one proposal, member restarts", proposals: one, restarts: []int{0, 1, 0},
			total: 1, faults: 0,
		},
		{
			name: "one proposal, leader restarts", proposals: one, restarts: []int{1, 0, 0},
			total: 1, faults: 0,
		},
		{
			name: "one proposal, two faults", proposals: one, restarts: []int{0, 0, 0},
			total: 0, faults: 2, seeds: fullSeeds,
		},
		{
			name: "two proposals", proposals: two, restarts: []int{0, 0, 0},
			total: 0, faults: 0, seeds: fullSeeds,
		},
		{
			name: "member restarts, one fault", proposals: one, restarts: []int{0, 1, 0},
			total: 1, faults: 1, seeds: fullSeeds,
		},
		{
			name: "leader restarts, one fault", proposals: one, restarts: []int{1, 0, 0},
			total: 1, faults: 1, seeds: fullSeeds,
		},
		{
			name: "leader and member restart", proposals: one, restarts: []int{1, 1, 0},
			total: 2, faults: 0, seeds: fullSeeds,
		},
		{
			name: "two proposals, member restarts", proposals: two, restarts: []int{0, 1, 0},
			total: 1, seeds: deepSeeds,
		},
	} {
		if prover.Seeds() < b.seeds {
			continue
		}
		result := explorer.New(explorer.Options{
			Ranks: 3, Proposals: b.proposals, Steps: 2, Lookahead: 1, Faults: b.faults, Restarts: b.restarts,
			TotalRestarts: b.total, CheckProgress: 1000, Workers: 3, MaxStates: maxStates,
		}).Run()
		trials += result.States
		violations += show(t, b.name, result)
		if !result.Complete {
			t.Errorf("%s: exploration is not complete", b.name)
		}
	}
	prover.Report(t, prover.OneMap, trials, violations)
}

func TestPromiseOneMapWalks(t *testing.T) {
	walks := 100 * prover.Seeds()
	result := explorer.New(explorer.Options{
		Ranks:     3,
		Proposals: []mapper.Assignment{proposal(1, 2), proposal(2, 3)},
		Steps:     4, Lookahead: 1, Faults: 4, Restarts: []int{2, 2, 2}, TotalRestarts: 3,
	}).Walk(walks)
	prover.Report(t, prover.OneMap, walks, show(t, "walks", result))
}
