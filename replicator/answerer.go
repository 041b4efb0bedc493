package replicator

import (
	"context"
	"errors"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/framer"
)

// askTimeout bounds one question to another process.
const askTimeout = 2 * time.Second

// errNoAnswer reports a process that does not answer a question.
var errNoAnswer = errors.New("process gave no answer")

// errNoDump reports a process that gives no state dump.
var errNoDump = errors.New("process gives no state dump")

// Answerer answers the questions of operators that other processes pass on. Each
// question is the first frame of a stream, the answer the only frame back.
type Answerer struct {
	// Stop begins a graceful stop. Nil refuses to.
	Stop func()
	// Dump returns the state dump. Nil refuses to.
	Dump func() ([]byte, error)
	// DumpPart returns a part of the state dump by its name, in the form of the
	// whole one. Nil stands for Dump.
	DumpPart func(name string) ([]byte, error)
}

// Answer answers the frame and reports whether it was such a question.
func (a Answerer) Answer(held *configurer.Configurer, first *framer.Frame, stream carawaybeam.Stream) bool {
	var answer *framer.Frame
	switch body := first.GetBody().(type) {
	case *framer.Frame_ConfigPull:
		delta := held.Delta(carawaybeam.ConfigVersion(body.ConfigPull.GetSince())).Message()
		for _, invalid := range held.Invalid() {
			delta.Invalid = append(delta.Invalid, string(invalid.Kind)+"/"+invalid.Name)
		}
		answer = &framer.Frame{Body: &framer.Frame_ConfigDelta{ConfigDelta: delta}}
	case *framer.Frame_Drain:
		if a.Stop == nil {
			return true
		}
		// The stop ends the stream, so the answer goes first.
		defer a.Stop()
		answer = &framer.Frame{Body: &framer.Frame_Drained{Drained: &framer.Drained{}}}
	case *framer.Frame_DumpRequest:
		state, err := a.dump(body.DumpRequest.GetPart())
		if err != nil {
			return true
		}
		answer = &framer.Frame{Body: &framer.Frame_Dump{Dump: &framer.Dump{State: state}}}
	default:
		return false
	}
	answer.ConfigVersion = uint64(held.Version())
	_ = stream.Send(answer)
	// The asker closes the stream once it has the answer.
	_, _ = stream.Receive(askTimeout)
	return true
}

// dump returns the state dump, or a part of it.
func (a Answerer) dump(part string) ([]byte, error) {
	switch {
	case part != "" && a.DumpPart != nil:
		return a.DumpPart(part)
	case a.Dump != nil:
		return a.Dump()
	}
	return nil, errNoDump
}

// Ask puts a question to the process at the address and returns its answer.
func Ask(
	ctx context.Context,
	dialer carawaybeam.Dialer,
	address carawaybeam.Address,
	question *framer.Frame,
) (*framer.Frame, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	link, err := dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = link.Close() }()
	stream, err := link.Open(ctx)
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = link.Close() })
	defer stop()
	if err := stream.Send(question); err != nil {
		return nil, err
	}
	answer, err := stream.Receive(askTimeout)
	if err != nil {
		return nil, errors.Join(errNoAnswer, err)
	}
	return answer, nil
}
