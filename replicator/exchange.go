// Package replicator replicates configuration changes between processes, so that
// only a few of them have to watch the platform's store.
//
// Each control stream has an Exchange, which sends the own configuration version to
// the peer, pulls changes that this process is missing and pushes new ones.
package replicator

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/framer"
)

// Exchange synchronises the configuration of this process with that of one peer.
// It does no I/O: the owner of the control stream passes each received frame to
// Receive and sends the frames that Outgoing returns. It is safe for concurrent
// use.
type Exchange struct {
	configurer *configurer.Configurer
	log        zerolog.Logger
	pending    chan struct{}

	mu sync.Mutex
	// peer is the last version that the peer advertised.
	peer carawaybeam.ConfigVersion
	// sequence is the sequence number of the Configurer at the last call of
	// Outgoing. Newer objects have not been pushed yet.
	sequence uint64
	// announced is the last version announced to the peer.
	announced carawaybeam.ConfigVersion
	queued    []*framer.Frame
}

// NewExchange returns an Exchange for one control stream.
func NewExchange(held *configurer.Configurer, log zerolog.Logger) *Exchange {
	return &Exchange{
		configurer: held,
		log:        log,
		pending:    make(chan struct{}, 1),
		sequence:   held.Sequence(),
	}
}

// Stamp sets the version and the state of the own configuration on a frame, and
// returns the frame.
func (x *Exchange) Stamp(frame *framer.Frame) *framer.Frame {
	frame.ConfigVersion = uint64(x.configurer.Version())
	frame.ConfigState = x.configurer.State()
	return frame
}

// Pending returns a channel that receives a value when frames are queued for
// Outgoing. The owner must also call Outgoing after each change of the Configurer.
func (x *Exchange) Pending() <-chan struct{} { return x.pending }

// Receive processes a frame from the peer.
func (x *Exchange) Receive(frame *framer.Frame) {
	if delta := frame.GetConfigDelta(); delta != nil {
		x.merge(delta)
	}
	version := carawaybeam.ConfigVersion(frame.GetConfigVersion())
	x.configurer.Observe(version)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.peer = version
	if pull := frame.GetConfigPull(); pull != nil {
		x.answerPull(carawaybeam.ConfigVersion(pull.GetSince()))
	}
	state := frame.GetConfigState()
	if x.peerHasMore(version, state) && x.configurer.TryPull() {
		pull := &framer.ConfigPull{Since: uint64(x.configurer.Complete())}
		x.queue(&framer.Frame{Body: &framer.Frame_ConfigPull{ConfigPull: pull}})
	}
	if age := state.GetAgeMs(); age > 0 && version >= x.configurer.Version() && !x.configurer.IsBehind() {
		x.configurer.MarkFresh(time.Now().Add(-time.Duration(age) * time.Millisecond))
	}
}

// peerHasMore reports whether the peer seems to hold changes that this process does
// not hold.
func (x *Exchange) peerHasMore(version carawaybeam.ConfigVersion, state *framer.ConfigState) bool {
	held := x.configurer.Version()
	if version > held {
		return true
	}
	newer := carawaybeam.ConfigVersion(state.GetNewest()) > held
	return newer && state.GetAhead() != x.configurer.State().GetAhead()
}

// answerPull queues the changes that the peer needs. A process that has not loaded
// any configuration does not answer.
func (x *Exchange) answerPull(since carawaybeam.ConfigVersion) {
	if x.configurer.Complete() == 0 {
		return
	}
	delta := x.configurer.Delta(since).Message()
	x.queue(&framer.Frame{Body: &framer.Frame_ConfigDelta{ConfigDelta: delta}})
}

// Queue adds a frame to those that Outgoing returns next.
func (x *Exchange) Queue(frame *framer.Frame) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.queue(frame)
}

func (x *Exchange) queue(frame *framer.Frame) {
	x.queued = append(x.queued, frame)
	select {
	case x.pending <- struct{}{}:
	default:
	}
}

func (x *Exchange) merge(delta *framer.ConfigDelta) {
	for _, invalid := range x.configurer.Merge(configurer.DeltaOf(delta)) {
		x.log.Error().Err(invalid).Msg("replicator: object is invalid and not in force")
	}
}

// Outgoing returns the frames to send now: the queued ones, a delta with changes
// that are new to the peer, or otherwise a keep-alive frame that announces a change
// of the own configuration.
func (x *Exchange) Outgoing() []*framer.Frame {
	x.mu.Lock()
	defer x.mu.Unlock()
	frames := x.queued
	x.queued = nil
	sequence, version := x.configurer.Sequence(), x.configurer.Version()
	changed := sequence > x.sequence || version > x.announced
	if x.peer > 0 && x.configurer.HasNewer(x.sequence, x.peer) {
		delta := x.configurer.Delta(x.peer).Message()
		frames = append(frames, &framer.Frame{Body: &framer.Frame_ConfigDelta{ConfigDelta: delta}})
	}
	x.sequence = sequence
	if len(frames) == 0 && changed {
		frames = append(frames, &framer.Frame{Body: &framer.Frame_KeepAlive{KeepAlive: &framer.KeepAlive{}}})
	}
	x.announced = version
	for _, frame := range frames {
		x.Stamp(frame)
	}
	return frames
}
