package tracker

import (
	"context"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/quarantiner"
	"github.com/carawaybeam/carawaybeam/replicator"
)

type (
	// member follows one agent, and speaks with it while it is chosen or
	// pinned.
	member struct {
		tracker *Tracker

		mu     sync.Mutex
		state  Member
		link   carawaybeam.Link
		chosen bool
		// pinned is until when the link is kept though it was not chosen.
		pinned time.Time
		// asked is how often the agent was asked to report.
		asked time.Duration
		// leavingVM is the VM at the address that the platform has listed as
		// leaving, and agentLeaving is set once this life of the agent said so.
		leavingVM    carawaybeam.VMID
		agentLeaving bool
		// absent is since when the platform does not list the agent.
		absent time.Time
		// streams counts the streams in use, which keep the link.
		streams int
		// cancel ends the link. It is nil while there is to be none.
		cancel context.CancelFunc
	}

	// reportingStream is a stream to an agent, which reports its load on it.
	reportingStream struct {
		carawaybeam.Stream
		member *member
		closed sync.Once
	}
)

func newMember(t *Tracker, vm carawaybeam.VM) *member {
	m := &member{tracker: t}
	m.setVM(vm)
	return m
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

// setVM takes a row of the list. Leaving is final for one VM, whatever an older
// list says later.
func (m *member) setVM(vm carawaybeam.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.VM = vm
	if vm.State == carawaybeam.VMLeaving {
		m.leavingVM = vm.ID
	}
	m.judgeLeaving()
}

// judgeLeaving is called with mu held.
func (m *member) judgeLeaving() {
	m.state.Leaving = m.agentLeaving || m.leavingVM != "" && m.leavingVM == m.state.VM.ID
}

// isGone tells whether the agent is to be forgotten: the platform has not listed
// it for a while and no link to it works.
func (m *member) isGone(now time.Time, listed bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if listed {
		m.absent = time.Time{}
		return false
	}
	if m.absent.IsZero() || m.link != nil {
		m.absent = now
	}
	return now.Sub(m.absent) >= absentTime
}

// keepLinked starts or ends the link as it is wanted.
func (m *member) keepLinked(chosen bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.chosen = chosen
	m.startOrStop()
}

// pin keeps a link for the given time at least.
func (m *member) pin(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if until := time.Now().Add(d); until.After(m.pinned) {
		m.pinned = until
	}
	m.startOrStop()
}

// startOrStop is called with mu held.
func (m *member) startOrStop() {
	wanted := m.chosen || m.streams > 0 || time.Now().Before(m.pinned)
	switch {
	case wanted && m.cancel == nil && m.tracker.ctx.Err() == nil:
		ctx, cancel := context.WithCancel(m.tracker.ctx)
		m.cancel = cancel
		m.tracker.wait.Go(func() { m.run(ctx) })
	case !wanted && m.cancel != nil:
		m.cancel()
		m.cancel = nil
	}
}

// use counts a stream that begins or ends.
func (m *member) use(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.streams += n
}

// stop ends the link for good.
func (m *member) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cancel != nil {
		m.cancel()
	}
}

// run keeps a link to the agent until ctx ends. A link that worked is replaced
// sooner, and an agent that cannot be reached is tried less and less often.
func (m *member) run(ctx context.Context) {
	pause := redialInterval
	for ctx.Err() == nil {
		if m.connect(ctx) {
			pause = replaceInterval
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		pause = min(max(2*pause, redialInterval), maxRedialInterval)
	}
}

// connect uses one link until it fails and tells whether the agent spoke on it.
func (m *member) connect(ctx context.Context) bool {
	link, err := m.tracker.options.Dialer.Dial(ctx, m.snapshot().VM.Address)
	if err != nil {
		return false
	}
	defer func() { _ = link.Close() }()
	stream, err := link.Open(ctx)
	if err != nil {
		return false
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = link.Close() })
	defer stop()
	m.control(ctx, link, stream)
	return m.unlink(link)
}

func (m *member) setLink(link carawaybeam.Link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.link = link
	m.state.Linked = true
}

// unlink forgets a link unless a newer one has taken its place.
func (m *member) unlink(link carawaybeam.Link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.link != link {
		return false
	}
	m.link = nil
	m.state.Linked = false
	return true
}

