package dispatcher

import "github.com/carawaybeam/carawaybeam"

// PolicyState is the state dump of the policies.
type PolicyState struct {
	Router  any `json:"router,omitempty"`
	Limiter any `json:"limiter,omitempty"`
	Retrier any `json:"retrier,omitempty"`
	// PrefixHeads is the number of prompt prefixes in the prefix table.
	PrefixHeads int `json:"prefixHeads"`
}

// PolicyState returns the state dump of the policies.
func (d *Dispatcher) PolicyState() PolicyState {
	return PolicyState{
		Router:      dump(d.options.Router),
		Limiter:     dump(d.options.Limiter),
		Retrier:     dump(d.options.Retrier),
		PrefixHeads: d.prefixes.Len(),
	}
}

// dump returns the state of a policy that implements StateDumper, or nil.
func dump(policy any) any {
	dumper, ok := policy.(carawaybeam.StateDumper)
	if !ok {
		return nil
	}
	return dumper.State()
}
