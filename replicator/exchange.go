// Package spreader carries changes of the configuration between processes, so
// that only a few of them watch the platform's store.
//
// Each control stream has an Exchange. It tells the peer what this process
// holds, pulls what the peer has newer, and pushes news.
package replicator

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/framer"
)

// Exchange keeps the configuration of this process and one peer alike. It does
// no I/O: the owner of the control stream hands it each frame received and sends
// those that it returns.
type Exchange struct {
	configurer *configurer.Configurer
	log        zerolog.Logger
	wake       chan struct{}

	mu sync.Mutex
	// peer is the version that the peer last claimed.
	peer carawaybeam.ConfigVersion
	// sequence is the number of the newest object pushed or pulled.
	sequence uint64
	// told is the own version that the peer was last told.
	told    carawaybeam.ConfigVersion
	waiting []*framer.Frame
}

// NewExchange returns an Exchange for one control stream.
func NewExchange(held *configurer.Configurer, log zerolog.Logger) *Exchange {
	return &Exchange{
		configurer: held,
		log:        log,
		wake:       make(chan struct{}, 1),
		sequence:   held.Sequence(),
	}
}

// Stamp sets on a frame what this process holds.
func (x *Exchange) Stamp(frame *framer.Frame) *framer.Frame {
	frame.ConfigVersion = uint64(x.configurer.Version())
	frame.ConfigState = x.configurer.State()
	return frame
}

// Pending receives a value when Outgoing has frames to send. The owner also calls
// Outgoing with each change of the Configurer.
func (x *Exchange) Pending() <-chan struct{} { return x.wake }

// Receive takes one frame of the peer.
func (x *Exchange) Receive(frame *framer.Frame) {
	if delta := frame.GetConfigDelta(); delta != nil {
		x.take(delta)
	}
	version := carawaybeam.ConfigVersion(frame.GetConfigVersion())
	x.configurer.Observe(version)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.peer = version
	if pull := frame.GetConfigPull(); pull != nil {
		x.answer(carawaybeam.ConfigVersion(pull.GetSince()))
	}
	state := frame.GetConfigState()
	if x.lacks(version, state) && x.configurer.TryPull() {
		pull := &framer.ConfigPull{Since: uint64(x.configurer.Complete())}
		x.queue(&framer.Frame{Body: &framer.Frame_ConfigPull{ConfigPull: pull}})
	}
	if age := state.GetAgeMs(); age > 0 && version >= x.configurer.Version() && !x.configurer.IsBehind() {
		x.configurer.MarkFresh(time.Now().Add(-time.Duration(age) * time.Millisecond))
	}
}

// lacks tells whether the peer seems to hold something that this process lacks.
func (x *Exchange) lacks(version carawaybeam.ConfigVersion, state *framer.ConfigState) bool {
	held := x.configurer.Version()
	if version > held {
		return true
	}
	newer := carawaybeam.ConfigVersion(state.GetNewest()) > held
	return newer && state.GetAhead() != x.configurer.State().GetAhead()
}

// answer queues what a peer lacks. A process that holds nothing stays silent.
func (x *Exchange) answer(since carawaybeam.ConfigVersion) {
	if x.configurer.Complete() == 0 {
		return
	}
	delta := x.configurer.Delta(since).Message()
	x.queue(&framer.Frame{Body: &framer.Frame_ConfigDelta{ConfigDelta: delta}})
}

// Queue adds a frame to those that Outgoing returns.
func (x *Exchange) Queue(frame *framer.Frame) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.queue(frame)
}

func (x *Exchange) queue(frame *framer.Frame) {
	x.waiting = append(x.waiting, frame)
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

func (x *Exchange) take(delta *framer.ConfigDelta) {
	for _, invalid := range x.configurer.Merge(configurer.DeltaOf(delta)) {
		x.log.Error().Err(invalid).Msg("spreader: object is not in force")
	}
}

// Outgoing returns the frames to send now: answers, news for the peer, and word
// that what this process holds has moved.
func (x *Exchange) Outgoing() []*framer.Frame {
	x.mu.Lock()
	defer x.mu.Unlock()
	frames := x.waiting
	x.waiting = nil
	sequence, version := x.configurer.Sequence(), x.configurer.Version()
	moved := sequence > x.sequence || version > x.told
	if x.peer > 0 && x.configurer.HasNewer(x.sequence, x.peer) {
		delta := x.configurer.Delta(x.peer).Message()
		frames = append(frames, &framer.Frame{Body: &framer.Frame_ConfigDelta{ConfigDelta: delta}})
	}
	x.sequence = sequence
	if len(frames) == 0 && moved {
		frames = append(frames, &framer.Frame{Body: &framer.Frame_KeepAlive{KeepAlive: &framer.KeepAlive{}}})
	}
	x.told = version
	for _, frame := range frames {
		x.Stamp(frame)
	}
	return frames
}
