// Package erakeeper keeps the newest era of the platform's store that a process has
// seen, and tells which answers of the store count. It is for the clients of stores.
package erakeeper

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
)

// EraKeeper keeps the newest era of one store. It is safe for concurrent use.
type EraKeeper struct {
	log zerolog.Logger

	mu  sync.Mutex
	era carawaybeam.StoreEra
	// known is set once an answer has been admitted.
	known   bool
	changed chan struct{}
}

// New returns an EraKeeper that has not seen an era yet.
func New(log zerolog.Logger) *EraKeeper {
	return &EraKeeper{log: log, changed: make(chan struct{})}
}

// Era returns the newest era seen, and a channel that is closed when there is a newer
// one.
func (k *EraKeeper) Era() (carawaybeam.StoreEra, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.era, k.changed
}

// Admit records the era of an answer, which is 0 if the answer has none. It returns a
// *carawaybeam.StoreError if the answer does not count, since its era is missing or
// earlier than one seen before.
func (k *EraKeeper) Admit(era carawaybeam.StoreEra) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if era < k.era {
		k.log.Error().Uint16("era", uint16(era)).Uint16("newestEra", uint16(k.era)).
			Msg("erakeeper: answer of the store is of an earlier era or of none and is ignored")
		return &carawaybeam.StoreError{
			Failure: carawaybeam.StoreUnavailable, Detail: "answer is of an earlier era of the store",
		}
	}
	if era > k.era && k.known {
		k.log.Warn().Uint16("era", uint16(era)).Uint16("before", uint16(k.era)).
			Msg("erakeeper: store has come back from an older copy")
		close(k.changed)
		k.changed = make(chan struct{})
	}
	k.era, k.known = era, true
	return nil
}

// GuardWrite makes a write that is conditional on the expected version by calling send,
// which returns the new version. It does not call send if the version is of an earlier
// era. It returns a *carawaybeam.StoreError with the failure StoreUncertain then, and if
// the era changes during the call: revisions are given out again, so that the condition
// may have held by chance, and a write before the change may be lost.
func (k *EraKeeper) GuardWrite(
	expect carawaybeam.StoreVersion,
	send func() (carawaybeam.StoreVersion, error),
) (carawaybeam.StoreVersion, error) {
	uncertain := func(era carawaybeam.StoreEra, detail string) *carawaybeam.StoreError {
		return &carawaybeam.StoreError{Failure: carawaybeam.StoreUncertain, Era: era, Detail: detail}
	}
	before, changed := k.Era()
	if expect != 0 && expect.Era() != before {
		return 0, uncertain(before, "expected version is of another era of the store")
	}
	version, err := send()
	select {
	case <-changed:
	default:
		return version, err
	}
	after, _ := k.Era()
	detail := "era of the store has changed during the write"
	if err != nil {
		detail += ": " + err.Error()
	}
	return 0, uncertain(after, detail)
}

// GuardWatch calls watch to wait for changes after a version. It returns a
// *carawaybeam.StoreError with the failure StoreExpired if the version is of an earlier
// era, and ends the call once another one has seen a newer era.
func (k *EraKeeper) GuardWatch(
	ctx context.Context,
	since carawaybeam.StoreVersion,
	watch func(context.Context) error,
) error {
	expired := func(era carawaybeam.StoreEra) *carawaybeam.StoreError {
		return &carawaybeam.StoreError{
			Failure: carawaybeam.StoreExpired, Era: era, Detail: "version is of an earlier era of the store",
		}
	}
	era, changed := k.Era()
	if since.Era() != era {
		return expired(era)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	err := watch(ctx)
	if newest, _ := k.Era(); newest != era {
		return expired(newest)
	}
	return err
}
