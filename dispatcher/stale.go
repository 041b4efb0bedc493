package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

// catchUpTimeout is how long a request waits for the configuration that an agent
// holds already.
const catchUpTimeout = 3 * time.Second

// Configuration is what a request that was decided on an old configuration is
// decided on anew.
type Configuration interface {
	Version() carawaybeam.ConfigVersion
	// AwaitNewer waits until the version is above the given one.
	AwaitNewer(ctx context.Context, version carawaybeam.ConfigVersion) bool
	Class(id carawaybeam.ClassID) (carawaybeam.Class, bool)
	Organisation(id carawaybeam.OrganisationID) (carawaybeam.Organisation, bool)
}

// refresh decides on a request anew once the configuration is up to date. It
// returns an error when the request is no longer allowed.
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
			comeBackAfter,
		)
	}
	decidedOn := config.Version()
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
	request.ConfigVersion = decidedOn
	return nil
}
