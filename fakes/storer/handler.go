package storer

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/storer"
)

type listing struct {
	Version carawaybeam.StoreVersion `json:"version"`
	Objects []carawaybeam.Object     `json:"objects"`
}

// Handler returns the HTTP API of the platform: objects, watches, VMs, weights,
// faults and counts.
func (s *Storer) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.serveGet)
	mux.HandleFunc("GET /v1/objects/{kind}", s.serveList)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.servePut)
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.serveDelete)
	mux.HandleFunc("GET /v1/watch", s.serveWatch)
	mux.HandleFunc("GET /v1/vms", s.serveVMs)
	mux.HandleFunc("GET /v1/weights/{model}/{layer}/{expert}", serveWeights)
	mux.HandleFunc("PUT /v1/vms", s.servePutVMs)
	mux.HandleFunc("POST /fault", s.serveFault)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { reply(w, 0, s.Counts(), nil) })
	return mux
}

func kindOf(r *http.Request) carawaybeam.StoreKind {
	return carawaybeam.StoreKind(r.PathValue("kind"))
}

func (s *Storer) serveGet(w http.ResponseWriter, r *http.Request) {
	object, err := s.Get(r.Context(), kindOf(r), r.PathValue("name"))
	reply(w, object.Version.Era(), object, err)
}

func (s *Storer) serveList(w http.ResponseWriter, r *http.Request) {
	objects, version, err := s.List(r.Context(), kindOf(r))
	reply(w, version.Era(), listing{Version: version, Objects: objects}, err)
}

func (s *Storer) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, 1<<20+1))
	if err != nil || len(value) > 1<<20 {
		http.Error(w, "value is too large", http.StatusRequestEntityTooLarge)
		return
	}
	object := carawaybeam.Object{Kind: kindOf(r), Name: r.PathValue("name"), Value: value}
	object.Version, err = s.Put(r.Context(), object, expected(r))
	reply(w, object.Version.Era(), object, err)
}

func (s *Storer) serveDelete(w http.ResponseWriter, r *http.Request) {
	version, err := s.Delete(r.Context(), kindOf(r), r.PathValue("name"), expected(r))
	reply(w, version.Era(), carawaybeam.Object{Version: version}, err)
}

func expected(r *http.Request) carawaybeam.StoreVersion {
	version, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		return 0
	}
	return carawaybeam.StoreVersion(version)
}

func (s *Storer) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, err := strconv.ParseUint(query.Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since is no number", http.StatusBadRequest)
		return
	}
	seconds, err := strconv.ParseFloat(query.Get("waitSeconds"), 64)
	if err != nil {
		http.Error(w, "waitSeconds is no number", http.StatusBadRequest)
		return
	}
	var kinds []carawaybeam.StoreKind
	for name := range strings.SplitSeq(query.Get("kinds"), ",") {
		kinds = append(kinds, carawaybeam.StoreKind(name))
	}
	wait := time.Duration(seconds * float64(time.Second))
	objects, version, err := s.Watch(r.Context(), kinds, carawaybeam.StoreVersion(since), wait)
	reply(w, version.Era(), listing{Version: version, Objects: objects}, err)
}

func (s *Storer) serveVMs(w http.ResponseWriter, r *http.Request) {
	vms, err := s.VMList().List(r.Context())
	reply(w, 0, vms, err)
}

func (s *Storer) servePutVMs(w http.ResponseWriter, r *http.Request) {
	var vms []carawaybeam.VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetVMs(vms)
	reply(w, 0, vms, nil)
}

func (s *Storer) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(fault)
	reply(w, 0, fault, nil)
}

// reply writes an answer of an era, which is that of the failure if err is not nil.
func reply(w http.ResponseWriter, era carawaybeam.StoreEra, value any, err error) {
	status := http.StatusOK
	if failure := new(carawaybeam.StoreError); errors.As(err, &failure) {
		era = failure.Era
		status = Status(failure, http.StatusPreconditionFailed)
		if failure.Failure == carawaybeam.StoreConflict {
			value = failure.Current
		}
	}
	if era > 0 {
		w.Header().Set(storer.EraHeader, strconv.Itoa(int(era)))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// Status returns the HTTP status for a failure, where conflict is the one for
// StoreConflict. For StoreUncertain it panics with http.ErrAbortHandler, which
// closes the connection without an answer.
func Status(failure *carawaybeam.StoreError, conflict int) int {
	switch failure.Failure {
	case carawaybeam.StoreConflict:
		return conflict
	case carawaybeam.StoreNotFound:
		return http.StatusNotFound
	case carawaybeam.StoreExpired:
		return http.StatusGone
	case carawaybeam.StoreUncertain:
		panic(http.ErrAbortHandler)
	}
	return http.StatusServiceUnavailable
}
