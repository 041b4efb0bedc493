package rankcaller_test

import (
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/fakes/stepper"
	"github.com/carawaybeam/carawaybeam/rankcaller"
)

// grant returns a grant whose digest is too large to be represented exactly as a
// JSON number.
func grant(epoch carawaybeam.Epoch) carawaybeam.StepGrant {
	id := carawaybeam.ProposalID{Epoch: epoch, Version: 3}
	current := carawaybeam.MapAssignment{ID: id, Step: 1 << 40, Digest: 1<<64 - 1}
	return carawaybeam.StepGrant{Schedule: carawaybeam.MapSchedule{Current: current}}
}

func TestGrantAndReport(t *testing.T) {
	for name, fencing := range map[string]bool{"checks fencing": true, "ignores fencing": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			group := stepper.New(stepper.Options{Ranks: 2, StepTime: time.Hour, CheckFencing: fencing})
			defer func() { is.NoErr(group.Close()) }()
			server := httptest.NewServer(group.Handler())
			defer server.Close()
			ranks := rankcaller.New(carawaybeam.RankClientOptions{URL: server.URL, Timeout: 10 * time.Second})

			is.NoErr(ranks.Grant(t.Context(), 1, grant(5)))
			report, err := ranks.Report(t.Context(), 1)
			is.NoErr(err)
			is.Equal(report, carawaybeam.RankReport{Grant: grant(5)})

			var fenced *carawaybeam.FencedError
			err = ranks.Grant(t.Context(), 1, grant(4))
			is.Equal(errors.As(err, &fenced), fencing)

			var status *rankcaller.StatusError
			_, err = ranks.Report(t.Context(), 2)
			is.True(errors.As(err, &status)) // the rank does not exist
		})
	}
}
