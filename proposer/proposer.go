// Package proposer controls groups of ranks: the holder of the lease of a group
// plans its expert maps and proposes them to its agents. The agents decide, so a
// holder that has lost its lease does no harm.
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
	// leaseDuration is how long a lease holds after its last renewal.
	leaseDuration = 10 * time.Second

	// renewInterval is how often a lease is tried.
	renewInterval = 3 * time.Second

	// callTimeout bounds one call to an agent, the store or the group.
	callTimeout = 2 * time.Second
)

type (
	// Options is what a Proposer is made from.
	Options struct {
		Store  carawaybeam.Store
		Config *configurer.Configurer
		Dialer carawaybeam.Dialer
		// NewPlanner makes the planner of one group.
		NewPlanner func(carawaybeam.PlannerOptions) carawaybeam.Planner
		// Holder identifies this life of the process.
		Holder carawaybeam.Incarnation
		Log    zerolog.Logger
	}

	// Proposer controls the groups of the configuration until Close.
	Proposer struct {
		options Options
		ctx     context.Context
		cancel  context.CancelFunc
		wait    sync.WaitGroup
		// running is used by the goroutine of follow only.
		running map[string]running
	}

	// running is a controller and the version of the group that it has.
	running struct {
		version carawaybeam.StoreVersion
		stop    context.CancelFunc
	}
)

// New returns a Proposer that follows the configuration.
func New(options Options) *Proposer {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Proposer{options: options, ctx: ctx, cancel: cancel, running: make(map[string]running)}
	p.wait.Go(p.follow)
	return p
}

// Close proposes no more and waits. Leases end by themselves.
func (p *Proposer) Close() error {
	p.cancel()
	p.wait.Wait()
	return nil
}

// follow runs a controller for each group of the configuration.
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

func (p *Proposer) reconcile(objects []carawaybeam.Object) {
	present := make(map[string]struct{}, len(objects))
	for _, object := range objects {
		present[object.Name] = struct{}{}
		if old, ok := p.running[object.Name]; ok {
			if old.version == object.Version {
				continue
			}
			old.stop()
		}
		p.running[object.Name] = running{version: object.Version, stop: p.start(object)}
	}
	for name, old := range p.running {
		if _, ok := present[name]; !ok {
			old.stop()
			delete(p.running, name)
		}
	}
}

// start runs the controller of a group until the returned function is called.
func (p *Proposer) start(object carawaybeam.Object) context.CancelFunc {
	ctx, cancel := context.WithCancel(p.ctx)
	c, err := p.newController(object)
	if err != nil {
		p.options.Log.Warn().Err(err).Str("group", object.Name).Msg("proposer: group is not controlled")
		return cancel
	}
	p.wait.Go(func() { c.run(ctx) })
	return cancel
}

func (p *Proposer) newController(object carawaybeam.Object) (*controller, error) {
	document, err := decodeDocument(object.Value)
	if err != nil {
		return nil, err
	}
	newRanks, err := carawaybeam.RankClients.Lookup(document.Protocol)
	if err != nil {
		return nil, err
	}
	ranks, err := newRanks(carawaybeam.RankClientOptions{URL: document.URL, Timeout: callTimeout})
	if err != nil {
		return nil, err
	}
	return &controller{
		options:  p.options,
		group:    object.Name,
		document: document,
		ranks:    ranks,
		planner: p.options.NewPlanner(carawaybeam.PlannerOptions{
			Ranks:          len(document.Peers),
			Slots:          document.Slots,
			SkewPreference: document.SkewPreference,
			Period:         document.period(),
		}),
		lease: leaser.New(leaser.Options{
			Store:    p.options.Store,
			Name:     object.Name,
			Holder:   p.options.Holder,
			Duration: leaseDuration,
		}),
	}, nil
}
