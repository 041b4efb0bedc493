package administrator

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/labstack/echo/v5"
	"golang.org/x/sync/errgroup"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/replicator"
)

// maxQuestions bounds the processes asked at once.
const maxQuestions = 32

type (
	// ProcessStatus is what is known of one process.
	ProcessStatus struct {
		// Process is the identifier of the VM.
		Process       string                    `json:"process"`
		Role          string                    `json:"role"`
		DataCentre    carawaybeam.DataCentre    `json:"dataCentre"`
		Pool          carawaybeam.PoolID        `json:"pool,omitempty"`
		Backend       carawaybeam.BackendID     `json:"backend,omitempty"`
		State         string                    `json:"state"`
		ConfigVersion carawaybeam.ConfigVersion `json:"configVersion"`
		// InForce tells whether the version asked for is in force.
		InForce bool `json:"inForce"`
		// Detail tells why it is not.
		Detail string `json:"detail,omitempty"`
	}

	// Status is what an entry knows of the installation.
	Status struct {
		ConfigVersion carawaybeam.ConfigVersion `json:"configVersion"`
		// Invalid lists the objects that this entry holds but cannot
		// understand.
		Invalid []string `json:"invalid,omitempty"`
		// QuarantinedRequests counts the requests refused for good since they
		// crash backend servers.
		QuarantinedRequests int             `json:"quarantinedRequests"`
		Classes             []ClassStatus   `json:"classes"`
		Processes           []ProcessStatus `json:"processes"`
	}

	// ClassStatus tells how many backend servers a class has in one data centre, and
	// how its requests fared on the entries there.
	ClassStatus struct {
		Class      carawaybeam.ClassID    `json:"class"`
		DataCentre carawaybeam.DataCentre `json:"dataCentre"`
		Live       int                    `json:"live"`
		Leaving    int                    `json:"leaving"`
		Unlinked   int                    `json:"unlinked"`
		Target     TargetState            `json:"target"`
	}

	// target is an object at a version that is to be in force.
	target struct {
		kind    string
		name    string
		version uint64
	}
)

const (
	stateLive        = "live"
	stateLeaving     = "leaving"
	stateUnlinked    = "unlinked"
	stateUnreachable = "unreachable"
	stateNotReady    = "not ready"
)

// force tells for each entry whether an object is in force there at a version.
func (a *Administrator) force(c *echo.Context) error {
	version, err := strconv.ParseUint(c.QueryParam("version"), 10, 64)
	if err != nil || version == 0 {
		return c.JSON(http.StatusBadRequest, failure{Detail: "version is no number"})
	}
	wanted := target{kind: c.Param("kind"), name: c.Param("name"), version: version}
	return c.JSON(http.StatusOK, a.entries(c.Request().Context(), a.options.Tracker.Entries(), wanted))
}

// entries asks the entries what they hold.
func (a *Administrator) entries(ctx context.Context, vms []carawaybeam.VM, wanted target) []ProcessStatus {
	var (
		mu        sync.Mutex
		processes []ProcessStatus
		group     errgroup.Group
	)
	group.SetLimit(maxQuestions)
	for _, vm := range vms {
		group.Go(func() error {
			process := a.ask(ctx, vm, wanted)
			mu.Lock()
			defer mu.Unlock()
			processes = append(processes, process)
			return nil
		})
	}
	_ = group.Wait()
	sortProcesses(processes)
	return processes
}

func sortProcesses(processes []ProcessStatus) {
	slices.SortFunc(processes, func(a, b ProcessStatus) int { return strings.Compare(a.Process, b.Process) })
}

func (a *Administrator) ask(ctx context.Context, vm carawaybeam.VM, wanted target) ProcessStatus {
	process := ProcessStatus{Process: string(vm.ID), Role: vm.Role, DataCentre: vm.DataCentre, State: stateLive}
	since := max(wanted.version, 1) - 1
	pull := &framer.Frame{Body: &framer.Frame_ConfigPull{ConfigPull: &framer.ConfigPull{Since: since}}}
	answer, err := replicator.Ask(ctx, a.options.Dialer, vm.Address, pull)
	if err != nil {
		process.State = stateUnreachable
		process.Detail = err.Error()
		return process
	}
	delta := answer.GetConfigDelta()
	process.ConfigVersion = carawaybeam.ConfigVersion(delta.GetVersion())
	process.InForce = wanted.heldBy(delta)
	if slices.Contains(delta.GetInvalid(), wanted.kind+"/"+wanted.name) {
		process.InForce = false
		process.Detail = "process does not understand the object and keeps the last one"
	}
	return process
}

// heldBy tells whether a process that gave the delta holds the object at the
// version or a later one.
func (w target) heldBy(delta *framer.ConfigDelta) bool {
	for _, object := range delta.GetObjects() {
		if object.GetKind() == w.kind && object.GetName() == w.name {
			return object.GetVersion() >= w.version
		}
	}
	return delta.GetVersion() >= w.version
}

