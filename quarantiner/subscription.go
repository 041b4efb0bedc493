package quarantiner

import "github.com/carawaybeam/carawaybeam/framer"

// Subscription returns the changes of suspects that have to be sent to one peer, each
// change once. It is not safe for concurrent use.
type Subscription struct {
	quarantiner *Quarantiner
	sequence    uint64
	changed     <-chan struct{}
}

// NewSubscription returns a Subscription whose first frame contains all suspects.
func NewSubscription(q *Quarantiner) *Subscription { return &Subscription{quarantiner: q} }

// Next returns a frame with the suspects that changed since the last call, or nil if
// there are none.
func (s *Subscription) Next() *framer.Frame {
	var suspects []*framer.Suspect
	suspects, s.sequence, s.changed = s.quarantiner.ChangedSince(s.sequence)
	if len(suspects) == 0 {
		return nil
	}
	return &framer.Frame{Body: &framer.Frame_Suspects{Suspects: &framer.Suspects{Suspects: suspects}}}
}

// Changed returns a channel that is closed when a suspect changes after the last call
// of Next.
func (s *Subscription) Changed() <-chan struct{} { return s.changed }
