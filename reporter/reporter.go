// Package reporter sends the state of the rank beside an agent to entries, and receives
// the requests and orders that entries send to the agent.
//
// Statuses are sent in UDP datagrams. Each status replaces the earlier ones, so that
// a lost one need not be sent again.
package reporter

import (
	"context"
	"errors"
	"math"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/collector"
	"github.com/carawaybeam/carawaybeam/enroller"
	"github.com/carawaybeam/carawaybeam/framer"
)

const (
	// interval is how often the state of the rank is read, about once per step
	// of its group.
	interval = 60 * time.Millisecond

	// maxRate is the maximum number of statuses that are sent per second. If there
	// are too many entries for it, those that request no picks receive statuses in
	// turn, and those in other data centres one for every farTurns that those in
	// the same one receive.
	maxRate  = 100
	farTurns = 3

	// maxPicksRate is the maximum number of bytes of statuses with picks that are
	// sent to one entry per second. Larger groups send picks less often.
	maxPicksRate = 40 << 10

	// picksRequestTime is how long a request for picks remains valid.
	picksRequestTime = 2 * time.Second

	// callTimeout is the timeout of reading the rank, which is on the same VM.
	callTimeout = 500 * time.Millisecond

	// maxDatagram is the largest datagram from an entry, in bytes. Orders contain
	// expert maps.
	maxDatagram = 64 << 10

	// statusRequestTime is how long a request for statuses remains valid. Entries
	// repeat their requests several times within it.
	statusRequestTime = 3 * time.Second

	// maxRecipients is the maximum number of entries to which statuses are sent on
	// request.
	maxRecipients = 1024

	// maxPicksRequests is the maximum number of addresses whose requests for picks
	// are kept.
	maxPicksRequests = 64
)

type (
	// Options configures a Reporter.
	Options struct {
		// Sender identifies this incarnation of the process.
		Sender string
		// Address is where the backend server accepts requests.
		Address carawaybeam.Address
		Rank    carawaybeam.RankEngine
		// Entries returns the entries to which statuses are sent without a request,
		// if it is not nil.
		Entries func() []enroller.Entry
		// Orders takes an order to the rank, and sends the result with reply.
		Orders func(order *framer.RankOrder, reply func(*framer.Frame))
		// Conn sends statuses, and receives requests for them, for picks and orders.
		Conn net.PacketConn
		Log  zerolog.Logger
	}

	// Reporter sends statuses until Close.
	Reporter struct {
		options Options
		ctx     context.Context
		cancel  context.CancelFunc
		wait    sync.WaitGroup

		mu sync.Mutex
		// recipients holds the entries that have requested statuses, by address.
		recipients map[string]*recipient
		// nextTurn is the turn of the next new recipient.
		nextTurn uint64
		// picksUntil holds until when picks are sent to each address.
		picksUntil map[string]time.Time
		// picksRequested is when picks were last requested.
		picksRequested time.Time

		sequence uint64
		failing  bool
		// nextPicks is the earliest time to send picks again.
		nextPicks time.Time
	}

	// recipient is an entry to which statuses are sent.
	recipient struct {
		address net.Addr
		// near is set for an entry in the data centre of the agent.
		near bool
		// turn determines which statuses it receives if it does not receive all.
		turn uint64
		// until is when its request expires.
		until time.Time
	}
)

// New returns a Reporter and starts it. Close closes options.Conn.
func New(options Options) *Reporter {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Reporter{
		options:    options,
		ctx:        ctx,
		cancel:     cancel,
		recipients: make(map[string]*recipient),
		picksUntil: make(map[string]time.Time),
	}
	r.wait.Go(r.report)
	r.wait.Go(r.listen)
	return r
}

// Close closes the connection and waits until reporting has ended.
func (r *Reporter) Close() error {
	r.cancel()
	err := r.options.Conn.Close()
	r.wait.Wait()
	return err
}

func (r *Reporter) report() {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.reportOnce()
		case <-r.ctx.Done():
			return
		}
	}
}

