// Command cbslopes measures the cost of the control plane for each role. It
// starts real entries and agents on loopback addresses, without callers, in
// fleets of several sizes, and fits a line to control bytes, messages, processor
// time and memory against each size. docs/CAPACITY.md contains the results.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/carawaybeam/carawaybeam/starter"
)

const (
	program = "cbslopes"

	// settleTime is the delay before a measurement, which excludes the cost of
	// start-up.
	settleTime = 4 * time.Second
)

type (
	// size is the size of a fleet at which costs are measured.
	size struct {
		entries int
		agents  int
		// listed is the number of VMs in the VM list that don't run.
		listed        int
		organisations int
		classes       int
		// changes is the number of configuration changes per second.
		changes int
	}

	// axis varies one field of the size.
	axis struct {
		name   string
		values []int
		sizeAt func(int) size
	}
)

// axes returns the axes to measure, each with at least four points.
func axes() []axis {
	base := size{entries: 2, agents: 8, organisations: 10, classes: 3}
	with := func(set func(*size, int)) func(int) size {
		return func(value int) size {
			s := base
			set(&s, value)
			return s
		}
	}
	return []axis{
		{"agents", []int{8, 16, 32, 64, 128}, with(func(s *size, n int) { s.agents = n })},
		{"entries", []int{1, 2, 4, 8, 16}, with(func(s *size, n int) { s.entries = n })},
		{"listedVMs", []int{0, 1000, 2000, 4000}, with(func(s *size, n int) { s.listed = n })},
		{"organisations", []int{10, 700, 1400, 2800}, with(func(s *size, n int) { s.organisations = n })},
		{"classes", []int{3, 15, 29, 58}, with(func(s *size, n int) { s.classes = n })},
		{"changesPerSecond", []int{0, 2, 5, 10}, with(func(s *size, n int) { s.changes = n })},
	}
}

func main() {
	programs := flag.String("programs", "bin", "directory with the programs")
	window := flag.Duration("window", 10*time.Second, "time of each measurement")
	only := flag.String("only", "", "name of the one axis to measure, or empty for all")
	flag.Parse()
	ctx, cancel := starter.StopSignal()
	defer cancel()
	for _, a := range axes() {
		if *only != "" && a.name != *only {
			continue
		}
		if err := measureAxis(ctx, a, *programs, *window); err != nil {
			starter.Fail(program, 1, err)
		}
	}
}

func measureAxis(ctx context.Context, a axis, programs string, window time.Duration) error {
	costs := make([]costs, 0, len(a.values))
	for _, value := range a.values {
		c, err := measure(ctx, a.sizeAt(value), programs, window)
		if err != nil {
			return err
		}
		costs = append(costs, c)
	}
	printAxis(os.Stdout, a, costs)
	return nil
}

// measure starts a fleet of the size and measures its costs over the window.
func measure(ctx context.Context, s size, programs string, window time.Duration) (costs, error) {
	f, err := newFleet(ctx, s, programs)
	if err != nil {
		return costs{}, err
	}
	defer func() {
		if err := f.Close(); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, program+":", err)
		}
	}()
	if err := f.waitLinked(ctx); err != nil {
		return costs{}, err
	}
	stopChanges := f.startChanges(s.changes)
	defer stopChanges()
	if err := sleep(ctx, settleTime); err != nil {
		return costs{}, err
	}
	before, err := f.read(ctx)
	if err != nil {
		return costs{}, err
	}
	if err := sleep(ctx, window); err != nil {
		return costs{}, err
	}
	after, err := f.read(ctx)
	if err != nil {
		return costs{}, err
	}
	return after.since(before), nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
