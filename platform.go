package carawaybeam

import (
	"context"
	"time"
)

// VMState tells what the platform knows of a VM.
type VMState string

const (
	// VMLive means that the VM runs.
	VMLive VMState = "live"
	// VMLeaving means that the VM is about to stop.
	VMLeaving VMState = "leaving"
)

const (
	// RoleEntry marks VMs on which an entry runs.
	RoleEntry = "entry"
	// RoleAgent marks VMs on which an agent runs beside a backend server.
	RoleAgent = "agent"
)

type (
	// VM is one row of the platform's list. The list lags.
	VM struct {
		ID         VMID       `json:"id"`
		State      VMState    `json:"state"`
		DataCentre DataCentre `json:"dataCentre"`
		// Role is RoleEntry or RoleAgent.
		Role string `json:"role"`
		// Address is where the process of the system listens for links.
		Address Address `json:"address"`
		// Pool is the pool of the backend server beside an agent.
		Pool PoolID `json:"pool,omitempty"`
	}

	// Lister is the platform's lagging list of live and leaving VMs.
	Lister interface {
		// List returns all VMs that the platform knows.
		List(ctx context.Context) ([]VM, error)
	}

	// ListerOptions is what a plug-in for the list of VMs is made from.
	ListerOptions struct {
		// URL is the base address of the list.
		URL string
		// Timeout bounds one call.
		Timeout time.Duration
	}

	// WeightStore gives the weights of experts. It is rate-limited.
	WeightStore interface {
		// Fetch loads the weights of one expert of one layer and returns
		// their size.
		Fetch(ctx context.Context, model string, layer int, expert Expert) (Bytes, error)
	}

	// WeightStoreOptions is what a plug-in for the weight store is made from.
	WeightStoreOptions struct {
		// URL is the base address of the weight store.
		URL string
		// Timeout bounds one call.
		Timeout time.Duration
	}
)
