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
	// injector decides on frames by the faults in force. Its choice depends on
	// the seed, the time and the frame alone.
	injector struct {
		seed  uint64
		start time.Time

		mu     sync.Mutex
		faults []fault
	}

	fault struct {
		event Event
		until time.Time
		// address limits the fault to one agent, unless it is empty.
		address carawaybeam.Address
	}
)

func newInjector(seed uint64) *injector { return &injector{seed: seed, start: time.Now()} }

func (i *injector) add(f fault) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = append(i.faults, f)
}

// verdict decides on one frame.
func (i *injector) verdict(
	address carawaybeam.Address,
	direction linker.Direction,
	frame *framer.Frame,
) linker.Decision {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	var v linker.Decision
	for n, f := range i.faults {
		if now.After(f.until) || f.address != "" && f.address != address {
			continue
		}
		if f.event.Do == ActionPauseAgent {
			v.Delay = max(v.Delay, f.until.Sub(now))
			continue
		}
		hit := f.event.Frame == "" || f.event.Frame == nameOf(frame)
		if hit && i.draw(n, direction, frame) < f.event.Share {
			f.event.apply(&v)
		}
	}
	return v
}

func (e Event) apply(v *linker.Decision) {
	switch e.Do {
	case ActionLoseFrames:
		v.Drop = true
	case ActionDelayFrames:
		v.Delay = max(v.Delay, time.Duration(e.Delay))
	case ActionCopyFrames:
		v.Copies++
	case ActionCrossFrames:
		v.Misdeliver = true
	case ActionCutStreams:
		v.Cut = true
	}
}

// draw returns a number from 0 to 1 for a frame and fault.
func (i *injector) draw(n int, direction linker.Direction, frame *framer.Frame) float64 {
	h := xxhash.NewWithSeed(i.seed)
	for _, part := range []uint64{
		uint64(n), uint64(direction), uint64(time.Since(i.start)), frame.GetChunk().GetOffset(),
	} {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, part))
	}
	_, _ = h.WriteString(nameOf(frame))
	return float64(h.Sum64()>>11) / (1 << 53)
}

// nameOf returns the name of the field of the frame that is set.
func nameOf(frame *framer.Frame) string {
	m := frame.ProtoReflect()
	field := m.WhichOneof(m.Descriptor().Oneofs().ByName("body"))
	if field == nil {
		return ""
	}
	return string(field.Name())
}
