package main

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/administrator"
	"github.com/carawaybeam/carawaybeam/assessor"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/messenger"
	"github.com/carawaybeam/carawaybeam/recorder"
	"github.com/carawaybeam/carawaybeam/replicator"
)

// waitLimit bounds each wait of these tests. A slow machine may use all of it, as no
// test measures time.
const waitLimit = 30 * time.Second

// fakePeer is an entry that answers queries of other entries.
type fakePeer struct {
	held    *configurer.Configurer
	targets administrator.EntryTargets
	// records holds the recorded explanations by request identifier.
	records map[string]*recorder.Explanation
}

// ServeStream answers one query.
func (p fakePeer) ServeStream(_ context.Context, first *framer.Frame, stream carawaybeam.Stream) {
	replicator.Answerer{DumpPart: func(name string) ([]byte, error) {
		if request, ok := strings.CutPrefix(name, administrator.PartExplanation); ok {
			return json.Marshal(map[string]any{"state": p.records[request]})
		}
		return json.Marshal(map[string]any{"state": p.targets})
	}}.Answer(p.held, first, stream)
}

// listen serves a peer until the end of the test and returns its VM.
func listen(t *testing.T, id carawaybeam.VMID, dataCentre carawaybeam.DataCentre, p fakePeer) carawaybeam.VM {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	links := messenger.New(listener, p)
	t.Cleanup(func() { _ = links.Close() })
	return entryVM(id, dataCentre, listener.Addr().String())
}

func entryVM(id carawaybeam.VMID, dataCentre carawaybeam.DataCentre, address string) carawaybeam.VM {
	return carawaybeam.VM{
		ID: id, State: carawaybeam.VMLive, Role: carawaybeam.RoleEntry,
		Address: carawaybeam.Address(address), DataCentre: dataCentre,
	}
}

// newReportingPeer returns a peer that reports the given state of the class drafting.
// The completion target of this class is 99.9%.
func newReportingPeer(standing assessor.Standing, since time.Time, requests, met, quarantined int) fakePeer {
	return fakePeer{held: configurer.New(), targets: administrator.EntryTargets{
		Targets: []assessor.ClassState{{
			Class: "drafting", Standing: standing, Since: since,
			Counts: assessor.Counts{Requests: requests, Met: met, Quarantined: quarantined},
		}},
		QuarantinedRequests: quarantined,
	}}
}

func (b *testEntry) status(t *testing.T) administrator.Status {
	t.Helper()
	code, out := b.run("-json", "status")
	if code != exitDone {
		t.Fatal(out)
	}
	var status administrator.Status
	if err := json.Unmarshal([]byte(out), &status); err != nil {
		t.Fatal(err)
	}
	return status
}

func TestStatusShowsWhichClassesAreInTarget(t *testing.T) {
	is := is.New(t)
	noon := time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)
	missed, met := assessor.StandingMissed, assessor.StandingInTarget
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(refused.Close())
	b := newTestEntry(
		t,
		listen(t, "entry-1", "kitami", newReportingPeer(missed, noon, 100, 90, 2)),
		listen(t, "entry-2", "kitami", newReportingPeer(missed, noon.Add(-time.Minute), 100, 99, 3)),
		listen(t, "entry-3", "kitami", newReportingPeer(met, noon.Add(-time.Hour), 100, 100, 0)),
		listen(t, "entry-4", "abashiri", newReportingPeer(met, noon, 1000, 1000, 0)),
		listen(t, "entry-5", "abashiri", newReportingPeer(met, noon.Add(time.Minute), 1000, 1000, 0)),
		listen(t, "entry-6", "monbetsu", fakePeer{held: configurer.New()}),
		entryVM("entry-7", "itagui", refused.Addr().String()),
	)
	code, _ := b.run("class", "apply", b.file(t, drafting))
	is.Equal(code, exitDone)
	status := b.status(t)
	for end := time.Now().Add(waitLimit); len(status.Classes) < 4 && time.Now().Before(end); status = b.status(t) {
		time.Sleep(10 * time.Millisecond)
	}
	earlier, later := noon.Add(-time.Minute), noon.Add(time.Minute)
	wanted := []administrator.ClassStatus{
		{DataCentre: "abashiri", Target: administrator.TargetState{
			Standing: met, Since: &later, Counts: assessor.Counts{Requests: 2000, Met: 2000},
		}},
		{DataCentre: "itagui", Target: administrator.TargetState{Standing: "unknown"}},
		{DataCentre: "kitami", Target: administrator.TargetState{
			Standing: missed, Since: &earlier, Counts: assessor.Counts{Requests: 300, Met: 289, Quarantined: 5},
		}},
		{DataCentre: "monbetsu", Target: administrator.TargetState{Standing: assessor.StandingIdle}},
	}
	for i := range wanted {
		wanted[i].Class = "drafting"
	}
	is.Equal(status.Classes, wanted)
	is.Equal(status.QuarantinedRequests, 3) // The highest value counts: entries exchange their quarantined requests.
	_, out := b.run("status")
	is.True(strings.Contains(out, "quarantined requests 3"))
	row := strings.Fields(out[strings.Index(out, "drafting  kitami"):])[:7]
	is.Equal(strings.Join(row, " "), "drafting kitami missed 2026-01-02T11:59:00Z 289 300 5")
}
