package configurer

import (
	"github.com/carawaybeam/carawaybeam"
)

// ClassState is a class in force, for the state dump of a process.
type ClassState struct {
	Class carawaybeam.ClassID `json:"class"`
	// Version is the version of the object held. If that object is invalid, an
	// older version of the class is in force.
	Version carawaybeam.StoreVersion `json:"version"`
	// CompletedMs is the target for the whole answer in milliseconds.
	CompletedMs int64 `json:"completedMs"`
}

// ClassStates returns the state of each class in force, sorted by ID.
func (c *Configurer) ClassStates() []ClassState {
	classes := c.Classes()
	states := make([]ClassState, 0, len(classes))
	for _, class := range classes {
		object, _ := c.Object(carawaybeam.KindClass, string(class.ID))
		states = append(states, ClassState{
			Class:       class.ID,
			Version:     object.Version,
			CompletedMs: class.Targets.Completed.Milliseconds(),
		})
	}
	return states
}
