// Command cbreplay replays a recorded trace through one decision plug-in, prints
// the figures and compares them with the expected outcome of the trace.
//
// It exits with 0 if the figures satisfy all bounds of the outcome, with 1 if
// they violate one, and with 2 if the input is invalid.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	_ "github.com/carawaybeam/carawaybeam/registrar"
	"github.com/carawaybeam/carawaybeam/replayer"
	"github.com/carawaybeam/carawaybeam/tracer"
)

const (
	exitMissed       = 1
	exitInvalidInput = 2
)

// options are the flags of the command.
type options struct {
	trace   string
	outcome string
	policy  string
	json    bool
}

var (
	errMissed              = errors.New("figures violate bounds of the outcome")
	errNoTrace             = errors.New("flag -trace is required")
	errNoPolicy            = errors.New("neither -policy nor the outcome names a plug-in")
	errUnexpectedArguments = errors.New("unexpected arguments that are not flags")
)

func main() {
	err := run(os.Args[1:], os.Stdout)
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
	case errors.Is(err, errMissed):
		os.Exit(exitMissed)
	default:
		fmt.Fprintln(os.Stderr, "cbreplay:", err)
		os.Exit(exitInvalidInput)
	}
}

// run replays the trace and writes the result. It returns errMissed if a figure
// violates a bound of the outcome.
func run(arguments []string, w io.Writer) error {
	o, err := parse(arguments)
	if err != nil {
		return err
	}
	outcome, err := readOutcome(o.outcome)
	if err != nil {
		return err
	}
	if o.policy == "" && outcome.Policy == "" {
		return errNoPolicy
	}
	trace, err := os.Open(o.trace)
	if err != nil {
		return err
	}
	report, err := replayer.Replay(trace, outcome, o.policy)
	if err := errors.Join(err, trace.Close()); err != nil {
		return fmt.Errorf("%s: %w", o.trace, err)
	}
	if err := write(w, report, outcome, o.json); err != nil {
		return err
	}
	if len(report.Misses) > 0 {
		return errMissed
	}
	return nil
}

func parse(arguments []string) (options, error) {
	var o options
	flags := flag.NewFlagSet("cbreplay", flag.ContinueOnError)
	flags.StringVar(&o.trace, "trace", "", "file with the trace")
	flags.StringVar(&o.outcome, "outcome", "", "file with the expected outcome; without it nothing is compared")
	flags.StringVar(&o.policy, "policy", "", "plug-in to use; by default the one named by the outcome")
	flags.BoolVar(&o.json, "json", false, "print JSON instead of a table")
	if err := flags.Parse(arguments); err != nil {
		return o, err
	}
	if flags.NArg() > 0 {
		return o, errUnexpectedArguments
	}
	if o.trace == "" {
		return o, errNoTrace
	}
	return o, nil
}

func readOutcome(path string) (tracer.Outcome, error) {
	if path == "" {
		return tracer.Outcome{}, nil
	}
	file, err := os.Open(path)
	if err != nil {
		return tracer.Outcome{}, err
	}
	outcome, err := tracer.ReadOutcome(file)
	if err := errors.Join(err, file.Close()); err != nil {
		return outcome, fmt.Errorf("%s: %w", path, err)
	}
	return outcome, nil
}

func write(w io.Writer, report replayer.Report, outcome tracer.Outcome, asJSON bool) error {
	if !asJSON {
		return replayer.WriteTable(w, report, outcome)
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}
