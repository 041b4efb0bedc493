// Package collector receives the statuses of ranks that agents send and keeps the
// newest one of each rank. It also sends frames to those agents.
package collector

import (
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
)

const (
	// maxDatagram is the largest status datagram, in bytes.
	maxDatagram = 64 << 10

	// maxRanks is the maximum number of ranks that are kept. Ranks without a status
	// for rankRetention are removed when there are more.
	maxRanks      = 8192
	rankRetention = 30 * time.Second

	// A group with running requests is stalled if it makes no step for minStall
	// and for stallSteps times the recent step time. Steps take some tens of
	// milliseconds.
	minStall   = 700 * time.Millisecond
	stallSteps = 4

	// maxAgentAge is the age of a status above which its agent may have stopped.
	maxAgentAge = time.Second

	// stepTimeWindow is the period over which the step time is averaged.
	stepTimeWindow = 600 * time.Millisecond
)

type (
	// Options configures a Collector.
	Options struct {
		// Conn receives statuses and the results of orders, and sends requests and
		// orders.
		Conn net.PacketConn
		// Results takes the results of orders.
		Results func(result *framer.RankOrderResult)
		Log     zerolog.Logger
	}

	// Collector receives statuses until Close. It is safe for concurrent use.
	Collector struct {
		options Options
		wait    sync.WaitGroup

		mu    sync.Mutex
		ranks map[carawaybeam.Address]*rank
		// picksWanted holds the groups whose picks this process requests.
		picksWanted map[carawaybeam.GroupID]struct{}
	}

	// Status is the newest status of one rank.
	Status struct {
		carawaybeam.RankState
		Address carawaybeam.Address
		// Received is when the status arrived.
		Received time.Time
		// PicksRequested is when a process last requested the picks of the rank,
		// or zero if the status reports no recent request.
		PicksRequested time.Time
		// Picks holds the encoded pick count of each expert since the rank
		// started, ordered by layer and expert. PicksSince computes differences
		// of them. PicksReceived is when Picks arrived.
		Picks         []uint32
		PicksReceived time.Time
		// SteppedAt is when a status with a new step last arrived. While the
		// group is idle, it is when the last status arrived.
		SteppedAt time.Time
		// StepTime is the recent mean duration of a step, or 0 if unknown.
		StepTime time.Duration
	}

	rank struct {
		status Status
		// sender and sequence are those of the newest status.
		sender   string
		sequence uint64
		// from is the address from which the agent sent it.
		from    net.Addr
		samples []stepSample
	}

	// stepSample is the step of a rank at a point in time.
	stepSample struct {
		at   time.Time
		step carawaybeam.Step
	}
)

// ErrNoAgent reports that no agent next to a rank is known to run.
var ErrNoAgent = errors.New("no agent has reported the rank recently")

// IsStalled reports whether a group with running requests has made no step for so
// long that one of its ranks must have stopped. This detects a stopped rank within a
// second, earlier than its missing answers do.
func (s Status) IsStalled(now time.Time) bool {
	return s.Running > 0 && now.Sub(s.SteppedAt) > max(minStall, stallSteps*s.StepTime)
}

// New returns a Collector and starts receiving. Close closes options.Conn.
func New(options Options) *Collector {
	c := &Collector{
		options:     options,
		ranks:       make(map[carawaybeam.Address]*rank),
		picksWanted: make(map[carawaybeam.GroupID]struct{}),
	}
	c.wait.Go(c.listen)
	return c
}

// Close closes the connection and waits until receiving has ended.
func (c *Collector) Close() error {
	err := c.options.Conn.Close()
	c.wait.Wait()
	return err
}

// Send sends a frame to the agent next to the rank at an address. It returns ErrNoAgent if
// the rank has no recent status.
func (c *Collector) Send(address carawaybeam.Address, frame *framer.Frame) error {
	c.mu.Lock()
	r, ok := c.ranks[address]
	var to net.Addr
	if ok && time.Since(r.status.Received) <= maxAgentAge {
		to = r.from
	}
	c.mu.Unlock()
	if to == nil {
		return ErrNoAgent
	}
	return c.write(to, frame)
}

