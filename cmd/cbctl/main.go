// Command cbctl is the operators' command-line client. It uses the API on the admin
// port of any entry.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/carawaybeam/carawaybeam/applier"
	"github.com/carawaybeam/carawaybeam/verifier"
)

const (
	exitDone        = 0
	exitFailed      = 1
	exitUsage       = 2
	exitRefused     = 3
	exitConflict    = 4
	exitUnavailable = 5
	exitUncertain   = 6
	exitNotInForce  = 7
	exitNotFound    = 8
	exitNotRecorded = 9
)

const (
	envAdmin = "CARAWAYBEAM_ADMIN"
	envToken = "CARAWAYBEAM_TOKEN"

	defaultAdmin   = "127.0.0.1:9000"
	defaultTimeout = 15 * time.Second
)

const usageText = `usage: cbctl [flags] COMMAND [arguments]

Commands:
  class list                        list the classes of work
  class get NAME                    show one class and who changed it last
  class set NAME FIELD=VALUE...     change some fields of a class
  class apply FILE                  make the classes of a file so
  class delete NAME                 delete a class
  organisation list|get|set|apply|delete
                                    the same for organisations
  apply [-wait] FILE                make all objects of a file so
  settle KIND NAME CHANGE EXPECT    find out what became of an uncertain change
  status                            targets met, backend servers, processes and
                                    versions; times are in UTC
  explain REQUEST                   why a request was routed or refused as it was
  dump PROCESS                      state dump of a process
  drain PROCESS                     begin the graceful stop of a process
  check FILE [-against FORCE|FILE] [-strict] [-output text|json] [-dialect NAME] [-settings FILE]
                                    find the faults of a routing configuration,
                                    and what it changes in the one in force

PROCESS is the identifier of a VM or backend server, as status shows it.
REQUEST is the identifier in the header Carawaybeam-Request of the answer.

Examples:
  cbctl class set drafting targets.firstToken=1.2s
  cbctl apply -wait classes.toml
  cbctl status
  cbctl -json status
  cbctl check main.json -against FORCE
  cbctl explain 0190a5c2-7d1e-4c39-9a53-5f2f0c6b8e11

Exit codes:
  0 done    1 failed    2 wrong usage    3 refused as invalid
  4 conflict: someone else changed the object since
  5 store unavailable, nothing was changed
  6 uncertain: the change may have taken effect, see the command that settles it
  7 accepted, but not in force everywhere in time
  8 there is no such object or process
  9 no entry has a record of the request, or no longer has
  check: 0 no errors    1 warnings, with -strict    2 errors or wrong usage
         5 the entry does not answer    8 the entry does not show its configuration

Flags:
`

type (
	// command is one invocation of cbctl.
	command struct {
		client  client
		out     io.Writer
		json    bool
		timeout time.Duration
	}

	// exitError is an error that determines the exit code of cbctl.
	exitError struct {
		code   int
		detail string
	}
)

func (e *exitError) Error() string { return e.detail }

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes cbctl with the given arguments and returns its exit code.
func run(args []string, out, errOut io.Writer) int {
	c := command{out: out}
	flags := flag.NewFlagSet("cbctl", flag.ContinueOnError)
	flags.SetOutput(errOut)
	flags.Usage = func() {
		_, _ = io.WriteString(errOut, usageText)
		flags.PrintDefaults()
	}
	flags.StringVar(&c.client.admin, "admin", environmentOr(envAdmin, defaultAdmin), "admin address of an entry")
	flags.StringVar(&c.client.operator, "by", environmentOr("USER", "unknown"), "name under which changes are recorded")
	tokenFile := flags.String("token", "", "file with the operators' token, else $"+envToken)
	flags.BoolVar(&c.json, "json", false, "print JSON")
	flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "how long to wait")
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return exitDone
	case err != nil:
		return exitUsage
	}
	err := c.readToken(*tokenFile)
	if err == nil {
		err = c.execute(flags.Args())
	}
	if err == nil {
		return exitDone
	}
	_, _ = fmt.Fprintf(errOut, "cbctl: %v\n", err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return exitFailed
}

// environmentOr returns the value of an environment variable, or the given value if
// the variable is unset or empty.
func environmentOr(variable, value string) string {
	if set := os.Getenv(variable); set != "" {
		return set
	}
	return value
}

// readToken reads the operators' token from the file, or from the environment if file
// is empty.
func (c *command) readToken(file string) error {
	c.client.token = os.Getenv(envToken)
	if file == "" {
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	c.client.token = strings.TrimSpace(string(data))
	return nil
}

func usage(detail string) error {
	return &exitError{code: exitUsage, detail: detail + ", see cbctl -h"}
}

// execute runs the command named by the first argument.
func (c *command) execute(args []string) error {
	c.client.http = verifier.NewClient(c.timeout)
	if len(args) == 0 {
		return usage("no command is given")
	}
	name, rest := args[0], args[1:]
	switch name {
	case "class", "organisation":
		return c.object(name, rest)
	case "apply":
		return c.apply(rest, "")
	case "settle":
		return c.settle(rest)
	case "status":
		return c.status(rest)
	case "explain":
		return c.explain(rest)
	case "check":
		return c.check(rest)
	case "dump", "drain":
		return c.process(name, rest)
	}
	return usage("there is no command " + name)
}

// exitCode returns the exit code for the status of a change.
func exitCode(status applier.Status) int {
	switch status {
	case applier.StatusAccepted, applier.StatusUnchanged:
		return exitDone
	case applier.StatusRefused:
		return exitRefused
	case applier.StatusConflict, applier.StatusNotApplied:
		return exitConflict
	case applier.StatusUnavailable:
		return exitUnavailable
	}
	return exitUncertain
}
