// Package prover reports how often a promise was put to the test and how often
// it was broken. "make prove" adds up the lines it prints.
package prover

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

// Promise names one of the promises, or the handling of poison requests.
type Promise string

const (
	// OneMap is the promise that all ranks use one expert map in a step.
	OneMap Promise = "oneExpertMap"
	// WholeAnswer is the promise of the whole answer to one's own request.
	WholeAnswer Promise = "wholeAnswer"
	// NotRun is the promise that "not run" means not run.
	NotRun Promise = "notRunMeansNotRun"
	// AtMostOnce is the promise that a non-idempotent request runs at most
	// once.
	AtMostOnce Promise = "atMostOnce"
	// LeavingServer is the promise that a leaving backend server gets no new
	// work.
	LeavingServer Promise = "leavingServer"
	// PlannedStop is the promise that a planned stop cuts off nothing.
	PlannedStop Promise = "plannedStop"
	// ConfigInForce is the promise that accepted configuration is in force
	// everywhere and never reverts.
	ConfigInForce Promise = "configInForce"
	// PoisonRequest is the bound on backend servers crashed by one request.
	PoisonRequest Promise = "poisonRequest"
	// Soak stands for all promises that the soak holds its runs against.
	Soak Promise = "soak"
)

const (
	// seedsVariable is the environment variable with the number of seeds.
	seedsVariable = "PROVE_SEEDS"

	// defaultSeeds is the number of seeds without that variable, as in CI.
	defaultSeeds = 20
)

// Seeds returns how many seeds a proof runs. Seeds are 1, 2, 3 and so on, so
// that each run of the same number gives the same verdict.
func Seeds() int {
	seeds, err := strconv.Atoi(os.Getenv(seedsVariable))
	if err != nil || seeds < 1 {
		return defaultSeeds
	}
	return seeds
}

// Report prints the result of a proof and fails the test on any violation.
func Report(t testing.TB, promise Promise, trials, violations int) {
	t.Helper()
	fmt.Printf("promise %s trials %d violations %d\n", promise, trials, violations)
	if trials == 0 {
		t.Errorf("promise %s was not tried", promise)
	}
	if violations > 0 {
		t.Errorf("promise %s was broken %d times in %d trials", promise, violations, trials)
	}
}
