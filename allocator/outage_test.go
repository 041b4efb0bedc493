package allocator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam/fakes/storer"
)

// TestStoreOutageIsNotStrained guards against entries that try to take or renew shares many times a
// second while the store does not answer.
func TestStoreOutageIsNotStrained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			entries = 5
			outage  = 20 * time.Second
		)
		is := is.New(t)
		f := newFleet(entries, demandFor(1, entries))
		time.Sleep(warmUp)
		f.setLimit(1)
		time.Sleep(settleTime)
		f.store.SetFault(storer.Fault{Mode: storer.FaultDown})
		before := f.store.Counts().Writes
		time.Sleep(outage)
		calls := f.store.Counts().Writes - before
		f.store.SetFault(storer.Fault{})
		f.close()
		t.Logf("%d writes in %v", calls, outage)
		is.True(calls <= entries*int(outage/time.Second)) // One a second and entry.
	})
}
