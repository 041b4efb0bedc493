// Command cbsoak runs the soak test: it injects faults, chosen by a seed, into real
// entry and agent processes and prints each violated promise. It is used for testing
// only.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/carawaybeam/carawaybeam/soaker"
)

// program is the name of the command in its messages.
const program = "cbsoak"

// crowdInterval is the interval of the seeds that have more entries than the others.
const crowdInterval = 10

type options struct {
	module  string
	logs    string
	first   uint64
	seeds   uint64
	jobs    int
	entries int
	callers int
	idle    int
	crowd   int
	span    time.Duration
}

var errViolated = errors.New("promises were violated")

func main() {
	var o options
	flag.StringVar(&o.module, "module", ".", "directory of the module")
	flag.StringVar(
		&o.logs,
		"logs",
		filepath.Join(os.TempDir(), program),
		"directory for settings and logs of each seed",
	)
	flag.Uint64Var(&o.first, "first", 1, "first seed")
	flag.Uint64Var(&o.seeds, "seeds", 10, "number of seeds")
	flag.IntVar(&o.jobs, "jobs", 4, "seeds that run at once")
	flag.IntVar(&o.entries, "entries", 3, "entries of each seed")
	flag.IntVar(&o.callers, "callers", 12, "callers of each seed")
	flag.IntVar(&o.idle, "idle", 96, "callers of each seed that leave connections idle")
	flag.IntVar(&o.crowd, "crowd", 24, "entries of each seed that is a multiple of 10")
	flag.DurationVar(&o.span, "span", 12*time.Second, "length of the period in which faults begin")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	run, err := soaker.Prepare(ctx, o.module, filepath.Join(o.logs, "bin"))
	if err != nil {
		return err
	}
	run.Callers, run.IdleCallers, run.FaultWindow = o.callers, o.idle, o.span
	var (
		wait     sync.WaitGroup
		next     atomic.Uint64
		violated atomic.Int64
	)
	for range o.jobs {
		wait.Go(func() {
			for n := next.Add(1); n <= o.seeds && ctx.Err() == nil; n = next.Add(1) {
				seed := o.first + n - 1
				run := run
				if run.Entries = o.entries; seed%crowdInterval == 0 {
					run.Entries = o.crowd
				}
				if !runSeed(ctx, run, o.logs, seed) {
					violated.Add(1)
				}
			}
		})
	}
	wait.Wait()
	fmt.Printf("%d seeds, %d with broken promises\n", o.seeds, violated.Load())
	if violated.Load() > 0 {
		return errViolated
	}
	return ctx.Err()
}

// runSeed runs one seed, prints its result and reports whether all promises were kept.
// If they were, it removes the logs of the seed.
func runSeed(ctx context.Context, run soaker.Options, logs string, seed uint64) bool {
	directory := filepath.Join(logs, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(directory, 0o755); err != nil {
		fmt.Printf("seed %d: %v\n", seed, err)
		return false
	}
	run.Directory, run.Seed = directory, seed
	result, err := soaker.Run(ctx, run)
	fmt.Printf("seed %d: %d faults, %d requests, %d served, %d changes of map, %d violations\n",
		seed, result.Faults, result.Requests, result.Served, result.MapChanges, len(result.Violations))
	for _, v := range result.Violations {
		fmt.Printf("seed %d: %s\n", seed, v)
	}
	if err != nil {
		fmt.Printf("seed %d: %v\n", seed, err)
	}
	if err != nil || len(result.Violations) > 0 {
		return false
	}
	if err := os.RemoveAll(directory); err != nil {
		fmt.Printf("seed %d: logs are left: %v\n", seed, err)
	}
	return true
}
