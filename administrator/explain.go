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
	// PartExplanation is the prefix of the names of parts of an entry's state
	// dump. Followed by the identifier of a request, it names the part with the
	// request's recorder.Explanation.
	PartExplanation = "explanation/"

	// maxRequestBytes is the maximum length of the identifier of a request.
	maxRequestBytes = 128
)

type (
	// ExplanationResult is what the entries recorded about a request.
	ExplanationResult struct {
		// Explanation is nil if no entry that answered has a record.
		Explanation *recorder.Explanation `json:"explanation"`
		// LogLines holds log lines about the request. Only entries that call
		// backend servers directly, without agents, return them.
		LogLines []string `json:"lines,omitempty"`
		// Asked is the number of entries that were asked, not counting the one
		// that answers the operator.
		Asked int `json:"asked"`
		// Unreachable lists the entries that could not be reached. It is empty
		// if the explanation was found.
		Unreachable []string `json:"unreachable"`
	}

	// explanationSearch collects the answers of entries until one has a record.
	explanationSearch struct {
		mu          sync.Mutex
		found       *recorder.Explanation
		unreachable []string
	}
)

func (a *Administrator) explain(c *echo.Context) error {
	request := carawaybeam.RequestID(c.Param("request"))
	if len(request) > maxRequestBytes {
		return c.JSON(http.StatusBadRequest, errorResponse{Detail: "identifier of the request is too long"})
	}
	if a.options.Explain != nil {
		if own, ok := a.options.Explain(request); ok {
			return c.JSON(http.StatusOK, ExplanationResult{Explanation: &own, Unreachable: []string{}})
		}
	}
	return c.JSON(http.StatusOK, a.findExplanation(c.Request().Context(), request))
}

// findExplanation asks all entries for their records of a request. It cancels the
// remaining calls as soon as one entry returns a record.
func (a *Administrator) findExplanation(ctx context.Context, request carawaybeam.RequestID) ExplanationResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	vms := a.options.Tracker.Entries()
	var (
		s     explanationSearch
		group errgroup.Group
	)
	group.SetLimit(maxConcurrentCalls)
	for _, vm := range vms {
		group.Go(func() error {
			if ctx.Err() == nil && s.add(vm.ID, request, a.fetchPart(ctx, vm.Address, request)) {
				cancel()
			}
			return nil
		})
	}
	_ = group.Wait()
	if s.found != nil {
		return ExplanationResult{Explanation: s.found, Asked: len(vms), Unreachable: []string{}}
	}
	slices.Sort(s.unreachable)
	return ExplanationResult{Asked: len(vms), Unreachable: append([]string{}, s.unreachable...)}
}

// fetchPart returns the part of an entry's state dump that explains the request. It
// returns nil if the call fails.
func (a *Administrator) fetchPart(
	ctx context.Context,
	address carawaybeam.Address,
	request carawaybeam.RequestID,
) []byte {
	part := PartExplanation + string(request)
	frame := &framer.Frame{Body: &framer.Frame_DumpRequest{DumpRequest: &framer.DumpRequest{Part: part}}}
	answer, err := replicator.Ask(ctx, a.options.Dialer, address, frame)
	if err != nil {
		return nil
	}
	return answer.GetDump().GetState()
}

// add evaluates the answer of an entry and reports whether it contains a record of
// the request.
func (s *explanationSearch) add(vm carawaybeam.VMID, request carawaybeam.RequestID, data []byte) bool {
	var dump struct {
		State *recorder.Explanation `json:"state"`
	}
	err := json.Unmarshal(data, &dump)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.unreachable = append(s.unreachable, string(vm))
		return false
	}
	if dump.State == nil || dump.State.Request != request {
		return false
	}
	s.found = dump.State
	return true
}
