package tracker_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/fakes/assembler"
	"github.com/carawaybeam/carawaybeam/tracker"
)

// evacuations is the set of evacuated data centres.
type evacuations map[carawaybeam.DataCentre]bool

func (evacuations) Loaded() bool { return true }

func (evacuations) Version() carawaybeam.StoreVersion { return 1 }

func (e evacuations) Evacuated(dataCentre carawaybeam.DataCentre) bool { return e[dataCentre] }

// TestLinksDuringEvacuation guards against an entry whose few links of a large pool all lead to agents
// in an evacuated data centre, and against links there that end, with the streams on them.
func TestLinksDuringEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := assembler.New(assembler.Options{Agents: 24, DataCentres: 2, Concurrency: 1, PartTime: time.Millisecond})
		evacuated := evacuations{}
		tr := tracker.New(tracker.Options{
			Process: "entry", Lister: a.Store.VMList(), Dialer: a.Network, Config: configurer.New(),
			SubsetSize: 3, MaxFullPool: 8, Evacuations: evacuated, Log: zerolog.Nop(),
		})
		time.Sleep(10 * time.Second)
		is.Equal(linked(tr), 3)
		before := make(map[carawaybeam.BackendID]bool)
		for _, m := range tr.All() {
			if m.Linked {
				before[m.Backend] = true
				evacuated[m.VM.DataCentre] = true
				break
			}
		}
		tr.ReviewEvacuations()
		time.Sleep(2 * time.Second)
		elsewhere := 0
		for _, m := range tr.All() {
			if m.Linked && !evacuated[m.VM.DataCentre] {
				elsewhere++
			}
			is.True(m.Linked || !before[m.Backend])
		}
		is.Equal(elsewhere, 3)
		clear(evacuated)
		tr.ReviewEvacuations()
		time.Sleep(time.Second)
		is.Equal(linked(tr), 3)
		is.NoErr(tr.Close())
		is.NoErr(a.Close())
	})
}
