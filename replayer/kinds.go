package replayer

import (
	"io"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/tracer"
)

// Kind replays the traces of one kind.
type Kind interface {
	// Replay puts the events of a trace through the policy of that name and
	// returns the figures by name.
	Replay(header tracer.Header, body io.Reader, policy string) (map[string]float64, error)
}

// Kinds holds the kinds of traces by name.
var Kinds carawaybeam.Registry[Kind]