// SendTo sends a frame to an agent at the address on which it receives frames.
func (c *Collector) SendTo(agent carawaybeam.Address, frame *framer.Frame) error {
	to, err := net.ResolveUDPAddr("udp", string(agent))
	if err != nil {
		return err
	}
	return c.write(to, frame)
}

func (c *Collector) write(to net.Addr, frame *framer.Frame) error {
	data, err := proto.Marshal(frame)
	if err != nil {
		return err
	}
	_, err = c.options.Conn.WriteTo(data, to)
	return err
}

// SetPicksWanted sets whether the picks of the ranks of a group are requested.
func (c *Collector) SetPicksWanted(group carawaybeam.GroupID, wanted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if wanted {
		c.picksWanted[group] = struct{}{}
	} else {
		delete(c.picksWanted, group)
	}
}

// Status returns the newest status of the rank at an address.
func (c *Collector) Status(address carawaybeam.Address) (Status, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.ranks[address]
	if !ok {
		return Status{}, false
	}
	return r.status, true
}

// Groups returns the groups of all ranks.
func (c *Collector) Groups() []carawaybeam.GroupID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var groups []carawaybeam.GroupID
	for _, r := range c.ranks {
		if r.status.Group != "" && !slices.Contains(groups, r.status.Group) {
			groups = append(groups, r.status.Group)
		}
	}
	return groups
}

// Statuses returns the newest status of each rank of a group, ordered by rank. If
// several addresses report the same rank, the status that arrived last is returned.
func (c *Collector) Statuses(group carawaybeam.GroupID) []Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	var statuses []Status
	for _, r := range c.ranks {
		if r.status.Group == group {
			statuses = append(statuses, r.status)
		}
	}
	slices.SortFunc(statuses, func(a, b Status) int {
		if a.Rank != b.Rank {
			return int(a.Rank - b.Rank)
		}
		return b.Received.Compare(a.Received)
	})
	return slices.CompactFunc(statuses, func(a, b Status) bool { return a.Rank == b.Rank })
}

// ReportingRanks returns how many ranks of a group have a status that is not older
// than maxAge.
func (c *Collector) ReportingRanks(group carawaybeam.GroupID, maxAge time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	ranks := make(map[carawaybeam.Rank]struct{})
	for _, r := range c.ranks {
		if r.status.Group == group && time.Since(r.status.Received) <= maxAge {
			ranks[r.status.Rank] = struct{}{}
		}
	}
	return len(ranks)
}

func (c *Collector) listen() {
	buffer := make([]byte, maxDatagram)
	request, err := proto.Marshal(&framer.Frame{Body: &framer.Frame_PicksRequest{PicksRequest: &framer.PicksRequest{}}})
	if err != nil {
		c.options.Log.Error().Err(err).Msg("collector: cannot encode request for picks")
		return
	}
	for {
		n, from, err := c.options.Conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			c.options.Log.Debug().Err(err).Msg("collector: cannot read datagram")
			continue
		}
		var frame framer.Frame
		if err := proto.Unmarshal(buffer[:n], &frame); err != nil {
			c.options.Log.Debug().Err(err).Msg("collector: cannot decode datagram")
			continue
		}
		if result := frame.GetRankOrderResult(); result != nil && c.options.Results != nil {
			c.options.Results(result)
			continue
		}
		if frame.GetRankStatus() == nil {
			c.options.Log.Debug().Msg("collector: datagram is not a rank status")
			continue
		}
		if !c.record(time.Now(), from, frame.GetRankStatus()) {
			continue
		}
		if _, err := c.options.Conn.WriteTo(request, from); err != nil {
			c.options.Log.Debug().Err(err).Msg("collector: cannot request picks")
		}
	}
}

