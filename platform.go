package carawaybeam

import (
	"context"
	"time"
)

// VMState is the state of a VM in the platform's list.
type VMState string

const (
	// VMLive means that the VM is running.
	VMLive VMState = "live"
	// VMLeaving means that the VM is about to stop.
	VMLeaving VMState = "leaving"
)

const (
	// RoleEntry is the role of VMs that run an entry.
	RoleEntry = "entry"
	// RoleAgent is the role of VMs that run an agent next to a backend server.
	RoleAgent = "agent"
)

type (
	// VM is one row of the platform's list of VMs. The list may be out of date.
	VM struct {
		ID         VMID       `json:"id"`
		State      VMState    `json:"state"`
		DataCentre DataCentre `json:"dataCentre"`
		// Role is RoleEntry or RoleAgent.
		Role string `json:"role"`
		// Address is where the entry or agent listens for links.
		Address Address `json:"address"`
		// Pool is the pool of the agent's backend server.
		Pool PoolID `json:"pool,omitempty"`
	}

	// Lister reads the platform's list of live and leaving VMs. The list may be
	// out of date.
	Lister interface {
		// List returns all VMs of the list.
		List(ctx context.Context) ([]VM, error)
	}

	// ListerOptions configures a Lister plug-in.
	ListerOptions struct {
		// URL is the base address of the list.
		URL string
		// Timeout is the timeout of one call.
		Timeout time.Duration
	}

	// WeightStore provides the weights of experts. The store limits the rate of
	// calls.
	WeightStore interface {
		// Fetch downloads the weights of one expert of one layer and returns
		// their size.
		Fetch(ctx context.Context, model string, layer int, expert Expert) (Bytes, error)
	}

	// WeightStoreOptions configures a WeightStore plug-in.
	WeightStoreOptions struct {
		// URL is the base address of the weight store.
		URL string
		// Timeout is the timeout of one call.
		Timeout time.Duration
	}
)
