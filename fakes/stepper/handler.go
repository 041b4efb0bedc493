package stepper

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/carawaybeam/carawaybeam"
)

// maxGrantBytes is the maximum size of the body of a grant.
const maxGrantBytes = 64 << 10

// Handler returns the HTTP API of the group: the report and the grant of each
// rank, the loads and the history.
func (s *Stepper) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/ranks/{rank}/report", s.serveReport)
	mux.HandleFunc("PUT /v1/ranks/{rank}/grant", s.serveGrant)
	mux.HandleFunc("GET /v1/loads", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Loads()) })
	mux.HandleFunc("GET /history", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.History()) })
	return mux
}

func (s *Stepper) serveReport(w http.ResponseWriter, r *http.Request) {
	if rank, ok := s.rankOf(w, r); ok {
		reply(w, s.Report(rank))
	}
}

func (s *Stepper) serveGrant(w http.ResponseWriter, r *http.Request) {
	rank, ok := s.rankOf(w, r)
	if !ok {
		return
	}
	var grant carawaybeam.StepGrant
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxGrantBytes)).Decode(&grant); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.SetGrant(rank, grant) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// rankOf returns the rank named in the path. If there is no such rank, it
// answers 404 Not Found and returns false.
func (s *Stepper) rankOf(w http.ResponseWriter, r *http.Request) (carawaybeam.Rank, bool) {
	rank, err := strconv.Atoi(r.PathValue("rank"))
	if err != nil || rank < 0 || rank >= s.options.Ranks {
		w.WriteHeader(http.StatusNotFound)
		return 0, false
	}
	return carawaybeam.Rank(rank), true
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
