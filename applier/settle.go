package applier

import (
	"context"
	"errors"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/configurer"
)

// StatusNotApplied means that a settled change did not and will not take effect.
const StatusNotApplied Status = "notApplied"

// Settle finds out what became of an uncertain change. If the object is still of
// the version that the change expects, it is written again as it is, after which
// the change can no longer take effect.
func (a *Applier) Settle(ctx context.Context, change Change) Result {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	for {
		present, err := a.present(ctx, change.Kind, change.Name)
		if err != nil {
			return change.result(StatusUncertain, present, "store could not be read: "+err.Error())
		}
		if result, settled := a.judge(ctx, change, present); settled {
			return result
		}
		err = a.fence(ctx, change, present)
		var failed *carawaybeam.StoreError
		if errors.As(err, &failed) && failed.Failure == carawaybeam.StoreUnavailable {
			return change.result(StatusUncertain, present, failed.Detail)
		}
		if ctx.Err() != nil {
			return change.result(StatusUncertain, present, "store did not answer in time")
		}
	}
}

// judge tells what the present object shows of a change.
func (a *Applier) judge(ctx context.Context, change Change, present carawaybeam.Object) (Result, bool) {
	record := configurer.Record(present)
	switch {
	case record.ID == change.ID:
		return a.accept(ctx, change, present), true
	case record.Includes(change.ID):
		return change.result(StatusAccepted, present, "change took effect and was changed again since"), true
	case present.Version == *change.Expect:
		return Result{}, false
	case record.IsTruncated():
		return change.result(StatusUncertain, present, "too many changes have been made since to tell"), true
	}
	return change.result(StatusNotApplied, present, "change did not take effect and never will"), true
}

// fence writes the present object again, so that its version moves on.
func (a *Applier) fence(ctx context.Context, change Change, present carawaybeam.Object) error {
	record := configurer.Record(present).Next(configurer.NewChangeID(), change.By, time.Now())
	record.Deleted = present.Version == 0 || configurer.Record(present).Deleted
	value, err := configurer.ReplaceRecord(present, record)
	if err != nil {
		return err
	}
	object := carawaybeam.Object{Kind: change.Kind, Name: change.Name, Value: value}
	_, err = a.options.Store.Put(ctx, object, present.Version)
	return err
}
