package dispatcher

import (
	"context"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/tracker"
)

// reacher makes links to backend servers outside an entry's subset.
type reacher interface {
	Reach(ctx context.Context, pool carawaybeam.PoolID, backend carawaybeam.BackendID) bool
}

// reach returns the backend server that a key is bound to, after a link to it has
// been made if there was none. It returns the zero Member if there is no such
// backend server.
func (d *Dispatcher) reach(
	ctx context.Context,
	pool carawaybeam.PoolID,
	backend carawaybeam.BackendID,
) tracker.Member {
	if links, ok := d.options.Members.(reacher); ok {
		links.Reach(ctx, pool, backend)
	}
	return d.member(pool, backend)
}