// record keeps a status if it is newer than the last one of its rank. It reports
// whether to request picks from the rank.
func (c *Collector) record(now time.Time, from net.Addr, got *framer.RankStatus) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	address := carawaybeam.Address(got.GetAddress())
	r, ok := c.ranks[address]
	if !ok {
		c.removeSilent(now)
		if len(c.ranks) >= maxRanks {
			return false
		}
		r = &rank{}
		c.ranks[address] = r
	}
	if r.sender == got.GetSender() && got.GetSequence() <= r.sequence {
		return false
	}
	r.sender, r.sequence, r.from = got.GetSender(), got.GetSequence(), from
	r.update(now, got)
	_, wanted := c.picksWanted[r.status.Group]
	return wanted
}

// removeSilent removes ranks without a status for rankRetention. The caller holds mu.
func (c *Collector) removeSilent(now time.Time) {
	for address, r := range c.ranks {
		if now.Sub(r.status.Received) > rankRetention {
			delete(c.ranks, address)
		}
	}
}

// update replaces the status. It keeps the last picks if the new status has none,
// unless the rank has restarted or its group was formed again.
func (r *rank) update(now time.Time, got *framer.RankStatus) {
	before := r.status
	r.status = decode(now, got)
	reset := before.Epoch != r.status.Epoch || before.Started != r.status.Started || before.Group != r.status.Group
	switch {
	case len(got.GetPicks()) > 0:
		r.status.Picks, r.status.PicksReceived = got.GetPicks(), now
	case !reset:
		r.status.Picks, r.status.PicksReceived = before.Picks, before.PicksReceived
	}
	r.status.SteppedAt = before.SteppedAt
	if reset || before.Step != r.status.Step || before.Running == 0 {
		// A group that was idle is not stalled, since an idle group makes no
		// steps.
		r.status.SteppedAt = now
	}
	if reset {
		r.samples = nil
	}
	r.samples = append(r.samples, stepSample{at: now, step: r.status.Step})
	for len(r.samples) > 2 && now.Sub(r.samples[1].at) >= stepTimeWindow {
		r.samples = r.samples[1:]
	}
	if first := r.samples[0]; r.status.Step > first.step {
		r.status.StepTime = now.Sub(first.at) / time.Duration(r.status.Step-first.step)
	}
}

func decode(now time.Time, got *framer.RankStatus) Status {
	const thousandths = 1000
	var picksRequested time.Time
	if ms := got.GetAskedMs(); ms > 0 {
		picksRequested = now.Add(-time.Duration(ms-1) * time.Millisecond)
	}
	return Status{
		PicksRequested: picksRequested,
		RankState: carawaybeam.RankState{
			Group:    carawaybeam.GroupID(got.GetGroup()),
			Rank:     carawaybeam.Rank(got.GetRank()),
			Size:     int(got.GetSize()),
			Epoch:    got.GetEpoch(),
			Open:     got.GetOpen(),
			Step:     carawaybeam.Step(got.GetStep()),
			Map:      carawaybeam.MapVersion(got.GetMapVersion()),
			Prepared: carawaybeam.MapVersion(got.GetPreparedVersion()),
			Armed: carawaybeam.ArmedMap{
				Version: carawaybeam.MapVersion(got.GetArmedVersion()),
				Step:    carawaybeam.Step(got.GetArmedStep()),
			},
			Held:       carawaybeam.Step(got.GetHeldStep()),
			Running:    int(got.GetRunning()),
			Waiting:    int(got.GetWaiting()),
			MemoryUsed: carawaybeam.Tokens(got.GetMemoryUsed()),
			Pace:       float64(got.GetPaceThousandths()) / thousandths,
			Started:    got.GetStarted(),

			MemoryTotal: carawaybeam.Tokens(got.GetMemoryTotal()),
		},
		Address:  carawaybeam.Address(got.GetAddress()),
		Received: now,
	}
}