// reportOnce reads the state of the rank and sends it to the entries.
func (r *Reporter) reportOnce() {
	recipients := r.currentRecipients()
	if len(recipients) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
	defer cancel()
	state, err := r.options.Rank.State(ctx)
	r.logChange(err)
	if err != nil {
		return
	}
	r.sequence++
	status := encode(r.options, r.sequence, state)
	status.AskedMs = r.picksRequestAge()
	plain, err := proto.Marshal(&framer.Frame{Body: &framer.Frame_RankStatus{RankStatus: status}})
	if err != nil {
		r.options.Log.Error().Err(err).Msg("reporter: cannot encode status")
		return
	}
	withPicks := r.withPicks(ctx, status, plain)
	near, far := turnCounts(recipients)
	for _, to := range recipients {
		turns := far
		if to.near {
			turns = near
		}
		switch {
		case r.wantsPicks(to.address.String()):
			r.send(to.address, withPicks)
		case r.sequence%turns == to.turn%turns:
			r.send(to.address, plain)
		}
	}
}

// currentRecipients returns the enrolled entries and those that have requested statuses.
func (r *Reporter) currentRecipients() []recipient {
	var recipients []recipient
	known := make(map[string]struct{})
	if r.options.Entries != nil {
		for i, entry := range r.options.Entries() {
			address, err := net.ResolveUDPAddr("udp", string(entry.StatusAddress))
			if err != nil {
				r.options.Log.Debug().Err(err).Str("entry", entry.Name).Msg("reporter: invalid address of an entry")
				continue
			}
			known[address.String()] = struct{}{}
			recipients = append(recipients, recipient{address: address, near: true, turn: uint64(i)})
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for key, to := range r.recipients {
		if now.After(to.until) {
			delete(r.recipients, key)
			continue
		}
		if _, enrolled := known[key]; !enrolled {
			recipients = append(recipients, *to)
		}
	}
	return recipients
}

// Recipients returns the number of entries to which statuses are sent.
func (r *Reporter) Recipients() int { return len(r.currentRecipients()) }

// turnCounts returns n and m such that sending each n-th status to entries in the same
// data centre, and each m-th one to the others, keeps within maxRate.
func turnCounts(recipients []recipient) (near, far uint64) {
	var nears, fars float64
	for _, to := range recipients {
		if to.near {
			nears++
		} else {
			fars++
		}
	}
	rate := 1 / interval.Seconds()
	if (nears+fars)*rate <= maxRate {
		return 1, 1
	}
	near = uint64(max(1, math.Ceil((nears+fars/farTurns)*rate/maxRate)))
	return near, farTurns * near
}

// logChange logs when reading the rank begins to fail and when it succeeds again.
func (r *Reporter) logChange(err error) {
	switch {
	case r.ctx.Err() != nil:
	case err != nil && !r.failing:
		r.options.Log.Warn().Err(err).Msg("reporter: rank does not answer")
	case err == nil && r.failing:
		r.options.Log.Info().Msg("reporter: rank answers again")
	}
	r.failing = err != nil
}

// withPicks returns the encoded status with picks. It returns the plain one if no
// entry requests picks, if it is too early to send picks again, or if they cannot be
// read.
func (r *Reporter) withPicks(ctx context.Context, status *framer.RankStatus, plain []byte) []byte {
	if time.Now().Before(r.nextPicks) || !r.anyPicksRequested() {
		return plain
	}
	picks, err := r.options.Rank.Picks(ctx, 1)
	if err != nil || len(picks.Counts) == 0 || picks.Epoch != status.GetEpoch() {
		if err != nil {
			r.options.Log.Debug().Err(err).Msg("reporter: cannot read picks")
		}
		return plain
	}
	for _, n := range picks.Counts[0] {
		status.Picks = append(status.Picks, collector.EncodePicks(n))
	}
	data, err := proto.Marshal(&framer.Frame{Body: &framer.Frame_RankStatus{RankStatus: status}})
	if err != nil {
		r.options.Log.Error().Err(err).Msg("reporter: cannot encode picks")
		return plain
	}
	r.nextPicks = time.Now().Add(time.Duration(len(data)) * time.Second / maxPicksRate)
	return data
}

func (r *Reporter) send(to net.Addr, data []byte) {
	if _, err := r.options.Conn.WriteTo(data, to); err != nil && r.ctx.Err() == nil {
		r.options.Log.Debug().Err(err).Stringer("entry", to).Msg("reporter: cannot send status")
	}
}

// listen receives requests for statuses and picks, and orders.
func (r *Reporter) listen() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := r.options.Conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			r.options.Log.Debug().Err(err).Msg("reporter: cannot read datagram")
			continue
		}
		var frame framer.Frame
		if err := proto.Unmarshal(buffer[:n], &frame); err != nil {
			r.options.Log.Debug().Err(err).Msg("reporter: cannot decode datagram")
			continue
		}
		switch {
		case frame.GetStatusRequest() != nil:
			r.addRecipient(from, frame.GetStatusRequest().GetNear())
		case frame.GetPicksRequest() != nil:
			r.recordPicksRequest(from)
		case frame.GetRankOrder() != nil && r.options.Orders != nil:
			r.options.Orders(frame.GetRankOrder(), func(result *framer.Frame) { r.reply(from, result) })
		default:
			r.options.Log.Debug().Msg("reporter: datagram is neither a request nor an order")
		}
	}
}

