// Package prover reports how many trials of a promise a test ran and how many of
// them violated it. "make prove" adds up the lines that it prints.
package prover

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

// Promise is the name under which the trials of a guarantee are reported.
type Promise string

const (
	// OneMap promises that all ranks of a group use the same expert map in a
	// step.
	OneMap Promise = "oneExpertMap"
	// WholeAnswer promises that a successful answer is complete and belongs to
	// the request of the caller.
	WholeAnswer Promise = "wholeAnswer"
	// NotRun promises that a request reported as "not run" was not run.
	NotRun Promise = "notRunMeansNotRun"
	// AtMostOnce promises that a request that is not idempotent runs at most
	// once.
	AtMostOnce Promise = "atMostOnce"
	// LeavingServer promises that a leaving backend server gets no new work.
	LeavingServer Promise = "leavingServer"
	// PlannedStop promises that a planned stop interrupts no request in flight.
	PlannedStop Promise = "plannedStop"
	// ReadIsAnswered promises that a request of a client that an entry has read gets an
	// answer, also while its connection is about to be closed.
	ReadIsAnswered Promise = "readIsAnswered"
	// ReadinessCheck promises that a readiness check is answered within 1 s although others hold all
	// connections of its listener.
	ReadinessCheck Promise = "readinessCheck"
	// ConfigInForce promises that accepted configuration comes into force in
	// all processes and never reverts.
	ConfigInForce Promise = "configInForce"
	// PoisonRequest promises a bound on the backend servers that one request
	// can crash.
	PoisonRequest Promise = "poisonRequest"
	// ServerLimit promises that all processes together send a backend server no more
	// requests than it says that it takes.
	ServerLimit Promise = "serverLimit"
	// ServerSignals promises that a backend server which says that it is leaving, or wants
	// no requests for a time, gets none.
	ServerSignals Promise = "serverSignals"
	// OddObject promises that one object of another writer in the store leaves the others
	// readable.
	OddObject Promise = "oddObject"
	// PriorityOrder promises that a more urgent kind of requests is not served less often
	// than a less urgent one of the same pool.
	PriorityOrder Promise = "priorityOrder"
	// ColdServer promises that all processes together send a cold backend server no more
	// requests than it sustains.
	ColdServer Promise = "coldServer"
	// Evacuation promises that nothing is sent to an evacuated data centre.
	Evacuation Promise = "evacuation"
	// HomeRegions promises that a request whose route or organisation has home regions is sent to
	// backend servers in these only.
	HomeRegions Promise = "homeRegions"
	// SecondAttempts promises that all entries together send no more second attempts than operators
	// allow, and none of a request that must not run twice.
	SecondAttempts Promise = "secondAttempts"
	// OneWriter promises that only one of two attempts writes to the client.
	OneWriter Promise = "oneWriter"
	// Soak covers all promises that the soak test checks.
	Soak Promise = "soak"
)

const (
	// seedsVariable is the environment variable that sets the number of seeds.
	seedsVariable = "PROVE_SEEDS"

	// defaultSeeds is the number of seeds if that variable is unset or invalid.
	// CI uses it.
	defaultSeeds = 20
)

// Seeds returns the number of seeds that a test runs. Tests count seeds from 1,
// so that runs with the same number of seeds give the same result.
func Seeds() int {
	seeds, err := strconv.Atoi(os.Getenv(seedsVariable))
	if err != nil || seeds < 1 {
		return defaultSeeds
	}
	return seeds
}

// Report prints the line "promise NAME trials N violations M", which "make prove"
// adds up. It fails the test if there was a violation or no trial.
func Report(t testing.TB, promise Promise, trials, violations int) {
	t.Helper()
	fmt.Printf("promise %s trials %d violations %d\n", promise, trials, violations)
	if trials == 0 {
		t.Errorf("no trial of promise %s was run", promise)
	}
	if violations > 0 {
		t.Errorf("promise %s was violated %d times in %d trials", promise, violations, trials)
	}
}
