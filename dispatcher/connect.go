package dispatcher

import (
	"context"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/tracker"
)

// reach returns the backend server that a key or ticket names, after a link to it has
// been made if there was none. It returns the zero Member if there is no such
// backend server.
func (d *Dispatcher) reach(
	ctx context.Context,
	pool carawaybeam.PoolID,
	backend carawaybeam.BackendID,
) tracker.Member {
	d.options.Members.Reach(ctx, pool, backend)
	return d.member(pool, backend)
}
