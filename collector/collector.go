// Package collector keeps the newest status of each rank that agents report.
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
	// maxDatagram bounds one status.
	maxDatagram = 64 << 10

	// maxRanks bounds the ranks that are remembered, and forgetAfter is how long
	// a silent one is.
	maxRanks    = 8192
	forgetAfter = 30 * time.Second

	// minStall and stallSteps bound how long a group with work may go without a
	// step. Steps take some tens of milliseconds.
	minStall   = 700 * time.Millisecond
	stallSteps = 4

	// paceWindow is over how long the duration of a step is measured.
	paceWindow = 600 * time.Millisecond
)

type (
	// Options is what a Collector is made from.
	Options struct {
		// Conn takes statuses and sends requests for picks.
		Conn net.PacketConn
		Log  zerolog.Logger
	}

	// Collector takes statuses until Close. Its methods may be used by several
	// goroutines at once.
	Collector struct {
		options Options
		wait    sync.WaitGroup

		mu    sync.Mutex
		ranks map[carawaybeam.Address]*rank
		// wanted holds the groups whose picks this process wants.
		wanted map[carawaybeam.GroupID]struct{}
	}

	// Status is the newest status of one rank.
	Status struct {
		carawaybeam.RankState
		Address  carawaybeam.Address
		Received time.Time
		// PicksRequested is when some process last asked the rank for its picks, or zero.
		PicksRequested time.Time
		// Picks counts chosen experts since the rank started, in the order of
		// layers and experts, for PicksSince. It is of PicksAt.
		Picks         []uint32
		PicksReceived time.Time
		// SteppedAt is when the step was last seen to change.
		SteppedAt time.Time
		// StepTime is the mean duration of a step lately, or 0 where none was
		// seen.
		StepTime time.Duration
	}

	rank struct {
		status   Status
		sender   string
		sequence uint64
		marks    []mark
	}

	// mark is a step at a time.
	mark struct {
		at   time.Time
		step carawaybeam.Step
	}
)

// IsStalled tells whether a group with work has made no step for so long that one
// of its ranks must have stopped. Unlike an answer, this shows within a second.
func (s Status) IsStalled(now time.Time) bool {
	return s.Running > 0 && now.Sub(s.SteppedAt) > max(minStall, stallSteps*s.StepTime)
}

// New returns a Collector that works until Close. It closes the connection.
func New(options Options) *Collector {
	c := &Collector{
		options: options,
		ranks:   make(map[carawaybeam.Address]*rank),
		wanted:  make(map[carawaybeam.GroupID]struct{}),
	}
	c.wait.Go(c.listen)
	return c
}

// Close ends the listener and waits.
func (c *Collector) Close() error {
	err := c.options.Conn.Close()
	c.wait.Wait()
	return err
}

// SetPicksWanted asks the ranks of a group for their picks, or no longer does so.
func (c *Collector) SetPicksWanted(group carawaybeam.GroupID, wanted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if wanted {
		c.wanted[group] = struct{}{}
	} else {
		delete(c.wanted, group)
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

// Groups returns the groups of the ranks that are known.
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

// Statuses returns the newest statuses of the ranks of a group, in their order. Of
// several that say to be one rank the newest counts.
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

// ReportingRanks returns how many ranks of a group have a status of the given age at
// most.
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
		c.options.Log.Error().Err(err).Msg("collector: request for picks is not encoded")
		return
	}
	for {
		n, from, err := c.options.Conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			c.options.Log.Debug().Err(err).Msg("collector: datagram is not read")
			continue
		}
		var frame framer.Frame
		if err := proto.Unmarshal(buffer[:n], &frame); err != nil || frame.GetRankStatus() == nil {
			c.options.Log.Debug().Err(err).Msg("collector: datagram is no status")
			continue
		}
		if !c.take(time.Now(), frame.GetRankStatus()) {
			continue
		}
		if _, err := c.options.Conn.WriteTo(request, from); err != nil {
			c.options.Log.Debug().Err(err).Msg("collector: picks are not asked for")
		}
	}
}

// take notes a status and tells whether the picks of its group are wanted.
func (c *Collector) take(now time.Time, got *framer.RankStatus) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	address := carawaybeam.Address(got.GetAddress())
	r, ok := c.ranks[address]
	if !ok {
		c.forget(now)
		if len(c.ranks) >= maxRanks {
			return false
		}
		r = &rank{}
		c.ranks[address] = r
	}
	if r.sender == got.GetSender() && got.GetSequence() <= r.sequence {
		return false
	}
	r.sender, r.sequence = got.GetSender(), got.GetSequence()
	r.take(now, got)
	_, wanted := c.wanted[r.status.Group]
	return wanted
}

// forget drops ranks that have been silent for long. The caller holds mu.
func (c *Collector) forget(now time.Time) {
	for address, r := range c.ranks {
		if now.Sub(r.status.Received) > forgetAfter {
			delete(c.ranks, address)
		}
	}
}

func (r *rank) take(now time.Time, got *framer.RankStatus) {
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
		// An idle group makes no steps.
		r.status.SteppedAt = now
	}
	if reset {
		r.marks = nil
	}
	r.marks = append(r.marks, mark{at: now, step: r.status.Step})
	for len(r.marks) > 2 && now.Sub(r.marks[1].at) >= paceWindow {
		r.marks = r.marks[1:]
	}
	if first := r.marks[0]; r.status.Step > first.step {
		r.status.StepTime = now.Sub(first.at) / time.Duration(r.status.Step-first.step)
	}
}

func decode(now time.Time, got *framer.RankStatus) Status {
	const thousandths = 1000
	var asked time.Time
	if ms := got.GetAskedMs(); ms > 0 {
		asked = now.Add(-time.Duration(ms-1) * time.Millisecond)
	}
	return Status{
		PicksRequested: asked,
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
		},
		Address:  carawaybeam.Address(got.GetAddress()),
		Received: now,
	}
}
