package applier

import (
	"context"
	"errors"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/configurer"
)

// StatusNotApplied means that an uncertain change did not and will not take effect.
const StatusNotApplied Status = "notApplied"

// Settle determines the outcome of an uncertain change, whose Expect must be set.
// If the object still has the revision that the change expects, Settle rewrites it
// with the same content. This gives it a new version, so that a delayed write of
// the change can no longer take effect, also not in a later era of the store.
func (a *Applier) Settle(ctx context.Context, change Change) Result {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	for {
		current, err := a.get(ctx, change.Kind, change.Name)
		if err != nil {
			return change.result(StatusUncertain, current, "store could not be read: "+err.Error())
		}
		if result, settled := a.outcome(ctx, change, current); settled {
			return result
		}
		err = a.fence(ctx, change, current)
		var failed *carawaybeam.StoreError
		if errors.As(err, &failed) && failed.Failure == carawaybeam.StoreUnavailable {
			return change.result(StatusUncertain, current, failed.Detail)
		}
		if ctx.Err() != nil {
			return change.result(StatusUncertain, current, "store did not answer in time")
		}
	}
}

// outcome returns the outcome of a change as the current object shows it, or false
// if the change may still take effect.
func (a *Applier) outcome(ctx context.Context, change Change, current carawaybeam.Object) (Result, bool) {
	record := configurer.Record(current)
	switch {
	case record.ID == change.ID:
		return a.accept(ctx, change, current), true
	case record.Includes(change.ID):
		return change.result(StatusAccepted, current, "change took effect and was changed again since"), true
	case change.Expect.Revision() > current.Version.Revision():
		// Only an older copy of the store has a lower revision. The expected one is
		// given out again.
		return change.result(StatusUncertain, current, "store has come back from an older copy"), true
	case change.Expect.Revision() == current.Version.Revision():
		return Result{}, false
	case record.IsTruncated():
		return change.result(StatusUncertain, current, "too many changes have been made since to tell"), true
	}
	return change.result(StatusNotApplied, current, "change did not take effect and never will"), true
}

// fence rewrites the current object with the same content, which gives it a new
// version.
func (a *Applier) fence(ctx context.Context, change Change, current carawaybeam.Object) error {
	record := configurer.Record(current).Next(configurer.NewChangeID(), change.By, time.Now())
	record.Deleted = current.Version == 0 || configurer.Record(current).Deleted
	value, err := configurer.ReplaceRecord(current, record)
	if err != nil {
		return err
	}
	object := carawaybeam.Object{Kind: change.Kind, Name: change.Name, Value: value}
	_, err = a.options.Store.Put(ctx, object, current.Version)
	return err
}
