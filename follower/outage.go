package follower

import "sync"

// Outage tells the followers of a process that the store is available again. It is safe for
// concurrent use.
type Outage struct {
	mu   sync.Mutex
	done chan struct{}
}

// NewOutage returns an Outage for the followers of a process.
func NewOutage() *Outage { return &Outage{done: make(chan struct{})} }

// ended returns a channel that is closed when a call next succeeds after a failed one.
func (o *Outage) ended() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.done
}

// end tells the followers that wait that a call has succeeded.
func (o *Outage) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	close(o.done)
	o.done = make(chan struct{})
}
