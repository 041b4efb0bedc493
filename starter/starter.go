// Package starter holds what every daemon does at its start and end: flags,
// logs, listeners, signals, and closing its parts in order.
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
	// ExitSettings is the exit code for refused settings or flags.
	ExitSettings = 2
	// ExitStart is the exit code for a failed start, such as a port in use.
	ExitStart = 3
	// ExitStop is the exit code for a stop that cut something off.
	ExitStop = 4
)

// DrainTimeout bounds a graceful stop. The platform kills the VM later.
const DrainTimeout = 10 * time.Minute

const (
	// logBurst is how many lines of one level are written in logPeriod.
	logBurst  = 200
	logPeriod = time.Second

	// logBuffer is how many lines wait to be written.
	logBuffer = 1024
)

// memoryShare is the part of the allowed memory that the runtime is told to stay
// below. The rest is for what it does not count.
const memoryShare = 0.7

type (
	// Flags holds the flags common to the daemons.
	Flags struct {
		// Settings is the path of the settings file.
		Settings string
		// Check only checks the settings.
		Check bool
	}

	// Closers closes parts in the reverse order of their addition. The zero
	// value is empty and ready to use.
	Closers struct {
		parts []io.Closer
	}

	// countingSampler counts the lines that another sampler drops.
	countingSampler struct {
		zerolog.Sampler
	}

	// connectionLog takes the lines of an HTTP server.
	connectionLog struct {
		log  zerolog.Logger
		part string
	}

	// ListenError reports an address that cannot be listened on.
	ListenError struct {
		Purpose string
		Address carawaybeam.Address
		Cause   error
	}
)

// droppedLines counts lost log lines of the process.
var droppedLines atomic.Uint64

func (e *ListenError) Error() string {
	return fmt.Sprintf("cannot listen for %s on %s: %v", e.Purpose, e.Address, e.Cause)
}

func (e *ListenError) Unwrap() error { return e.Cause }

// ParseFlags reads the flags of a daemon and exits on wrong ones.
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

// NewLog returns the log of a process, on standard output. It never blocks its
// caller: lines that cannot be written as fast as they come are dropped, and those
// of a level beyond a burst a second are. DroppedLines counts both. The copies get
// each line too; they must not block.
func NewLog(process string, copies ...io.Writer) zerolog.Logger {
	writer := diode.NewWriter(os.Stdout, logBuffer, 0, func(missed int) { droppedLines.Add(uint64(missed)) })
	return newLog(zerolog.MultiLevelWriter(append(copies, writer)...), process)
}

// DroppedLines returns how many log lines have been dropped.
func DroppedLines() uint64 { return droppedLines.Load() }

// newLog returns a log that drops lines of a level beyond a burst a second, so
// that a failure under load does not become a flood.
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

// Sample counts the lines that the sampler drops.
func (c *countingSampler) Sample(level zerolog.Level) bool {
	kept := c.Sampler.Sample(level)
	if !kept {
		droppedLines.Add(1)
	}
	return kept
}

// NewConnectionLog returns a log for what an HTTP server says of single
// connections, such as a failed TLS handshake.
func NewConnectionLog(log zerolog.Logger, part string) *stdlog.Logger {
	return stdlog.New(connectionLog{log: log, part: part}, "", 0)
}

// Write logs one line.
func (c connectionLog) Write(line []byte) (int, error) {
	c.log.Warn().Str("detail", strings.TrimSpace(string(line))).Msg(c.part + ": connection failed")
	return len(line), nil
}

// LimitMemory keeps the runtime below the memory in MB at which the process is
// killed.
func LimitMemory(megabytes int) {
	debug.SetMemoryLimit(int64(memoryShare * float64(megabytes) * (1 << 20)))
}

// Fail prints the error and exits.
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

// StopSignal returns a context that ends with the signal to stop.
func StopSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// Add adds a part to close.
func (c *Closers) Add(part io.Closer) { c.parts = append(c.parts, part) }

// Close closes all parts, the newest first, and joins their errors.
func (c *Closers) Close() error {
	var errs []error
	for i := len(c.parts) - 1; i >= 0; i-- {
		errs = append(errs, c.parts[i].Close())
	}
	c.parts = nil
	return errors.Join(errs...)
}
