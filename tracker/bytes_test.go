package tracker_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/agent"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/executor"
	"github.com/carawaybeam/carawaybeam/fakes/assembler"
	"github.com/carawaybeam/carawaybeam/fakes/linker"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/tracker"
)

const (
	// frameOverhead is the size of a frame on the wire beyond its body: its
	// length, a yamux header, and TCP and IP headers with time stamps.
	frameOverhead = 2 + 12 + 52

	// byteBudget is how many bytes per second a node may use for control
	// traffic (letter 1).
	byteBudget = 6 << 10

	// poolSize is the mean number of agents of a pool in the users' installation:
	// 3,600 agents for 29 models (letter 1).
	poolSize = 124
)

// TestControlBytesStayWithinBudget measures the control traffic between one
// entry and its agents while nothing happens. It also fails if a link times out
// between two reports and is dialled again.
func TestControlBytesStayWithinBudget(t *testing.T) {
	for _, agents := range []int{15, 60, 240, 960, 3600} {
		t.Run(fmt.Sprint(agents), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				links, redials, perSecond := measureControl(t, agents)
				t.Logf("agents %d links %d bytes/s %.0f", agents, links, perSecond)
				is.True(links > 0)
				is.Equal(redials, 0) // no link times out between two reports
				is.True(perSecond <= byteBudget)
			})
		})
	}
}

func measureControl(t *testing.T, agents int) (links, redials int, perSecond float64) {
	t.Helper()
	const (
		settling = 35 * time.Second
		period   = time.Minute
	)
	var (
		mu      sync.Mutex
		counted int
		network linker.Network
	)
	network.SetInjector(func(_ carawaybeam.Address, _ linker.Direction, frame *framer.Frame) linker.Decision {
		mu.Lock()
		defer mu.Unlock()
		counted += proto.Size(frame) + frameOverhead
		if frame.GetHello() != nil {
			redials++
		}
		return linker.Decision{}
	})
	store := storer.New()
	vms := make([]carawaybeam.VM, 0, agents)
	for i := range agents {
		vm := carawaybeam.VM{
			ID: carawaybeam.VMID(fmt.Sprintf("vm-%d", i)), State: carawaybeam.VMLive, Role: carawaybeam.RoleAgent,
			Address: carawaybeam.Address(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)),
			Pool:    carawaybeam.PoolID(fmt.Sprintf("pool-%d", i/poolSize)),
		}
		vms = append(vms, vm)
		backend := assembler.NewBackend(time.Second, time.Second)
		e := executor.New(executor.Options{
			Backend: backend, BackendID: carawaybeam.BackendID(vm.ID), Concurrency: 1, Log: zerolog.Nop(),
		})
		a := agent.New(agent.Options{
			BackendID: carawaybeam.BackendID(vm.ID), Incarnation: carawaybeam.NewIncarnation(), Backend: backend,
			Executor: e, Log: zerolog.Nop(),
		})
		network.Listen(vm.Address, a)
		defer func() { _ = e.Close() }()
		defer func() { _ = a.Close() }()
	}
	store.SetVMs(vms)
	tr := tracker.New(tracker.Options{
		Process: "entry", Lister: store.VMList(), Dialer: &network, Config: configurer.New(), Log: zerolog.Nop(),
	})
	time.Sleep(settling)
	mu.Lock()
	before := counted
	redials = 0
	mu.Unlock()
	time.Sleep(period)
	mu.Lock()
	perSecond = float64(counted-before) / period.Seconds()
	mu.Unlock()
	for _, m := range tr.All() {
		if m.Linked {
			links++
		}
	}
	if err := tr.Close(); err != nil {
		t.Error(err)
	}
	if err := network.Close(); err != nil {
		t.Error(err)
	}
	return links, redials, perSecond
}

// TestLongListIsReadSeldom counts how often lists of two sizes are read in an
// hour. The long one is as long as that of the users' installation (letter 1).
func TestLongListIsReadSeldom(t *testing.T) {
	for _, test := range []struct{ rows, least, most int }{{18, 1790, 1810}, {4060, 8, 10}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store := storer.New()
			vms := make([]carawaybeam.VM, 0, test.rows)
			for i := range test.rows {
				vms = append(vms, carawaybeam.VM{
					ID:      carawaybeam.VMID(fmt.Sprintf("vm-%d", i)),
					State:   carawaybeam.VMLive,
					Role:    carawaybeam.RoleEntry,
					Address: carawaybeam.Address(fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)),
				})
			}
			store.SetVMs(vms)
			tr := tracker.New(tracker.Options{
				Lister: store.VMList(), Dialer: &linker.Network{}, Config: configurer.New(), Log: zerolog.Nop(),
			})
			time.Sleep(time.Hour)
			reads := store.Counts().Reads
			t.Logf("%d rows: %d reads an hour", test.rows, reads)
			is.True(reads >= test.least && reads <= test.most)
			is.NoErr(tr.Close())
		})
	}
}
