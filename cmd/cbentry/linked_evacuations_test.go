package main_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/administrator"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/fakes/booker"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
)

// TestLinkedEvacuation sets and lifts an evacuation at a running entry and agent, with the store away and
// by an entry that starts meanwhile. It guards against parts that are not connected, and against calls to the
// store by an entry whose settings do not ask for them.
func TestLinkedEvacuation(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	callers, admin, agentAdmin, links := freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t)
	store := platform(t, links)
	web := httptest.NewServer(store.Handler())
	t.Cleanup(web.Close)
	desk := booker.New(0)
	service := httptest.NewServer(desk.Handler())
	t.Cleanup(service.Close)
	start(t, "cbagent", agentSettings(links, agentAdmin, service.URL))
	operators := "\n[operators]\ntokenHash = \"" + configurer.HashToken("secret") + "\"\n"
	start(t, "cbentry", "evacuations = true\n"+entrySettings(callers, admin, web.URL)+operators)
	state := func(address string) string {
		return strings.Join(strings.Fields(body(t, "http://"+address+"/state")), "")
	}
	ready := func(address string) bool { return status("http://"+address+"/readyz") == http.StatusOK }
	await(t, "the entry is ready", func() bool { return ready(admin) })
	await(t, "the booking runs", func() bool { return book(t, callers).status == http.StatusOK })

	put(t, store, carawaybeam.KindEvacuation, "kitami", struct{}{})
	await(t, "the agent is told", func() bool {
		return strings.Contains(state(agentAdmin), `"evacuated":true`)
	})
	before := desk.Counts().Bookings["B-1"]
	refused := book(t, callers)
	is.Equal(refused.status, http.StatusServiceUnavailable)
	is.Equal(refused.outcome, carawaybeam.OutcomeNotRun)
	is.True(refused.retryAfter == "1" || refused.retryAfter == "2")
	is.True(strings.Contains(state(admin), `"dataCentres":["kitami"]`))
	is.Equal(evacuatedIn(t, admin), []carawaybeam.DataCentre{"kitami"})

	// An entry that does not follow evacuations is refused by the agent.
	unaware, unawareAdmin := freeAddress(t), freeAddress(t)
	start(t, "cbentry", entrySettings(unaware, unawareAdmin, web.URL))
	await(t, "the other entry is ready", func() bool { return ready(unawareAdmin) })
	time.Sleep(500 * time.Millisecond)
	refused = book(t, unaware)
	is.Equal(refused.status, http.StatusServiceUnavailable)
	is.Equal(refused.outcome, carawaybeam.OutcomeNotRun)
	is.True(!strings.Contains(state(unawareAdmin), "evacuations"))

	store.SetFault(storer.Fault{Mode: storer.FaultDown})
	time.Sleep(2 * time.Second)
	is.Equal(book(t, callers).status, http.StatusServiceUnavailable)
	again, againAdmin := freeAddress(t), freeAddress(t)
	start(t, "cbentry", "evacuations = true\n"+entrySettings(again, againAdmin, web.URL))
	await(t, "the new entry answers", func() bool { return status("http://"+againAdmin+"/healthz") == http.StatusOK })
	time.Sleep(time.Second)
	is.True(!ready(againAdmin))
	is.Equal(book(t, again).status, http.StatusServiceUnavailable)
	store.SetFault(storer.Fault{})
	await(t, "the new entry is ready", func() bool { return ready(againAdmin) })
	is.Equal(book(t, again).status, http.StatusServiceUnavailable)
	is.Equal(desk.Counts().Bookings["B-1"], before)
	_, err := store.Delete(t.Context(), carawaybeam.KindEvacuation, "kitami", version(t, store, "kitami"))
	is.NoErr(err)
	await(t, "the data centre is used again", func() bool { return book(t, again).status == http.StatusOK })
}

// TestNotReadyBeforeEvacuations guards against an entry that is ready although it has read the configuration
// only, as when its peers deliver that.
func TestNotReadyBeforeEvacuations(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	callers, admin := freeAddress(t), freeAddress(t)
	handler := platform(t, freeAddress(t)).Handler()
	var readable atomic.Bool
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !readable.Load() && strings.Contains(r.URL.String(), string(carawaybeam.KindEvacuation)) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(web.Close)
	start(t, "cbentry", "evacuations = true\n"+entrySettings(callers, admin, web.URL))
	ready := func() bool { return status("http://"+admin+"/readyz") == http.StatusOK }
	await(t, "the configuration is read", func() bool {
		return strings.Contains(body(t, "http://"+admin+"/state"), "bookings")
	})
	time.Sleep(time.Second)
	is.True(!ready())
	refused := book(t, callers)
	is.Equal(refused.status, http.StatusServiceUnavailable)
	is.Equal(refused.outcome, carawaybeam.OutcomeNotRun)
	is.Equal(refused.retryAfter, "1")
	readable.Store(true)
	await(t, "the entry is ready", ready)
}

// evacuatedIn returns the evacuated data centres that an entry reports to operators.
func evacuatedIn(t *testing.T, admin string) []carawaybeam.DataCentre {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+admin+"/v1/status", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer secret")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var reported administrator.Status
	if err := json.NewDecoder(response.Body).Decode(&reported); err != nil {
		t.Fatal(err)
	}
	return reported.EvacuatedDataCentres
}

// version returns the version of an evacuation.
func version(t *testing.T, store *storer.Storer, dataCentre string) carawaybeam.StoreVersion {
	t.Helper()
	object, err := store.Get(t.Context(), carawaybeam.KindEvacuation, dataCentre)
	if err != nil {
		t.Fatal(err)
	}
	return object.Version
}
