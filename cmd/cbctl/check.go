package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/administrator"
	"github.com/carawaybeam/carawaybeam/checker"
	"github.com/carawaybeam/carawaybeam/loader"
	_ "github.com/carawaybeam/carawaybeam/platform" // Registers the dialect.
)

const (
	// Exit codes of the command check.
	exitWarnings = 1
	exitErrors   = 2

	// againstForce is the value of the flag -against for the configuration in force.
	againstForce = "FORCE"

	outputText = "text"
	outputJSON = "json"

	defaultDialect = "objects"
	checkUsage     = "check wants FILE [-against FORCE|FILE] [-strict] [-output text|json] [-dialect NAME] " +
		"[-settings FILE]"
)

type (
	// checkArguments holds the arguments of the command check.
	checkArguments struct {
		file    string
		against string
		strict  bool
		output  string
		dialect string
		// settings is the file with the settings of an entry, or empty.
		settings string
	}

	// decoder decodes a routing configuration.
	decoder func([]byte) (carawaybeam.Routing, error)

	// configuration is a file with a routing configuration. Decoding is done only if the file can be
	// read and is suitable to be checked.
	configuration struct {
		data      []byte
		err       error
		routing   carawaybeam.Routing
		decodeErr error
	}

	// checkResult is the JSON output of the command check.
	checkResult struct {
		File        string               `json:"file"`
		Errors      int                  `json:"errors"`
		Warnings    int                  `json:"warnings"`
		Findings    []checker.Finding    `json:"findings"`
		Against     string               `json:"against,omitempty"`
		Differences []checker.Difference `json:"differences"`
	}
)

// check checks a routing configuration before it comes into force.
func (c *command) check(args []string) error {
	arguments, err := c.parseCheck(args)
	if err != nil {
		return err
	}
	newDialect, err := carawaybeam.Dialects.Lookup(arguments.dialect)
	if err != nil {
		return usage(err.Error())
	}
	dialect := newDialect()
	describer, ok := dialect.(carawaybeam.RoutingDescriber)
	if !ok {
		return usage("the dialect " + arguments.dialect + " does not describe its configuration")
	}
	options := checker.Options{Decode: dialect.DecodeRouting, Schema: describer.RoutingSchema()}
	if arguments.settings != "" {
		if options.Regions, err = loader.LoadRegions(arguments.settings); err != nil {
			return &exitError{code: exitErrors, detail: err.Error()}
		}
	}
	// Decoding takes most of the time, so that both files are decoded at the same time.
	file := startReading(arguments.file, dialect.DecodeRouting)
	if arguments.against != "" {
		if err := c.compareWith(arguments.against, &options); err != nil {
			return err
		}
	}
	read := file()
	report := read.check(options)
	result := checkResult{
		File:        arguments.file,
		Errors:      report.Count(checker.SeverityError),
		Warnings:    report.Count(checker.SeverityWarning),
		Findings:    append([]checker.Finding{}, report.Findings...),
		Against:     arguments.against,
		Differences: append([]checker.Difference{}, report.Differences...),
	}
	if arguments.output == outputJSON {
		err = c.printJSON(result)
	} else {
		err = printCheck(c.out, &result)
	}
	switch {
	case err != nil:
		return err
	case result.Errors > 0:
		return &exitError{code: exitErrors, detail: fmt.Sprintf("%s has %d errors", arguments.file, result.Errors)}
	case result.Warnings > 0 && arguments.strict:
		return &exitError{
			code:   exitWarnings,
			detail: fmt.Sprintf("%s has %d warnings", arguments.file, result.Warnings),
		}
	}
	return nil
}

