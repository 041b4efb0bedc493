package forwarder

import (
	"context"
	"errors"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// silenceInterval is how often a waiting request looks whether its backend
	// server still reports. With the age up to which a report counts, it leaves
	// another attempt most of a second until clients leave, 2 s after they came.
	silenceInterval = 100 * time.Millisecond

	// silentReturnTime is the least time in which a VM that has stopped returns.
	silentReturnTime = 2 * time.Second
)

// errSilent ends an attempt at a backend server whose VM has stopped.
var errSilent = errors.New("backend server has stopped to report")

// watch ends an attempt by errSilent when the backend server stops to report before
// it has answered. One that does not report at all is not watched.
func (f *Forwarder) watch(
	ctx context.Context,
	cancel context.CancelCauseFunc,
	instance carawaybeam.Instance,
	o *observation,
) {
	if _, ok := f.options.Report(instance.Address); !ok {
		return
	}
	go func() {
		ticker := time.NewTicker(silenceInterval)
		defer ticker.Stop()
		for !o.answered.Load() {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
			if _, ok := f.options.Report(instance.Address); !ok {
				cancel(errSilent)
				return
			}
		}
	}()
}

// interrupted returns how an attempt ended that was ended from here.
func interrupted(ctx context.Context, detail string) result {
	if errors.Is(context.Cause(ctx), errSilent) {
		return result{failure: mayHaveRun(carawaybeam.ReasonBackendFailed, errSilent.Error()), blame: true}
	}
	return result{failure: mayHaveRun(carawaybeam.ReasonDeadline, detail)}
}
