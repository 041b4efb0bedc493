package dispatcher

import (
	"context"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/tracker"
)

// connect links to the backend server that a key or ticket names, unless there
// is a link already, and returns it. It returns the zero Member if there is no
// such backend server.
func (d *Dispatcher) connect(
	ctx context.Context,
	pool carawaybeam.PoolID,
	backend carawaybeam.BackendID,
) tracker.Member {
	d.options.Members.EnsureLink(ctx, pool, backend)
	return d.member(pool, backend)
}