// parseCheck parses the arguments of the command check. Flags may stand before and after the file.
func (c *command) parseCheck(args []string) (checkArguments, error) {
	arguments := checkArguments{output: outputText}
	if c.json {
		arguments.output = outputJSON
	}
	flags := flag.NewFlagSet("check", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.StringVar(&arguments.against, "against", "", "configuration to compare with")
	flags.BoolVar(&arguments.strict, "strict", false, "fail on warnings")
	flags.StringVar(&arguments.output, "output", arguments.output, "text or json")
	flags.StringVar(&arguments.dialect, "dialect", defaultDialect, "plug-in that decodes the configuration")
	flags.StringVar(&arguments.settings, "settings", "", "settings of an entry, which name the regions")
	if err := flags.Parse(args); err != nil || flags.NArg() == 0 {
		return arguments, usage(checkUsage)
	}
	arguments.file = flags.Arg(0)
	if err := flags.Parse(flags.Args()[1:]); err != nil || flags.NArg() != 0 || arguments.file == "" {
		return arguments, usage(checkUsage)
	}
	if arguments.output != outputText && arguments.output != outputJSON {
		return arguments, usage(checkUsage)
	}
	return arguments, nil
}

// compareWith sets the configuration to compare with: the one in force on the entry, or a file.
func (c *command) compareWith(against string, options *checker.Options) error {
	if against != againstForce {
		c := readConfiguration(against, options.Decode)
		if c.err != nil {
			return &exitError{code: exitErrors, detail: c.err.Error()}
		}
		if finding, ok := checker.Suitable(c.data); !ok {
			return &exitError{code: exitErrors, detail: against + ": " + finding.Message}
		}
		if c.decodeErr != nil {
			return &exitError{code: exitErrors, detail: against + ": " + c.decodeErr.Error()}
		}
		snapshot := checker.NewSnapshot(c.routing)
		options.Against = &snapshot
		return nil
	}
	options.Against = &checker.Snapshot{}
	if err := c.fetch("/v1/routing", options.Against); err != nil {
		return err
	}
	var status administrator.Status
	if err := c.fetch("/v1/status", &status); err != nil {
		return err
	}
	options.Backends = make(map[carawaybeam.PoolID]int, len(status.Classes))
	for i := range status.Classes {
		options.Backends[carawaybeam.PoolID(status.Classes[i].Class)] = status.Classes[i].Live
	}
	return nil
}

// fetch gets a JSON document from the entry. If the entry cannot be reached, the error has the exit
// code exitUnavailable, as exitFailed stands for warnings.
func (c *command) fetch(path string, result any) error {
	err := c.client.call(http.MethodGet, path, nil, nil, result)
	var exit *exitError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &exit) && exit.code == exitNotFound:
		return &exitError{
			code:   exitNotFound,
			detail: "the entry does not show the configuration in force: " + exit.detail,
		}
	}
	return &exitError{code: exitUnavailable, detail: "cannot read the configuration in force: " + err.Error()}
}

// startReading reads and decodes a file in the background. The result waits for the end.
func startReading(name string, decode decoder) func() configuration {
	done := make(chan configuration, 1)
	go func() { done <- readConfiguration(name, decode) }()
	return func() configuration { return <-done }
}

// readConfiguration reads a file up to one byte more than the checker accepts. It decodes the file if it
// is suitable.
func readConfiguration(name string, decode decoder) configuration {
	var c configuration
	if c.data, c.err = readBounded(name); c.err != nil {
		return c
	}
	if _, ok := checker.Suitable(c.data); ok {
		c.routing, c.decodeErr = decode(c.data)
	}
	return c
}

func readBounded(name string) ([]byte, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return io.ReadAll(io.LimitReader(file, checker.MaxBytes+1))
}

// check checks the file. A file that cannot be read is a finding.
func (f *configuration) check(options checker.Options) checker.Report {
	if f.err != nil {
		return checker.Report{Findings: []checker.Finding{{
			Severity: checker.SeverityError, Code: checker.CodeUnreadable, Message: f.err.Error(),
		}}}
	}
	options.Decode = func([]byte) (carawaybeam.Routing, error) { return f.routing, f.decodeErr }
	return checker.New(options).Check(f.data)
}

// printCheck prints findings as "file:line:column: severity: path: message [code]", and differences.
func printCheck(out io.Writer, result *checkResult) error {
	for i := range result.Findings {
		f := &result.Findings[i]
		position := result.File
		if f.Line > 0 {
			position = fmt.Sprintf("%s:%d:%d", result.File, f.Line, f.Column)
		}
		if f.Path != "" {
			position += ": " + f.Path
		}
		_, _ = fmt.Fprintf(out, "%s: %s: %s [%s]\n", position, f.Severity, f.Message, f.Code)
	}
	_, _ = fmt.Fprintf(out, "%d errors, %d warnings\n", result.Errors, result.Warnings)
	if result.Against == "" {
		return nil
	}
	_, _ = fmt.Fprintf(out, "%d differences from %s\n", len(result.Differences), result.Against)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, d := range result.Differences {
		_, _ = fmt.Fprintln(w, strings.TrimRight(
			fmt.Sprintf("%s\t%s\t%s\t%s", d.Action, d.Subject, printable(d.Name), changeText(d)), "\t"))
	}
	return w.Flush()
}

// changeText describes the field of a difference and its values.
func changeText(d checker.Difference) string {
	switch {
	case d.Field == "":
		return ""
	case d.Action == checker.ActionChanged:
		return fmt.Sprintf("%s: %s -> %s", d.Field, printable(orNone(d.Before)), printable(orNone(d.After)))
	}
	return d.Field + " " + printable(d.Before+d.After)
}

// printable returns a text of a configuration without characters that a terminal would interpret.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r >= 0x7f && r < 0xa0 {
			return '?'
		}
		return r
	}, text)
}
