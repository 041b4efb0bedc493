package tracker

import (
	"context"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/quarantiner"
)

// member follows one agent over its control stream.
type member struct {
	tracker *Tracker
	ctx     context.Context
	cancel  context.CancelFunc

	mu    sync.Mutex
	state Member
	link  carawaybeam.Link
}

func newMember(t *Tracker, vm carawaybeam.VM) *member {
	ctx, cancel := context.WithCancel(t.ctx)
	return &member{tracker: t, ctx: ctx, cancel: cancel, state: Member{VM: vm}}
}

func (m *member) snapshot() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

func (m *member) current() (carawaybeam.Link, carawaybeam.BackendID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.link, m.state.Backend
}

func (m *member) setVM(vm carawaybeam.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.VM = vm
	if vm.State == carawaybeam.VMLeaving {
		m.state.Leaving = true
	}
}

// run keeps a link to the agent until the member goes. A link that worked is
// replaced sooner.
func (m *member) run() {
	for m.ctx.Err() == nil {
		pause := redialInterval
		if m.connect() {
			pause = replaceInterval
		}
		select {
		case <-time.After(pause):
		case <-m.ctx.Done():
		}
	}
}

// connect uses one link until it fails and tells whether the agent spoke on it.
func (m *member) connect() bool {
	link, err := m.tracker.options.Dialer.Dial(m.ctx, m.snapshot().VM.Address)
	if err != nil {
		return false
	}
	defer func() { _ = link.Close() }()
	stream, err := link.Open(m.ctx)
	if err != nil {
		return false
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(m.ctx, func() { _ = link.Close() })
	defer stop()
	m.control(link, stream)
	worked := m.snapshot().Linked
	m.setLink(nil)
	return worked
}

func (m *member) setLink(link carawaybeam.Link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.link = link
	m.state.Linked = link != nil
}

// control speaks on the control stream until it fails or goes silent.
func (m *member) control(link carawaybeam.Link, stream carawaybeam.Stream) {
	hello := &framer.Hello{
		Process:     m.tracker.options.Process,
		Incarnation: string(m.tracker.options.Incarnation),
		DataCentre:  string(m.tracker.options.DataCentre),
		Role:        carawaybeam.RoleEntry,
	}
	if m.send(stream, &framer.Frame{Body: &framer.Frame_Hello{Hello: hello}}) != nil {
		return
	}
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	m.tracker.wait.Go(func() { m.beat(ctx, stream) })
	for {
		frame, err := stream.Receive(heartbeatSilence)
		if err != nil {
			return
		}
		m.tracker.options.Config.Observe(carawaybeam.ConfigVersion(frame.GetConfigVersion()))
		m.tracker.options.Quarantiner.Merge(frame.GetSuspects().GetSuspects())
		if heartbeat := frame.GetHeartbeat(); heartbeat != nil {
			m.record(heartbeat)
			m.setLink(link)
		}
	}
}

// beat sends heartbeats, which carry the configuration version, and suspects.
func (m *member) beat(ctx context.Context, stream carawaybeam.Stream) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	suspects := quarantiner.NewSpreader(m.tracker.options.Quarantiner)
	for {
		if frame := suspects.Next(); frame != nil && m.send(stream, frame) != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-suspects.Changed():
		case <-ctx.Done():
			return
		}
		if m.send(stream, &framer.Frame{Body: &framer.Frame_KeepAlive{KeepAlive: &framer.KeepAlive{}}}) != nil {
			return
		}
	}
}

func (m *member) send(stream carawaybeam.Stream, frame *framer.Frame) error {
	frame.ConfigVersion = uint64(m.tracker.options.Config.Version())
	return stream.Send(frame)
}

func (m *member) record(heartbeat *framer.Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	incarnation := carawaybeam.Incarnation(heartbeat.GetIncarnation())
	if m.state.Incarnation != incarnation {
		m.state.Leaving = m.state.VM.State == carawaybeam.VMLeaving
	}
	m.state.Backend = carawaybeam.BackendID(heartbeat.GetBackend())
	m.state.Incarnation = incarnation
	m.state.Leaving = m.state.Leaving || heartbeat.GetLeaving()
	m.state.Load = carawaybeam.Load{
		Running:       int(heartbeat.GetRunning()),
		Waiting:       int(heartbeat.GetWaiting()),
		WaitingTokens: carawaybeam.Tokens(heartbeat.GetWaitingTokens()),
	}
	m.state.Reported = time.Now()
}
