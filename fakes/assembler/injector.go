package assembler

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/fakes/linker"
	"github.com/carawaybeam/carawaybeam/framer"
)

type (
	// injector applies the active faults to frames. Its decisions depend on the
	// seed, the time and the frame alone, so a replay can be repeated.
	injector struct {
		seed  uint64
		start time.Time

		mu     sync.Mutex
		faults []fault
	}

	fault struct {
		event Event
		until time.Time
		// address limits the fault to one agent. If it is empty, the fault
		// affects all agents.
		address carawaybeam.Address
	}
)

func newInjector(seed uint64) *injector { return &injector{seed: seed, start: time.Now()} }

func (i *injector) add(f fault) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = append(i.faults, f)
}

// decide returns what happens to one frame.
func (i *injector) decide(
	address carawaybeam.Address,
	direction linker.Direction,
	frame *framer.Frame,
) linker.Decision {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	var decision linker.Decision
	for index, f := range i.faults {
		if now.After(f.until) || f.address != "" && f.address != address {
			continue
		}
		if f.event.Do == ActionPauseAgent {
			decision.Delay = max(decision.Delay, f.until.Sub(now))
			continue
		}
		hit := f.event.Frame == "" || f.event.Frame == nameOf(frame)
		if hit && i.draw(index, direction, frame) < f.event.Share {
			f.event.apply(&decision)
		}
	}
	return decision
}

func (e Event) apply(decision *linker.Decision) {
	switch e.Do {
	case ActionLoseFrames:
		decision.Drop = true
	case ActionDelayFrames:
		decision.Delay = max(decision.Delay, time.Duration(e.Delay))
	case ActionCopyFrames:
		decision.Copies++
	case ActionCrossFrames:
		decision.Misdeliver = true
	case ActionCutStreams:
		decision.Cut = true
	}
}

// draw returns a pseudo-random number in [0, 1) for a frame and the fault with
// the index.
func (i *injector) draw(index int, direction linker.Direction, frame *framer.Frame) float64 {
	h := xxhash.NewWithSeed(i.seed)
	for _, part := range []uint64{
		uint64(index), uint64(direction), uint64(time.Since(i.start)), frame.GetChunk().GetOffset(),
	} {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, part))
	}
	_, _ = h.WriteString(nameOf(frame))
	return float64(h.Sum64()>>11) / (1 << 53)
}

// nameOf returns the name of the field that is set in the frame's body, or the
// empty string.
func nameOf(frame *framer.Frame) string {
	m := frame.ProtoReflect()
	field := m.WhichOneof(m.Descriptor().Oneofs().ByName("body"))
	if field == nil {
		return ""
	}
	return string(field.Name())
}
