package main_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam/administrator"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/server"
)

func TestEntryExplainsRefusedRequest(t *testing.T) {
	is := is.New(t)
	callers, admin, links := freeAddress(t), freeAddress(t), freeAddress(t)
	store := httptest.NewServer(platform(t, links).Handler())
	t.Cleanup(store.Close)
	operators := "\n[operators]\ntokenHash = \"" + configurer.HashToken("secret") + "\"\n"
	start(t, "cbentry", entrySettings(callers, admin, store.URL)+operators)
	await(t, "the entry is ready", func() bool { return status("http://"+admin+"/readyz") == http.StatusOK })

	url := "http://" + callers + "/services/bookings/bookings"
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader("{}"))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer town-token")
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	id := response.Header.Get(server.HeaderRequest)

	var explained administrator.ExplanationResult
	await(t, "the request has ended", func() bool {
		explained = explanation(t, admin, id)
		return explained.Explanation != nil && explained.Explanation.Outcome != nil
	})
	is.Equal(string(explained.Explanation.Request), id)
	is.True(explained.Explanation.Admission != nil)
	is.True(len(explained.Explanation.Routes) > 0)
	is.Equal(string(explained.Explanation.Routes[0].Chosen), "") // no agent is linked
	is.Equal(string(explained.Explanation.Outcome.Failure.Reason), "noBackend")
	is.True(explanation(t, admin, "absent").Explanation == nil)
}

func explanation(t *testing.T, admin, id string) administrator.ExplanationResult {
	t.Helper()
	url := "http://" + admin + "/v1/requests/" + id + "/explanation"
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer secret")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var explained administrator.ExplanationResult
	if err := json.NewDecoder(response.Body).Decode(&explained); err != nil {
		t.Fatal(err)
	}
	return explained
}
