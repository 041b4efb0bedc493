// Package proposer controls groups of ranks: the holder of the lease of a group
// plans its expert maps and proposes them to its agents. The agents decide whether
// to accept a proposal, so a holder that has lost its lease is harmless.
package proposer

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/leaser"
)

const (
	// leaseDuration is the time from the last renewal of a lease to its expiry.
	leaseDuration = 10 * time.Second

	// renewInterval is the time between two attempts to acquire or renew a lease.
	renewInterval = 3 * time.Second

	// callTimeout is the timeout of one call to an agent, the store or the ranks.
	callTimeout = 2 * time.Second
)

type (
	// Options configures a Proposer.
	Options struct {
		Store  carawaybeam.Store
		Config *configurer.Configurer
		Dialer carawaybeam.Dialer
		// NewPlanner returns a planner for one group.
		NewPlanner func(carawaybeam.PlannerOptions) carawaybeam.Planner
		// Evacuated reports whether all agents of a group are in evacuated data centres,
		// so that no change of its map is begun. If nil, none is.
		Evacuated func(agents []carawaybeam.Address) bool
		// Holder identifies this incarnation of the process.
		Holder carawaybeam.Incarnation
		Log    zerolog.Logger
	}

	// Proposer runs a controller for each group of the configuration until Close.
	Proposer struct {
		options Options
		ctx     context.Context
		cancel  context.CancelFunc
		wait    sync.WaitGroup
		// controllers is used only by the goroutine that runs follow. Its keys
		// are the names of the groups.
		controllers map[string]runningController
	}

	// runningController is a running controller and the version of the group
	// settings that it uses.
	runningController struct {
		version carawaybeam.StoreVersion
		stop    context.CancelFunc
	}
)

// New returns a Proposer that follows the configuration.
func New(options Options) *Proposer {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Proposer{options: options, ctx: ctx, cancel: cancel, controllers: make(map[string]runningController)}
	p.wait.Go(p.follow)
	return p
}

// Close stops the controllers and waits for them. It leaves their leases to expire.
func (p *Proposer) Close() error {
	p.cancel()
	p.wait.Wait()
	return nil
}

// follow starts and stops controllers as the groups of the configuration change.
func (p *Proposer) follow() {
	for {
		changed := p.options.Config.Changed()
		p.reconcile(p.options.Config.Objects(carawaybeam.KindGroup))
		select {
		case <-changed:
		case <-p.ctx.Done():
			return
		}
	}
}

// reconcile makes the running controllers match the groups.
func (p *Proposer) reconcile(objects []carawaybeam.Object) {
	present := make(map[string]struct{}, len(objects))
	for _, object := range objects {
		present[object.Name] = struct{}{}
		if old, ok := p.controllers[object.Name]; ok {
			if old.version == object.Version {
				continue
			}
			old.stop()
		}
		p.controllers[object.Name] = runningController{version: object.Version, stop: p.start(object)}
	}
	for name, old := range p.controllers {
		if _, ok := present[name]; !ok {
			old.stop()
			delete(p.controllers, name)
		}
	}
}

// start starts the controller of a group. The returned function stops it.
func (p *Proposer) start(object carawaybeam.Object) context.CancelFunc {
	ctx, cancel := context.WithCancel(p.ctx)
	c, err := p.newController(object)
	if err != nil {
		p.options.Log.Warn().Err(err).Str("group", object.Name).Msg("proposer: cannot start the controller of a group")
		return cancel
	}
	p.wait.Go(func() { c.run(ctx) })
	return cancel
}

func (p *Proposer) newController(object carawaybeam.Object) (*controller, error) {
	settings, err := decodeSettings(object.Value)
	if err != nil {
		return nil, err
	}
	newRanks, err := carawaybeam.RankClients.Lookup(settings.Protocol)
	if err != nil {
		return nil, err
	}
	ranks, err := newRanks(carawaybeam.RankClientOptions{URL: settings.URL, Timeout: callTimeout})
	if err != nil {
		return nil, err
	}
	return &controller{
		options:  p.options,
		group:    object.Name,
		settings: settings,
		ranks:    ranks,
		planner: p.options.NewPlanner(carawaybeam.PlannerOptions{
			Ranks:          len(settings.Peers),
			Slots:          settings.Slots,
			SkewPreference: settings.SkewPreference,
			Period:         settings.period(),
		}),
		lease: leaser.New(leaser.Options{
			Store:    p.options.Store,
			Name:     object.Name,
			Holder:   p.options.Holder,
			Duration: leaseDuration,
		}),
	}, nil
}
