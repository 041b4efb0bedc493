// Command cbfake is a stand-in for an outside system, for tests and the demo:
// the platform, a model engine, a plain service or a group of ranks.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/fakes/booker"
	"github.com/carawaybeam/carawaybeam/fakes/generator"
	"github.com/carawaybeam/carawaybeam/fakes/stepper"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
	"github.com/carawaybeam/carawaybeam/starter"
)

const (
	program = "cbfake"

	// exitCrash is the exit code of an engine that a prompt has crashed.
	exitCrash = 9

	shutdownTimeout = time.Second

	// groupLayers and groupExperts are the dimensions of a group's loads.
	groupLayers  = 2
	groupExperts = 16
)

type (
	options struct {
		role      string
		listen    string
		seed      string
		delay     time.Duration
		listLag   time.Duration
		slots     int
		fencing   bool
		tokenTime time.Duration
		ranks     int
		stepTime  time.Duration
	}

	// seed is the initial content of the platform.
	seed struct {
		Class        map[string]configurer.ClassDocument        `toml:"class"`
		Organisation map[string]configurer.OrganisationDocument `toml:"organisation"`
		VM           []vm                                       `toml:"vm"`
	}

	vm struct {
		ID         carawaybeam.VMID       `toml:"id"`
		DataCentre carawaybeam.DataCentre `toml:"dataCentre"`
		Role       string                 `toml:"role"`
		Address    carawaybeam.Address    `toml:"address"`
		Pool       carawaybeam.PoolID     `toml:"pool"`
	}
)

var errRole = errors.New("-role must be platform, engine, service or group")

func main() {
	o := parse()
	handler, err := o.handler()
	if err != nil {
		starter.Fail(program, starter.ExitSettings, err)
	}
	listener, err := net.Listen("tcp", o.listen)
	if err != nil {
		starter.Fail(program, starter.ExitStart, err)
	}
	stop, cancel := starter.StopSignal()
	defer cancel()
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	<-stop.Done()
	ctx, cancelShutdown := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancelShutdown()
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
	}
}

func parse() options {
	var o options
	flag.StringVar(&o.role, "role", "", "platform, engine, service or group")
	flag.StringVar(&o.listen, "listen", "127.0.0.1:0", "address to listen on")
	flag.StringVar(&o.seed, "seed", "", "TOML file with the platform's first objects and VMs")
	flag.DurationVar(&o.delay, "delay", 0, "time that a plain service takes")
	flag.DurationVar(&o.listLag, "listLag", 0, "how long a change of the VMs takes to show")
	flag.IntVar(&o.slots, "slots", 64, "calls that an engine runs at once")
	flag.BoolVar(&o.fencing, "fencing", true, "whether an engine or rank refuses orders of older epochs")
	flag.DurationVar(&o.tokenTime, "tokenTime", 5*time.Millisecond, "time that an engine takes for a token")
	flag.IntVar(&o.ranks, "ranks", 8, "ranks of a group")
	flag.DurationVar(&o.stepTime, "stepTime", 20*time.Millisecond, "time of one step of a group")
	flag.Parse()
	return o
}

func (o options) handler() (http.Handler, error) {
	switch o.role {
	case "platform":
		return o.platform()
	case "engine":
		return generator.New(generator.Options{
			TokenTime:    o.tokenTime,
			Slots:        o.slots,
			CheckFencing: o.fencing,
			Crash:        func() { os.Exit(exitCrash) },
		}).Handler(), nil
	case "service":
		return booker.New(o.delay).Handler(), nil
	case "group":
		return stepper.New(stepper.Options{
			Ranks:        o.ranks,
			StepTime:     o.stepTime,
			CheckFencing: o.fencing,
			Record:       true,
			Layers:       groupLayers,
			Experts:      groupExperts,
		}).Handler(), nil
	}
	return nil, errRole
}

func (o options) platform() (http.Handler, error) {
	s := storer.New()
	if o.seed == "" {
		return s.Handler(), nil
	}
	data, err := os.ReadFile(o.seed)
	if err != nil {
		return nil, err
	}
	var initial seed
	if err := toml.Unmarshal(data, &initial); err != nil {
		return nil, err
	}
	if err := populate(s, initial); err != nil {
		return nil, err
	}
	s.SetListLag(o.listLag)
	return s.Handler(), nil
}

func populate(s *storer.Storer, initial seed) error {
	for name, document := range initial.Class {
		if err := put(s, carawaybeam.KindClass, name, document); err != nil {
			return err
		}
	}
	for name, document := range initial.Organisation {
		if err := put(s, carawaybeam.KindOrganisation, name, document); err != nil {
			return err
		}
	}
	vms := make([]carawaybeam.VM, 0, len(initial.VM))
	for _, row := range initial.VM {
		vms = append(vms, carawaybeam.VM{
			ID:         row.ID,
			State:      carawaybeam.VMLive,
			DataCentre: row.DataCentre,
			Role:       row.Role,
			Address:    row.Address,
			Pool:       row.Pool,
		})
	}
	s.SetVMs(vms)
	return nil
}

func put(s *storer.Storer, kind carawaybeam.StoreKind, name string, document any) error {
	value, err := json.Marshal(document)
	if err != nil {
		return err
	}
	_, err = s.Put(context.Background(), carawaybeam.Object{Kind: kind, Name: name, Value: value}, 0)
	return err
}
