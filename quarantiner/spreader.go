package quarantiner

import "github.com/carawaybeam/carawaybeam/framer"

// Subscription tells one peer of the suspects, each change once. It is used by one
// goroutine.
type Subscription struct {
	quarantiner *Quarantiner
	sequence    uint64
	changed     <-chan struct{}
}

// NewSubscription returns a Spreader that begins with all suspects.
func NewSubscription(q *Quarantiner) *Subscription { return &Subscription{quarantiner: q} }

// Next returns a frame with what has changed since the last one, or nil.
func (s *Subscription) Next() *framer.Frame {
	var suspects []*framer.Suspect
	suspects, s.sequence, s.changed = s.quarantiner.Since(s.sequence)
	if len(suspects) == 0 {
		return nil
	}
	return &framer.Frame{Body: &framer.Frame_Suspects{Suspects: &framer.Suspects{Suspects: suspects}}}
}

// Changed is closed when there is more to tell than Next returned last.
func (s *Subscription) Changed() <-chan struct{} { return s.changed }