// control speaks on the control stream until it fails or goes silent.
func (m *member) control(ctx context.Context, link carawaybeam.Link, stream carawaybeam.Stream) {
	exchange := replicator.NewExchange(m.tracker.options.Config, m.tracker.options.Log)
	ctx, cancel := context.WithCancel(ctx)
	var sender sync.WaitGroup
	defer sender.Wait()
	defer cancel()
	sender.Go(func() {
		m.beat(ctx, exchange, stream)
		_ = stream.Close()
	})
	for {
		frame, err := stream.Receive(m.silence())
		if err != nil {
			return
		}
		exchange.Receive(frame)
		m.tracker.options.Quarantiner.Merge(frame.GetSuspects().GetSuspects())
		if heartbeat := frame.GetHeartbeat(); heartbeat != nil {
			m.record(heartbeat, carawaybeam.ConfigVersion(frame.GetConfigVersion()))
			m.setLink(link)
		}
	}
}

// ask notes how often the agent is asked to report.
func (m *member) ask(interval time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asked = interval
}

// silence returns how long the agent may be silent.
func (m *member) silence() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(minSilence, silentBeats*m.asked)
}

func (m *member) hello(interval time.Duration) *framer.Frame {
	return &framer.Frame{Body: &framer.Frame_Hello{Hello: &framer.Hello{
		Process:     m.tracker.options.Process,
		Incarnation: string(m.tracker.options.Incarnation),
		DataCentre:  string(m.tracker.options.DataCentre),
		Role:        carawaybeam.RoleEntry,
		IntervalMs:  uint64(interval.Milliseconds()),
	}}}
}

// beat speaks regularly, and exchanges changes of the configuration and
// suspects.
func (m *member) beat(ctx context.Context, exchange *replicator.Exchange, stream carawaybeam.Stream) {
	interval := m.tracker.beatInterval()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	m.ask(interval)
	if stream.Send(exchange.Stamp(m.hello(interval))) != nil {
		return
	}
	suspects := quarantiner.NewSubscription(m.tracker.options.Quarantiner)
	for {
		changed := m.tracker.options.Config.Changed()
		for _, frame := range exchange.Outgoing() {
			if stream.Send(frame) != nil {
				return
			}
		}
		if frame := suspects.Next(); frame != nil && stream.Send(exchange.Stamp(frame)) != nil {
			return
		}
		select {
		case <-ticker.C:
			interval = m.tracker.beatInterval()
			ticker.Reset(interval)
			beat := &framer.KeepAlive{IntervalMs: uint64(interval.Milliseconds())}
			frame := &framer.Frame{Body: &framer.Frame_KeepAlive{KeepAlive: beat}}
			if stream.Send(exchange.Stamp(frame)) != nil {
				return
			}
			m.ask(interval)
		case <-exchange.Pending():
		case <-changed:
		case <-suspects.Changed():
		case <-ctx.Done():
			return
		}
	}
}

// record takes a report of the agent. Leaving is final for one life of it.
func (m *member) record(heartbeat *framer.Heartbeat, version carawaybeam.ConfigVersion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	incarnation := carawaybeam.Incarnation(heartbeat.GetIncarnation())
	if m.state.Incarnation != incarnation {
		m.agentLeaving = false
	}
	m.state.Backend = carawaybeam.BackendID(heartbeat.GetBackend())
	m.state.Incarnation = incarnation
	m.agentLeaving = m.agentLeaving || heartbeat.GetLeaving()
	m.judgeLeaving()
	m.state.Load = carawaybeam.Load{
		Running:       int(heartbeat.GetRunning()),
		Waiting:       int(heartbeat.GetWaiting()),
		WaitingTokens: carawaybeam.Tokens(heartbeat.GetWaitingTokens()),
	}
	m.state.ReportedAt = time.Now()
	m.state.ConfigVersion = max(m.state.ConfigVersion, version)
}

// Receive reads one frame and takes the report that it carries.
func (s *reportingStream) Receive(timeout time.Duration) (*framer.Frame, error) {
	frame, err := s.Stream.Receive(timeout)
	load := frame.GetLoad()
	if err == nil && string(s.member.snapshot().Incarnation) == load.GetIncarnation() && load != nil {
		s.member.record(load, carawaybeam.ConfigVersion(frame.GetConfigVersion()))
	}
	return frame, err
}

// Close ends the stream, which no longer keeps the link then.
func (s *reportingStream) Close() error {
	s.closed.Do(func() { s.member.use(-1) })
	return s.Stream.Close()
}
