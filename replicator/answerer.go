package replicator

import (
	"context"
	"errors"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/framer"
)

// askTimeout bounds one request to another process.
const askTimeout = 2 * time.Second

// errNoAnswer reports a process that does not answer a request.
var errNoAnswer = errors.New("process gave no answer")

// errNoDump reports a process that does not provide a state dump.
var errNoDump = errors.New("process does not provide a state dump")

// Answerer answers operators' requests that are forwarded by other processes. The
// request is the first frame of a stream, and the answer is the only frame in the
// other direction.
type Answerer struct {
	// Stop begins a graceful stop. If it is nil, stop requests are not answered.
	Stop func()
	// Dump returns the state dump. If it is nil, requests for the dump are not
	// answered.
	Dump func() ([]byte, error)
	// DumpPart returns the named part of the state dump, in the format of the
	// complete dump. If it is nil, Dump is used instead.
	DumpPart func(name string) ([]byte, error)
}

// Answer answers an operator's request. It returns false, without sending anything,
// if the frame is not such a request.
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
		// Stop ends the stream, so it is called after the answer has been sent.
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
	// The other process closes the stream when it has received the answer.
	_, _ = stream.Receive(askTimeout)
	return true
}

// dump returns the state dump, or the named part of it.
func (a Answerer) dump(part string) ([]byte, error) {
	switch {
	case part != "" && a.DumpPart != nil:
		return a.DumpPart(part)
	case a.Dump != nil:
		return a.Dump()
	}
	return nil, errNoDump
}

// Ask sends a request to the process at the address over a new link and returns
// the answer. It waits for up to 2 s.
func Ask(
	ctx context.Context,
	dialer carawaybeam.Dialer,
	address carawaybeam.Address,
	request *framer.Frame,
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
	if err := stream.Send(request); err != nil {
		return nil, err
	}
	answer, err := stream.Receive(askTimeout)
	if err != nil {
		return nil, errors.Join(errNoAnswer, err)
	}
	return answer, nil
}
