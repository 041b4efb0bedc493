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

// maxConcurrentCalls is the maximum number of processes called at the same time for
// one request.
const maxConcurrentCalls = 32

type (
	// ProcessStatus is the state of one process.
	ProcessStatus struct {
		// Process is the identifier of the VM.
		Process       string                    `json:"process"`
		Role          string                    `json:"role"`
		DataCentre    carawaybeam.DataCentre    `json:"dataCentre"`
		Pool          carawaybeam.PoolID        `json:"pool,omitempty"`
		Backend       carawaybeam.BackendID     `json:"backend,omitempty"`
		State         string                    `json:"state"`
		ConfigVersion carawaybeam.ConfigVersion `json:"configVersion"`
		// InForce is set if the process holds the requested version of an object
		// or a later one.
		InForce bool `json:"inForce"`
		// Detail is the reason for which the process cannot be reached or the
		// version is not in force.
		Detail string `json:"detail,omitempty"`
	}

	// Status is the state of the installation as known to one entry.
	Status struct {
		ConfigVersion carawaybeam.ConfigVersion `json:"configVersion"`
		// Invalid lists the objects that this entry holds but cannot decode.
		Invalid []string `json:"invalid,omitempty"`
		// QuarantinedRequests is the number of requests that are refused
		// permanently because they crash backend servers.
		QuarantinedRequests int `json:"quarantinedRequests"`
		// EvacuatedDataCentres lists the data centres to which this entry sends no
		// requests.
		EvacuatedDataCentres []carawaybeam.DataCentre `json:"evacuatedDataCentres,omitempty"`

		Classes   []ClassStatus   `json:"classes"`
		Processes []ProcessStatus `json:"processes"`
	}

	// ClassStatus is the state of a class in one data centre: the number of its
	// backend servers by state, and how far the requests of the entries there met
	// their targets.
	ClassStatus struct {
		Class      carawaybeam.ClassID    `json:"class"`
		DataCentre carawaybeam.DataCentre `json:"dataCentre"`
		Live       int                    `json:"live"`
		Leaving    int                    `json:"leaving"`
		Unlinked   int                    `json:"unlinked"`
		Target     TargetState            `json:"target"`
	}

	// objectVersion is a version of an object that is to be in force.
	objectVersion struct {
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

// inForce returns for each entry whether it holds a version of an object or a later
// one.
func (a *Administrator) inForce(c *echo.Context) error {
	version, err := strconv.ParseUint(c.QueryParam("version"), 10, 64)
	if err != nil || version == 0 {
		return c.JSON(http.StatusBadRequest, errorResponse{Detail: "version is no number"})
	}
	wanted := objectVersion{kind: c.Param("kind"), name: c.Param("name"), version: version}
	return c.JSON(http.StatusOK, a.queryEntries(c.Request().Context(), a.options.Tracker.Entries(), wanted))
}

// queryEntries returns the state of all entries, sorted by their identifiers.
func (a *Administrator) queryEntries(ctx context.Context, vms []carawaybeam.VM, wanted objectVersion) []ProcessStatus {
	var (
		mu        sync.Mutex
		processes []ProcessStatus
		group     errgroup.Group
	)
	group.SetLimit(maxConcurrentCalls)
	for _, vm := range vms {
		group.Go(func() error {
			process := a.queryEntry(ctx, vm, wanted)
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

// queryEntry asks an entry for its configuration version and whether the wanted
// version of an object is in force.
func (a *Administrator) queryEntry(ctx context.Context, vm carawaybeam.VM, wanted objectVersion) ProcessStatus {
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

// heldBy reports whether the process that sent the delta holds this version of the
// object or a later one.
func (w objectVersion) heldBy(delta *framer.ConfigDelta) bool {
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
		targets *targetReports
		entries []ProcessStatus
	)
	wait.Go(func() { targets = a.fetchTargets(ctx, vms) })
	wait.Go(func() { entries = a.queryEntries(ctx, vms, objectVersion{}) })
	wait.Wait()
	status := Status{
		ConfigVersion:       held.Version(),
		Classes:             a.classes(vms, targets),
		QuarantinedRequests: targets.quarantined,
		Processes:           append(entries, a.agents()...),
	}
	if a.options.Evacuated != nil {
		status.EvacuatedDataCentres = a.options.Evacuated()
	}
	for _, invalid := range held.Invalid() {
		status.Invalid = append(status.Invalid, invalid.Error())
	}
	return c.JSON(http.StatusOK, status)
}

// agents returns the state of all agents as known to this entry, sorted by the
// identifiers of their VMs.
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

// classes returns the state of each class in each data centre. A data centre that
// has entries but no backend servers of a class is included.
func (a *Administrator) classes(vms []carawaybeam.VM, targets *targetReports) []ClassStatus {
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
			counts[dataCentre].Target = targets.of(class, dataCentre)
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

// find returns the address of the process with the given identifier of a VM or
// backend server.
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
	frame := &framer.Frame{Body: &framer.Frame_Drain{Drain: &framer.Drain{}}}
	answer, err := a.forward(c, frame)
	if answer == nil {
		return err
	}
	return c.JSON(http.StatusOK, struct {
		Process string `json:"process"`
		Status  string `json:"status"`
	}{Process: c.Param("process"), Status: "draining"})
}

func (a *Administrator) dump(c *echo.Context) error {
	frame := &framer.Frame{Body: &framer.Frame_DumpRequest{DumpRequest: &framer.DumpRequest{}}}
	answer, err := a.forward(c, frame)
	if answer == nil {
		return err
	}
	return c.JSONBlob(http.StatusOK, answer.GetDump().GetState())
}

// forward sends a frame to the process named in the request and returns its answer.
// If that fails, it responds to the operator with an error and returns no frame.
func (a *Administrator) forward(c *echo.Context, frame *framer.Frame) (*framer.Frame, error) {
	address, ok := a.find(c.Param("process"))
	if !ok {
		return nil, c.JSON(http.StatusNotFound, errorResponse{Detail: "there is no such process"})
	}
	answer, err := replicator.Ask(c.Request().Context(), a.options.Dialer, address, frame)
	if err != nil {
		return nil, c.JSON(http.StatusBadGateway, errorResponse{Detail: "process could not be asked: " + err.Error()})
	}
	return answer, nil
}
