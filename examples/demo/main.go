// Command demo starts fake servers, entries and agents as separate processes,
// requests a summary, a lookup, a booking and the same booking again, and prints
// the answers. It exits with 1 if an answer is not as expected or a process
// fails.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"time"
)

// demoTimeout is the maximum duration of the whole demo.
const demoTimeout = time.Minute

func main() {
	directory := flag.String("example", "examples/kitami", "directory with the settings of the processes")
	programs := flag.String("programs", "bin", "directory with the programs")
	full := flag.Bool("full", false, "start all processes of the example, not a small part")
	flag.Parse()
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	if err := run(ctx, *directory, *programs, *full); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, directory, programs string, full bool) (err error) {
	f := &fleet{directory: directory, programs: programs}
	defer func() { err = errors.Join(err, f.Close()) }()
	if err := f.start(ctx, full); err != nil {
		return err
	}
	fmt.Printf("demo: %d processes run\n", len(f.processes))
	return sendRequests(ctx, f)
}
