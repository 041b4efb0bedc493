// Package reporter tells entries the state of the rank beside an agent.
//
// Statuses travel in datagrams: each one replaces those before, so that a lost
// one does no harm and an old one is of no use.
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
	// interval is how often the rank is read, about once in a step of its group.
	interval = 60 * time.Millisecond

	// maxRate bounds the statuses that an agent sends in a second. Entries that
	// want no picks take turns beyond it.
	maxRate = 100

	// picksRate bounds the bytes of picks that an agent sends to one entry in a
	// second. Large groups send picks less often.
	picksRate = 40 << 10

	// picksFor is how long a request for picks holds.
	picksFor = 2 * time.Second

	// callTimeout bounds one call to the rank, which is on the same VM.
	callTimeout = 500 * time.Millisecond

	// maxDatagram bounds what is read from an entry.
	maxDatagram = 2048

	// maxAskers bounds the entries remembered for their requests.
	maxAskers = 64
)

type (
	// Options is what a Reporter is made from.
	Options struct {
		// Sender names the process, in this life.
		Sender string
		// Address is where the backend server takes requests.
		Address carawaybeam.Address
		Rank    carawaybeam.RankEngine
		// Entries returns who is told.
		Entries func() []enroller.Entry
		// Conn sends statuses and takes requests for picks.
		Conn net.PacketConn
		Log  zerolog.Logger
	}

	// Reporter reports until Close.
	Reporter struct {
		options Options
		ctx     context.Context
		cancel  context.CancelFunc
		wait    sync.WaitGroup

		mu sync.Mutex
		// askers holds until when each address gets picks.
		askers map[string]time.Time
		// asked is when picks were last asked for.
		asked time.Time

		sequence uint64
		failing  bool
		// nextPicks is when picks are sent again.
		nextPicks time.Time
	}
)

// New returns a Reporter that works until Close. It closes the connection.
func New(options Options) *Reporter {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Reporter{options: options, ctx: ctx, cancel: cancel, askers: make(map[string]time.Time)}
	r.wait.Go(r.report)
	r.wait.Go(r.listen)
	return r
}

// Close ends the reports and waits.
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
			r.once()
		case <-r.ctx.Done():
			return
		}
	}
}

// once reads the rank and tells the entries.
func (r *Reporter) once() {
	entries := r.options.Entries()
	if len(entries) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
	defer cancel()
	state, err := r.options.Rank.State(ctx)
	r.note(err)
	if err != nil {
		return
	}
	r.sequence++
	status := encode(r.options, r.sequence, state)
	status.AskedMs = r.askedMs()
	plain, err := proto.Marshal(&framer.Frame{Body: &framer.Frame_RankStatus{RankStatus: status}})
	if err != nil {
		r.options.Log.Error().Err(err).Msg("reporter: status is not encoded")
		return
	}
	withPicks := r.withPicks(ctx, status, plain)
	turns := turns(len(entries))
	for i, entry := range entries {
		switch {
		case r.wantsPicks(string(entry.StatusAddress)):
			r.send(entry.StatusAddress, withPicks)
		case r.sequence%turns == uint64(i)%turns:
			r.send(entry.StatusAddress, plain)
		}
	}
}

// turns returns at every how many statuses each of the entries is told, so that
// all together stay within the rate.
func turns(entries int) uint64 {
	rate := float64(entries) / interval.Seconds()
	return uint64(max(1, math.Ceil(rate/maxRate)))
}

// note logs when the rank is lost and regained.
func (r *Reporter) note(err error) {
	switch {
	case r.ctx.Err() != nil:
	case err != nil && !r.failing:
		r.options.Log.Warn().Err(err).Msg("reporter: rank does not answer")
	case err == nil && r.failing:
		r.options.Log.Info().Msg("reporter: rank answers again")
	}
	r.failing = err != nil
}

// withPicks returns the status with picks, or the plain one if nobody wants picks
// now.
func (r *Reporter) withPicks(ctx context.Context, status *framer.RankStatus, plain []byte) []byte {
	if time.Now().Before(r.nextPicks) || !r.wanted() {
		return plain
	}
	picks, err := r.options.Rank.Picks(ctx, 1)
	if err != nil || len(picks.Counts) == 0 || picks.Epoch != status.GetEpoch() {
		if err != nil {
			r.options.Log.Debug().Err(err).Msg("reporter: picks are not read")
		}
		return plain
	}
	for _, n := range picks.Counts[0] {
		status.Picks = append(status.Picks, collector.EncodePicks(n))
	}
	data, err := proto.Marshal(&framer.Frame{Body: &framer.Frame_RankStatus{RankStatus: status}})
	if err != nil {
		r.options.Log.Error().Err(err).Msg("reporter: picks are not encoded")
		return plain
	}
	r.nextPicks = time.Now().Add(time.Duration(len(data)) * time.Second / picksRate)
	return data
}

func (r *Reporter) send(to carawaybeam.Address, data []byte) {
	address, err := net.ResolveUDPAddr("udp", string(to))
	if err == nil {
		_, err = r.options.Conn.WriteTo(data, address)
	}
	if err != nil && r.ctx.Err() == nil {
		r.options.Log.Debug().Err(err).Str("entry", string(to)).Msg("reporter: status is not sent")
	}
}

// listen takes requests for picks.
func (r *Reporter) listen() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := r.options.Conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			r.options.Log.Debug().Err(err).Msg("reporter: datagram is not read")
			continue
		}
		var frame framer.Frame
		if err := proto.Unmarshal(buffer[:n], &frame); err != nil || frame.GetPicksRequest() == nil {
			r.options.Log.Debug().Err(err).Msg("reporter: datagram is no request for picks")
			continue
		}
		r.mu.Lock()
		if len(r.askers) >= maxAskers {
			clear(r.askers)
		}
		r.asked = time.Now()
		r.askers[from.String()] = r.asked.Add(picksFor)
		r.mu.Unlock()
	}
}

func (r *Reporter) wantsPicks(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.askers[address])
}

// askedMs returns what a status says of requests for picks.
func (r *Reporter) askedMs() uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.asked.IsZero() || time.Since(r.asked) > picksFor {
		return 0
	}
	return uint32(time.Since(r.asked).Milliseconds()) + 1
}

// wanted tells whether anybody wants picks now.
func (r *Reporter) wanted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, until := range r.askers {
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
		PaceThousandths: uint32(state.Pace * thousandths),
	}
}
