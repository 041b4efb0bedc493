package administrator

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"github.com/labstack/echo/v5"
	"golang.org/x/sync/errgroup"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/recorder"
	"github.com/carawaybeam/carawaybeam/replicator"
)

const (
	// PartExplanation names, when the identifier of a request follows it, the
	// part of an entry's state dump that is a recorder.Explanation.
	PartExplanation = "explanation/"

	// maxRequestBytes bounds the identifier of a request.
	maxRequestBytes = 128
)

type (
	// ExplanationResult is what the entries recorded of a request.
	ExplanationResult struct {
		// Explanation is nil when no entry that answered has a record.
		Explanation *recorder.Explanation `json:"explanation"`
		// LogLines holds what entries that call backend servers themselves logged of
		// the request.
		LogLines []string `json:"lines,omitempty"`
		// Asked counts the entries asked besides the one that answers.
		Asked int `json:"asked"`
		// Unreachable lists those that gave no answer. It is empty when the
		// explanation was found.
		Unreachable []string `json:"unreachable"`
	}

	// search asks entries until one has a record.
	search struct {
		mu     sync.Mutex
		found  *recorder.Explanation
		silent []string
	}
)

func (a *Administrator) explain(c *echo.Context) error {
	request := carawaybeam.RequestID(c.Param("request"))
	if len(request) > maxRequestBytes {
		return c.JSON(http.StatusBadRequest, failure{Detail: "identifier of the request is too long"})
	}
	if a.options.Explain != nil {
		if own, ok := a.options.Explain(request); ok {
			return c.JSON(http.StatusOK, ExplanationResult{Explanation: &own, Unreachable: []string{}})
		}
	}
	return c.JSON(http.StatusOK, a.askExplanation(c.Request().Context(), request))
}

// askExplanation asks the entries for their records of a request. The first one
// that has some ends the search.
func (a *Administrator) askExplanation(ctx context.Context, request carawaybeam.RequestID) ExplanationResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	vms := a.options.Tracker.Entries()
	var (
		s     search
		group errgroup.Group
	)
	group.SetLimit(maxQuestions)
	for _, vm := range vms {
		group.Go(func() error {
			if ctx.Err() == nil && s.take(vm.ID, request, a.askPart(ctx, vm.Address, request)) {
				cancel()
			}
			return nil
		})
	}
	_ = group.Wait()
	if s.found != nil {
		return ExplanationResult{Explanation: s.found, Asked: len(vms), Unreachable: []string{}}
	}
	slices.Sort(s.silent)
	return ExplanationResult{Asked: len(vms), Unreachable: append([]string{}, s.silent...)}
}

// askPart returns the state that an entry gave, or nil.
func (a *Administrator) askPart(
	ctx context.Context,
	address carawaybeam.Address,
	request carawaybeam.RequestID,
) []byte {
	part := PartExplanation + string(request)
	question := &framer.Frame{Body: &framer.Frame_DumpRequest{DumpRequest: &framer.DumpRequest{Part: part}}}
	answer, err := replicator.Ask(ctx, a.options.Dialer, address, question)
	if err != nil {
		return nil
	}
	return answer.GetDump().GetState()
}

// take notes the answer of an entry and tells whether it has a record.
func (s *search) take(vm carawaybeam.VMID, request carawaybeam.RequestID, data []byte) bool {
	var dump struct {
		State *recorder.Explanation `json:"state"`
	}
	err := json.Unmarshal(data, &dump)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.silent = append(s.silent, string(vm))
		return false
	}
	if dump.State == nil || dump.State.Request != request {
		return false
	}
	s.found = dump.State
	return true
}
