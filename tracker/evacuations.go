package tracker

import (
	"maps"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
)

// ReviewEvacuations links to other agents and tells all linked ones if the evacuated data
// centres have changed since the last call. It is called from time to time.
func (t *Tracker) ReviewEvacuations() {
	if t.options.Evacuations == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	evacuated := make(map[carawaybeam.DataCentre]struct{})
	for _, m := range t.members {
		if dataCentre := m.snapshot().VM.DataCentre; t.isEvacuated(dataCentre) {
			evacuated[dataCentre] = struct{}{}
		}
	}
	if t.ctx.Err() != nil || maps.Equal(evacuated, t.evacuated) {
		return
	}
	t.evacuated = evacuated
	t.chooseLinks()
	close(t.evacuationsChanged)
	t.evacuationsChanged = make(chan struct{})
}

func (t *Tracker) isEvacuated(dataCentre carawaybeam.DataCentre) bool {
	return t.options.Evacuations != nil && t.options.Evacuations.Evacuated(dataCentre)
}

// nextEvacuations returns a channel that is closed when the evacuated data centres change.
func (t *Tracker) nextEvacuations() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evacuationsChanged
}

// evacuation returns what the agent is told of its data centre, or nil if that is unknown.
func (m *member) evacuation() *framer.Evacuation {
	evacuations := m.tracker.options.Evacuations
	if evacuations == nil || !evacuations.Loaded() {
		return nil
	}
	// The version is read first: the evacuations may be newer than stated, never older.
	version := evacuations.Version()
	return &framer.Evacuation{
		Version:   uint64(version),
		Evacuated: evacuations.Evacuated(m.snapshot().VM.DataCentre),
	}
}
