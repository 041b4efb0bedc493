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
	// member tracks one agent and maintains the link to it while it is chosen,
	// pinned or in use.
	member struct {
		tracker *Tracker

		mu     sync.Mutex
		state  Member
		link   carawaybeam.Link
		chosen bool
		// pinnedUntil is until when the link is kept even if it is not chosen.
		pinnedUntil time.Time
		// requestedInterval is the report interval that the agent was last
		// asked to use.
		requestedInterval time.Duration
		// leavingVM is the VM at the address that the platform has listed as
		// leaving. agentLeaving is set once the current incarnation of the
		// agent has reported that it is leaving.
		leavingVM    carawaybeam.VMID
		agentLeaving bool
		// absentSince is since when the agent has been missing from the
		// platform's list without a link, or zero while it is listed.
		absentSince time.Time
		// streams is the number of open streams, which keep the link.
		streams int
		// cancel ends the link. It is nil while no link is wanted.
		cancel context.CancelFunc
	}

	// reportingStream is a stream to an agent on which the agent also reports
	// its load.
	reportingStream struct {
		carawaybeam.Stream
		member *member
		// link carries the stream.
		link   carawaybeam.Link
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

// current returns the link and the backend server. The link is nil if there is no working
// one or if it is about to end.
func (m *member) current() (carawaybeam.Link, carawaybeam.BackendID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.link, m.state.Backend
}

// acquire returns the link, and counts a stream that keeps it, if it is a link to the
// backend server.
func (m *member) acquire(backend carawaybeam.BackendID) (carawaybeam.Link, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.link == nil || m.state.Backend != backend {
		return nil, false
	}
	m.streams++
	return m.link, true
}

// release removes a stream that acquire has counted.
func (m *member) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.streams--
}

// setVM applies a row of the list. A VM that was listed as leaving stays
// leaving, even if an older list is read later.
func (m *member) setVM(vm carawaybeam.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.VM = vm
	if vm.State == carawaybeam.VMLeaving {
		m.leavingVM = vm.ID
	}
	m.updateLeaving()
}

// updateLeaving sets state.Leaving. The caller holds mu.
func (m *member) updateLeaving() {
	m.state.Leaving = m.agentLeaving || m.leavingVM != "" && m.leavingVM == m.state.VM.ID
}

// isGone reports whether the agent can be removed: it has been missing from the
// platform's list for absentRetention without a link.
func (m *member) isGone(now time.Time, listed bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if listed {
		m.absentSince = time.Time{}
		return false
	}
	if m.absentSince.IsZero() || m.link != nil {
		m.absentSince = now
	}
	return now.Sub(m.absentSince) >= absentRetention
}

// setChosen sets whether the agent is in the chosen subset, and starts or ends
// the link accordingly.
func (m *member) setChosen(chosen bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.chosen = chosen
	m.updateLink()
}

// pin keeps a link for at least the given time.
func (m *member) pin(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if until := time.Now().Add(d); until.After(m.pinnedUntil) {
		m.pinnedUntil = until
	}
	m.updateLink()
}

// updateLink starts or ends the link as needed. The caller holds mu.
func (m *member) updateLink() {
	wanted := m.chosen || m.streams > 0 || time.Now().Before(m.pinnedUntil)
	switch {
	case wanted && m.cancel == nil && m.tracker.ctx.Err() == nil:
		ctx, cancel := context.WithCancel(m.tracker.ctx)
		m.cancel = cancel
		m.tracker.wait.Go(func() { m.run(ctx) })
	case !wanted && m.cancel != nil:
		m.endLink()
		m.cancel = nil
	}
}

// endLink ends the link. No stream is opened on it any more. The caller holds mu.
func (m *member) endLink() {
	m.cancel()
	m.link = nil
	m.state.Linked = false
}

// stop ends the link permanently.
func (m *member) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cancel != nil {
		m.endLink()
	}
}

// run maintains a link to the agent until ctx ends. It reconnects quickly after
// a link that worked, and with exponential backoff while the agent cannot be
// reached.
func (m *member) run(ctx context.Context) {
	delay := redialDelay
	for ctx.Err() == nil {
		if m.connect(ctx) {
			delay = reconnectDelay
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
		delay = min(max(2*delay, redialDelay), maxRedialDelay)
	}
}

// connect uses one link until it fails and reports whether the agent sent a
// heartbeat on it.
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
	m.runControl(ctx, link, stream)
	return m.unlink(link)
}

// setLink makes the link the current one, unless ctx has ended and the link with it.
func (m *member) setLink(ctx context.Context, link carawaybeam.Link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	m.link = link
	m.state.Linked = true
}

// unlink removes the link and reports whether it was the current one.
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