// addRecipient sends statuses to an entry until its request expires.
func (r *Reporter) addRecipient(from net.Addr, near bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := from.String()
	to, known := r.recipients[key]
	if !known {
		if len(r.recipients) >= maxRecipients {
			r.options.Log.Warn().Str("entry", key).Msg("reporter: too many entries request statuses")
			return
		}
		to = &recipient{address: from, turn: r.nextTurn}
		r.nextTurn++
		r.recipients[key] = to
	}
	to.near, to.until = near, time.Now().Add(statusRequestTime)
}

func (r *Reporter) recordPicksRequest(from net.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.picksUntil) >= maxPicksRequests {
		clear(r.picksUntil)
	}
	r.picksRequested = time.Now()
	r.picksUntil[from.String()] = r.picksRequested.Add(picksRequestTime)
}

// reply sends the result of an order. It need not be sent again if it is lost, since the
// sender then sends the order again.
func (r *Reporter) reply(to net.Addr, result *framer.Frame) {
	data, err := proto.Marshal(result)
	if err == nil {
		_, err = r.options.Conn.WriteTo(data, to)
	}
	if err != nil && r.ctx.Err() == nil {
		r.options.Log.Debug().Err(err).Stringer("entry", to).Msg("reporter: cannot send the result of an order")
	}
}

// wantsPicks reports whether picks are to be sent to the address now.
func (r *Reporter) wantsPicks(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.picksUntil[address])
}

// picksRequestAge returns the age of the last request for picks as statuses contain
// it: in milliseconds plus 1, or 0 if there is no valid request.
func (r *Reporter) picksRequestAge() uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.picksRequested.IsZero() || time.Since(r.picksRequested) > picksRequestTime {
		return 0
	}
	return uint32(time.Since(r.picksRequested).Milliseconds()) + 1
}

// anyPicksRequested reports whether picks are to be sent to any address now.
func (r *Reporter) anyPicksRequested() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, until := range r.picksUntil {
		if time.Now().Before(until) {
			return true
		}
	}
	return false
}

func encode(options Options, sequence uint64, state carawaybeam.RankState) *framer.RankStatus {
	const thousandths = 1000
	return &framer.RankStatus{
		Address:         string(options.Address),
		Started:         state.Started,
		Sequence:        sequence,
		Sender:          options.Sender,
		Group:           string(state.Group),
		Rank:            uint32(state.Rank),
		Size:            uint32(state.Size),
		Epoch:           state.Epoch,
		Open:            state.Open,
		Step:            uint64(state.Step),
		MapVersion:      uint64(state.Map),
		PreparedVersion: uint64(state.Prepared),
		ArmedVersion:    uint64(state.Armed.Version),
		ArmedStep:       uint64(state.Armed.Step),
		HeldStep:        uint64(state.Held),
		Running:         uint32(state.Running),
		Waiting:         uint32(state.Waiting),
		MemoryUsed:      uint64(state.MemoryUsed),
		MemoryTotal:     uint64(max(0, state.MemoryTotal)),
		PaceThousandths: uint32(state.Pace * thousandths),
	}
}
