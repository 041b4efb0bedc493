package replicator_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/fakes/linker"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/replicator"
)

const (
	// entries and dataCentres are the numbers of entries and of data centres in the
	// users' installation (letter 1).
	entries     = 460
	dataCentres = 11

	// forceBound is the time within which a change must be in force everywhere.
	forceBound = 6 * time.Second

	// byteBudget is the number of bytes per second that a node may use for
	// control traffic (letter 1).
	byteBudget = 6 << 10

	// frameOverhead is the number of bytes sent for a frame in addition to its
	// content: its length, a yamux header, and TCP and IP headers with time
	// stamps.
	frameOverhead = 2 + 12 + 52

	linkDelay = 20 * time.Millisecond
)

// fixedList is a list of VMs that never changes.
type fixedList []carawaybeam.VM

func (fixedList) Ready() bool                { return true }
func (l fixedList) VMs() []carawaybeam.VM    { return l }
func (fixedList) ApplyList([]carawaybeam.VM) {}

func list(n int) fixedList {
	vms := make(fixedList, 0, n)
	for i := range n {
		vms = append(vms, carawaybeam.VM{
			ID: carawaybeam.VMID(fmt.Sprintf("entry-%d", i)), State: carawaybeam.VMLive, Role: carawaybeam.RoleEntry,
			DataCentre: carawaybeam.DataCentre(fmt.Sprintf("dc-%d", i%dataCentres)),
			Address:    carawaybeam.Address(fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250)),
		})
	}
	return vms
}

func TestSelectionIsConsistentAndStable(t *testing.T) {
	is := is.New(t)
	vms := list(entries)
	before := replicator.Watchers(vms, "dc-3")
	is.Equal(len(before), 2)
	shuffled := slices.Clone(vms)
	slices.Reverse(shuffled)
	is.Equal(replicator.Watchers(shuffled, "dc-3"), before)
	without := slices.DeleteFunc(slices.Clone(vms), func(vm carawaybeam.VM) bool { return vm.ID == before[0].ID })
	is.True(slices.Contains(replicator.Watchers(without, "dc-3"), before[1]))
	for _, vm := range vms {
		peers := replicator.Peers(vms, vm.Address, vm.DataCentre)
		is.True(len(peers) >= 3 && len(peers) <= 6)
		is.True(!slices.Contains(peers, vm))
	}
}

// TestChangeReachesAllEntriesAtSize checks that a change reaches all entries from
// their peers alone: one entry receives it, and none can read the store. It also
// bounds the traffic of idle entries.
func TestChangeReachesAllEntriesAtSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var (
			mu      sync.Mutex
			counted int
			network linker.Network
		)
		network.SetInjector(func(_ carawaybeam.Address, _ linker.Direction, frame *framer.Frame) linker.Decision {
			mu.Lock()
			defer mu.Unlock()
			counted += proto.Size(frame) + frameOverhead
			return linker.Decision{Latency: linkDelay}
		})
		vms := list(entries)
		held := make([]*configurer.Configurer, 0, entries)
		replicators := make([]*replicator.Replicator, 0, entries)
		for _, vm := range vms {
			c := configurer.New()
			c.Merge(configurer.Delta{Full: true, Complete: 1})
			s := replicator.New(replicator.Options{
				Process: string(vm.ID), DataCentre: vm.DataCentre, Address: vm.Address, Configurer: c,
				Dialer: &network, Entries: vms.VMs, List: vms, Log: zerolog.Nop(),
			})
			network.Listen(vm.Address, s)
			held = append(held, c)
			replicators = append(replicators, s)
		}
		time.Sleep(4 * time.Second)
		perSecond := measure(&mu, &counted, 10*time.Second) / entries
		t.Logf("idle bytes/s of an entry: %.0f", perSecond)
		is.True(perSecond <= byteBudget)

		value := `{"kind":"service","pool":"p","targets":{"completed":"2s","completion":"99%"}}`
		started := time.Now()
		held[0].MergeWritten(carawaybeam.Object{
			Kind: carawaybeam.KindClass, Name: "a", Version: 2, Value: []byte(value),
		})
		last := started
		for i := range held {
			for _, ok := held[i].Class("a"); !ok; _, ok = held[i].Class("a") {
				<-held[i].Changed()
				last = time.Now()
			}
		}
		t.Logf("in force on all %d entries after %v", entries, last.Sub(started))
		is.True(last.Sub(started) <= forceBound)
		for _, s := range replicators {
			is.NoErr(s.Close())
		}
		is.NoErr(network.Close())
	})
}

// measure returns the bytes per second that all entries together send and receive.
func measure(mu *sync.Mutex, counted *int, period time.Duration) float64 {
	mu.Lock()
	before := *counted
	mu.Unlock()
	time.Sleep(period)
	mu.Lock()
	defer mu.Unlock()
	return 2 * float64(*counted-before) / period.Seconds() // each frame counts for its sender and its receiver
}
