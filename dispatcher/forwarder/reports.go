package forwarder

import (
	"context"
	"errors"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// reportCheckInterval is how often a waiting attempt checks that its backend
	// server still reports. Together with the age at which a report expires, it
	// leaves most of a second for another attempt before clients disconnect,
	// 2 s after their request arrived.
	reportCheckInterval = 100 * time.Millisecond

	// minOutage is the shortest time after which a VM that has stopped is
	// expected to run again.
	minOutage = 2 * time.Second
)

// errReportsStopped cancels an attempt on a backend server whose VM has stopped.
var errReportsStopped = errors.New("backend server has stopped to report")

// watchReports cancels an attempt with errReportsStopped if the backend server
// stops reporting before it has answered. It does nothing for a backend server
// that does not report in the first place.
func (f *Forwarder) watchReports(
	ctx context.Context,
	cancel context.CancelCauseFunc,
	instance carawaybeam.Instance,
	o *observation,
) {
	if _, ok := f.options.Report(instance.Address); !ok {
		return
	}
	go func() {
		ticker := time.NewTicker(reportCheckInterval)
		defer ticker.Stop()
		for !o.answered.Load() {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
			if _, ok := f.options.Report(instance.Address); !ok {
				cancel(errReportsStopped)
				return
			}
		}
	}()
}

// interrupted returns the result of an attempt whose context has ended: because
// of errReportsStopped, the deadline or the client.
func interrupted(ctx context.Context, detail string) result {
	if errors.Is(context.Cause(ctx), errReportsStopped) {
		return brokenOff(errReportsStopped.Error())
	}
	return result{failure: unknownOutcome(carawaybeam.ReasonDeadline, detail), brokenOff: true}
}

// brokenOff returns the result of an attempt that may have run and was cut off on
// the side of the backend server.
func brokenOff(detail string) result {
	return result{
		failure:      unknownOutcome(carawaybeam.ReasonBackendFailed, detail),
		brokenOff:    true,
		backendFault: true,
	}
}