// runControl exchanges frames on the control stream until it fails or times
// out.
func (m *member) runControl(ctx context.Context, link carawaybeam.Link, stream carawaybeam.Stream) {
	exchange := replicator.NewExchange(m.tracker.options.Config, m.tracker.options.Log)
	ctx, cancel := context.WithCancel(ctx)
	var sender sync.WaitGroup
	defer sender.Wait()
	defer cancel()
	sender.Go(func() {
		m.sendLoop(ctx, exchange, stream)
		_ = stream.Close()
	})
	for {
		frame, err := stream.Receive(m.receiveTimeout())
		if err != nil {
			return
		}
		exchange.Receive(frame)
		m.tracker.options.Quarantiner.MergeFrame(frame.GetSuspects().GetSuspects())
		if heartbeat := frame.GetHeartbeat(); heartbeat != nil {
			m.applyReport(heartbeat, carawaybeam.ConfigVersion(frame.GetConfigVersion()))
			m.setLink(ctx, link)
		}
	}
}

// setRequestedInterval records the report interval that the agent is asked to
// use.
func (m *member) setRequestedInterval(interval time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requestedInterval = interval
}

// receiveTimeout returns how long to wait for a frame of the agent.
func (m *member) receiveTimeout() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(minReceiveTimeout, maxMissedReports*m.requestedInterval)
}

func (m *member) hello(interval time.Duration) *framer.Frame {
	return &framer.Frame{Body: &framer.Frame_Hello{Hello: &framer.Hello{
		Process:     m.tracker.options.Process,
		Incarnation: string(m.tracker.options.Incarnation),
		DataCentre:  string(m.tracker.options.DataCentre),
		Role:        carawaybeam.RoleEntry,
		IntervalMs:  uint64(interval.Milliseconds()),
		Evacuation:  m.evacuation(),
	}}}
}

// keepAlive returns a keep-alive frame that asks for a report interval, or for no change
// of it if it is 0.
func (m *member) keepAlive(interval time.Duration) *framer.Frame {
	return &framer.Frame{Body: &framer.Frame_KeepAlive{KeepAlive: &framer.KeepAlive{
		IntervalMs: uint64(interval.Milliseconds()),
		Evacuation: m.evacuation(),
	}}}
}

// sendLoop sends keep-alive frames at the report interval, and changes of the
// configuration and suspect requests as they occur.
func (m *member) sendLoop(ctx context.Context, exchange *replicator.Exchange, stream carawaybeam.Stream) {
	interval := m.tracker.reportInterval()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	m.setRequestedInterval(interval)
	evacuations := m.tracker.nextEvacuations()
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
			interval = m.tracker.reportInterval()
			ticker.Reset(interval)
			if stream.Send(exchange.Stamp(m.keepAlive(interval))) != nil {
				return
			}
			m.setRequestedInterval(interval)
		case <-evacuations:
			evacuations = m.tracker.nextEvacuations()
			if stream.Send(exchange.Stamp(m.keepAlive(0))) != nil {
				return
			}
		case <-exchange.Pending():
		case <-changed:
		case <-suspects.Changed():
		case <-ctx.Done():
			return
		}
	}
}

// applyReport applies a load report of the agent. An incarnation that has
// reported that it is leaving stays leaving.
func (m *member) applyReport(heartbeat *framer.Heartbeat, version carawaybeam.ConfigVersion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	incarnation := carawaybeam.Incarnation(heartbeat.GetIncarnation())
	if m.state.Incarnation != incarnation {
		m.agentLeaving = false
	}
	m.state.Backend = carawaybeam.BackendID(heartbeat.GetBackend())
	m.state.Incarnation = incarnation
	m.agentLeaving = m.agentLeaving || heartbeat.GetLeaving()
	m.updateLeaving()
	m.state.Load = carawaybeam.Load{
		Running:       int(heartbeat.GetRunning()),
		Waiting:       int(heartbeat.GetWaiting()),
		WaitingTokens: carawaybeam.Tokens(heartbeat.GetWaitingTokens()),
	}
	m.state.ReportedAt = time.Now()
	m.state.ConfigVersion = max(m.state.ConfigVersion, version)
}

// Receive receives a frame and applies the load report that it may carry.
func (s *reportingStream) Receive(timeout time.Duration) (*framer.Frame, error) {
	frame, err := s.Stream.Receive(timeout)
	load := frame.GetLoad()
	if err == nil && string(s.member.snapshot().Incarnation) == load.GetIncarnation() && load != nil {
		s.member.applyReport(load, carawaybeam.ConfigVersion(frame.GetConfigVersion()))
	}
	return frame, err
}

// Close closes the stream, which then no longer keeps the link.
func (s *reportingStream) Close() error {
	s.closed.Do(func() { s.member.release() })
	return s.Stream.Close()
}
