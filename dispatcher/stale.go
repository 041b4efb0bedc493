package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

// catchUpTimeout is how long a request waits for the newer configuration that an
// agent already has.
const catchUpTimeout = 3 * time.Second

// Configuration provides the current configuration for requests that an agent
// refused because their configuration was outdated.
type Configuration interface {
	// Version returns the current version.
	Version() carawaybeam.ConfigVersion
	// AwaitNewer waits until the current version is higher than the given one.
	// It returns false if ctx is done first.
	AwaitNewer(ctx context.Context, version carawaybeam.ConfigVersion) bool
	// Class returns a class of work, or false if there is no such class.
	Class(id carawaybeam.ClassID) (carawaybeam.Class, bool)
	// Organisation returns an organisation, or false if there is no such
	// organisation.
	Organisation(id carawaybeam.OrganisationID) (carawaybeam.Organisation, bool)
}

// refresh waits for a newer configuration, checks that it still allows the
// request and updates the request from it. It returns an error if the request is
// no longer allowed or the newer configuration does not arrive in time.
func (d *Dispatcher) refresh(ctx context.Context, request *Request) *carawaybeam.RequestError {
	config := d.options.Configuration
	if config == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if !config.AwaitNewer(ctx, request.ConfigVersion) {
		return carawaybeam.NotRun(
			carawaybeam.ReasonStaleConfig,
			"newer configuration could not be read in time",
			defaultRetryAfter,
		)
	}
	version := config.Version()
	class, ok := config.Class(request.Class.ID)
	if !ok || class.Kind != request.Class.Kind {
		return carawaybeam.NotRun(carawaybeam.ReasonUnknownClass, "class is gone", 0)
	}
	org, ok := config.Organisation(request.Organisation)
	if !ok {
		return carawaybeam.NotRun(carawaybeam.ReasonUnauthorized, "organisation is gone", 0)
	}
	if len(org.Classes) > 0 && !slices.Contains(org.Classes, class.ID) {
		return carawaybeam.NotRun(carawaybeam.ReasonForbidden, "organisation may not use the class", 0)
	}
	request.Class = class
	request.ConfigVersion = version
	return nil
}