func (a *Administrator) status(c *echo.Context) error {
	held := a.options.Configurer
	ctx, vms := c.Request().Context(), a.options.Tracker.Entries()
	var (
		wait    sync.WaitGroup
		told    *fleetTargets
		entries []ProcessStatus
	)
	wait.Go(func() { told = a.targets(ctx, vms) })
	wait.Go(func() { entries = a.entries(ctx, vms, target{}) })
	wait.Wait()
	status := Status{
		ConfigVersion:       held.Version(),
		Classes:             a.classes(vms, told),
		QuarantinedRequests: told.quarantined,
		Processes:           append(entries, a.agents()...),
	}
	for _, invalid := range held.Invalid() {
		status.Invalid = append(status.Invalid, invalid.Error())
	}
	return c.JSON(http.StatusOK, status)
}

// agents returns what this entry knows of the agents.
func (a *Administrator) agents() []ProcessStatus {
	members := a.options.Tracker.All()
	processes := make([]ProcessStatus, 0, len(members))
	for _, m := range members {
		processes = append(processes, ProcessStatus{
			Process: string(m.VM.ID), Role: m.VM.Role, DataCentre: m.VM.DataCentre, Pool: m.VM.Pool,
			Backend: m.Backend, State: stateOf(m.Linked, m.Leaving), ConfigVersion: m.ConfigVersion,
		})
	}
	sortProcesses(processes)
	return processes
}

func stateOf(linked, leaving bool) string {
	switch {
	case leaving:
		return stateLeaving
	case linked:
		return stateLive
	}
	return stateUnlinked
}

// classes counts the backend servers of each class by data centre, those with
// entries alone included.
func (a *Administrator) classes(vms []carawaybeam.VM, told *fleetTargets) []ClassStatus {
	agents := a.agents()
	classes := make([]ClassStatus, 0, len(agents))
	for _, class := range a.options.Configurer.Classes() {
		counts := make(map[carawaybeam.DataCentre]*ClassStatus)
		for _, vm := range vms {
			counts[vm.DataCentre] = &ClassStatus{Class: class.ID, DataCentre: vm.DataCentre}
		}
		for _, p := range agents {
			if p.Pool != class.Pool {
				continue
			}
			if counts[p.DataCentre] == nil {
				counts[p.DataCentre] = &ClassStatus{Class: class.ID, DataCentre: p.DataCentre}
			}
			counts[p.DataCentre].add(p.State)
		}
		for _, dataCentre := range slices.Sorted(maps.Keys(counts)) {
			counts[dataCentre].Target = told.of(class, dataCentre)
			classes = append(classes, *counts[dataCentre])
		}
	}
	return classes
}

func (c *ClassStatus) add(state string) {
	switch state {
	case stateLive:
		c.Live++
	case stateLeaving:
		c.Leaving++
	default:
		c.Unlinked++
	}
}

// find returns the address of a process by the identifier of its VM or backend
// server.
func (a *Administrator) find(process string) (carawaybeam.Address, bool) {
	for _, vm := range a.options.Tracker.Entries() {
		if string(vm.ID) == process {
			return vm.Address, true
		}
	}
	for _, m := range a.options.Tracker.All() {
		if string(m.VM.ID) == process || string(m.Backend) == process {
			return m.VM.Address, true
		}
	}
	return "", false
}

func (a *Administrator) drain(c *echo.Context) error {
	question := &framer.Frame{Body: &framer.Frame_Drain{Drain: &framer.Drain{}}}
	answer, err := a.askProcess(c, question)
	if answer == nil {
		return err
	}
	return c.JSON(http.StatusOK, struct {
		Process string `json:"process"`
		Status  string `json:"status"`
	}{Process: c.Param("process"), Status: "draining"})
}

func (a *Administrator) dump(c *echo.Context) error {
	question := &framer.Frame{Body: &framer.Frame_DumpRequest{DumpRequest: &framer.DumpRequest{}}}
	answer, err := a.askProcess(c, question)
	if answer == nil {
		return err
	}
	return c.JSONBlob(http.StatusOK, answer.GetDump().GetState())
}

// askProcess passes a question on. Without an answer it has served the request.
func (a *Administrator) askProcess(c *echo.Context, question *framer.Frame) (*framer.Frame, error) {
	address, ok := a.find(c.Param("process"))
	if !ok {
		return nil, c.JSON(http.StatusNotFound, failure{Detail: "there is no such process"})
	}
	answer, err := replicator.Ask(c.Request().Context(), a.options.Dialer, address, question)
	if err != nil {
		return nil, c.JSON(http.StatusBadGateway, failure{Detail: "process could not be asked: " + err.Error()})
	}
	return answer, nil
}
