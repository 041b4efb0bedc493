// Package starter contains the startup and shutdown code shared by the daemons:
// flags, logging, listeners, signals, and closing components in order.
package starter

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// ExitSettings is the exit code for invalid settings or flags.
	ExitSettings = 2
	// ExitStart is the exit code for a failed start, for example if a port is in
	// use.
	ExitStart = 3
	// ExitStop is the exit code for a failed stop, for example one that
	// interrupted requests.
	ExitStop = 4
)

// DrainTimeout bounds a graceful stop. The platform kills the VM only later.
const DrainTimeout = 10 * time.Minute

const (
	// logBurst is the maximum number of lines per level that are logged within
	// logPeriod.
	logBurst  = 200
	logPeriod = time.Second

	// logBuffer is the number of lines that can wait to be written.
	logBuffer = 1024

	// maxLine is the maximum size of a line, and maxErrorLine that of an error, which may have a stack. A
	// line may quote an identifier that a client chose.
	maxLine      = 4 << 10
	maxErrorLine = 64 << 10
)

// memoryShare is the share of the available memory that is set as the memory limit
// of the Go runtime. The rest is for memory that the runtime does not count.
const memoryShare = 0.7

type (
	// Flags holds the flags common to the daemons.
	Flags struct {
		// Settings is the path of the settings file.
		Settings string
		// Check is set if the settings are only to be checked.
		Check bool
	}

	// Closers closes components in the reverse order of their addition. The
	// zero value is empty and ready to use.
	Closers struct {
		components []io.Closer
	}

	// countingSampler counts the lines that another sampler drops.
	countingSampler struct {
		zerolog.Sampler
	}

	// boundedWriter leaves out lines that are too long.
	boundedWriter struct {
		zerolog.LevelWriter
	}

	// connectionLog is an io.Writer that logs the messages of an HTTP server.
	connectionLog struct {
		log       zerolog.Logger
		component string
	}

	// ListenError reports a failure to listen on an address.
	ListenError struct {
		Purpose string
		Address carawaybeam.Address
		Cause   error
	}
)

// droppedLines is the number of log lines dropped by the process.
var droppedLines atomic.Uint64

func (e *ListenError) Error() string {
	return fmt.Sprintf("cannot listen for %s on %s: %v", e.Purpose, e.Address, e.Cause)
}

func (e *ListenError) Unwrap() error { return e.Cause }

// ParseFlags parses the flags of a daemon. It exits the process with ExitSettings if
// they are invalid, and with 0 if help was requested.
func ParseFlags(program string, args []string) Flags {
	var flags Flags
	set := flag.NewFlagSet(program, flag.ContinueOnError)
	set.StringVar(&flags.Settings, "settings", program+".toml", "path of the settings file")
	set.BoolVar(&flags.Check, "check", false, "only check the settings")
	switch err := set.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		os.Exit(0)
	case err != nil:
		os.Exit(ExitSettings)
	}
	return flags
}

// NewLog returns the log of a process, which writes to standard output and never
// blocks its caller. Lines are dropped if they cannot be written fast enough, or if
// there are more than 200 of one level in a second. DroppedLines counts both. The
// lines that pass the rate limit are also written to the copies, which must not
// block.
func NewLog(process string, copies ...io.Writer) zerolog.Logger {
	writer := diode.NewWriter(os.Stdout, logBuffer, 0, func(missed int) { droppedLines.Add(uint64(missed)) })
	return newLog(boundedWriter{zerolog.MultiLevelWriter(append(copies, writer)...)}, process)
}

// DroppedLines returns how many log lines have been dropped.
func DroppedLines() uint64 { return droppedLines.Load() }

// newLog returns a log that limits the rate of lines of each level, so that a
// failure under load does not flood the log.
func newLog(w io.Writer, process string) zerolog.Logger {
	sampler := func() zerolog.Sampler {
		return &countingSampler{&zerolog.BurstSampler{Burst: logBurst, Period: logPeriod}}
	}
	return zerolog.New(w).With().Timestamp().Str("process", process).Logger().Sample(zerolog.LevelSampler{
		DebugSampler: sampler(),
		InfoSampler:  sampler(),
		WarnSampler:  sampler(),
		ErrorSampler: sampler(),
	})
}

// WriteLevel writes a line unless it is too long. It counts those that are dropped.
func (w boundedWriter) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	limit := maxLine
	if level >= zerolog.ErrorLevel {
		limit = maxErrorLine
	}
	if len(line) > limit {
		droppedLines.Add(1)
		return len(line), nil
	}
	return w.LevelWriter.WriteLevel(level, line)
}

// Sample reports whether a line is kept, and counts it if it is dropped.
func (c *countingSampler) Sample(level zerolog.Level) bool {
	kept := c.Sampler.Sample(level)
	if !kept {
		droppedLines.Add(1)
	}
	return kept
}

// NewConnectionLog returns a log for the errors that an HTTP server reports about
// single connections, such as a failed TLS handshake. The component is the prefix of
// the log messages.
func NewConnectionLog(log zerolog.Logger, component string) *stdlog.Logger {
	return stdlog.New(connectionLog{log: log, component: component}, "", 0)
}

// Write logs one line as a warning. The error is always nil.
func (c connectionLog) Write(line []byte) (int, error) {
	c.log.Warn().Str("detail", strings.TrimSpace(string(line))).Msg(c.component + ": connection failed")
	return len(line), nil
}

// LimitMemory sets the memory limit of the Go runtime to 70% of the memory in MB at
// which the process is killed.
func LimitMemory(megabytes int) {
	debug.SetMemoryLimit(int64(memoryShare * float64(megabytes) * (1 << 20)))
}

// Fail prints the error to standard error and exits with the code.
func Fail(program string, code int, err error) {
	_, _ = fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
	os.Exit(code)
}

// Listen listens on an address. Errors are of type *ListenError.
func Listen(purpose string, address carawaybeam.Address) (net.Listener, error) {
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return nil, &ListenError{Purpose: purpose, Address: address, Cause: err}
	}
	return listener, nil
}

// StopSignal returns a context that ends on SIGTERM or SIGINT.
func StopSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// ReloadSignal returns a channel that receives SIGHUP, which then no longer ends the
// process. It is to be called before the settings are read, so that no change is missed.
func ReloadSignal() chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// Add adds a component.
func (c *Closers) Add(component io.Closer) { c.components = append(c.components, component) }

// Close closes all components, the most recently added first, and joins their
// errors.
func (c *Closers) Close() error {
	var errs []error
	for i := len(c.components) - 1; i >= 0; i-- {
		errs = append(errs, c.components[i].Close())
	}
	c.components = nil
	return errors.Join(errs...)
}
