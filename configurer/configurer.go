// Package configurer holds the configuration in force in a process: the classes
// of work and the organisations, at one version that never goes back.
//
// A Configurer is complete up to some version of the platform's store: it holds
// every change up to there. The configuration version is that of the newest
// change within this part. Objects beyond it, such as one just written by an
// operator, are in force too but do not move the version.
package configurer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// settleTime is how long a new process waits to catch up with the newest
	// version it has heard of before it serves with what it holds.
	settleTime = 3 * time.Second

	// pullInterval is the pause between two pulls while no answer has come.
	pullInterval = 250 * time.Millisecond
)

type (
	// Configurer holds the configuration. Its methods may be used by several
	// goroutines at once.
	Configurer struct {
		mu            sync.RWMutex
		objects       map[objectKey]heldObject
		classes       map[carawaybeam.ClassID]carawaybeam.Class
		organisations map[carawaybeam.OrganisationID]carawaybeam.Organisation
		// tokens lists the organisations that have the token of a hash.
		tokens  map[string][]carawaybeam.OrganisationID
		invalid map[objectKey]*InvalidObjectError

		version carawaybeam.ConfigVersion
		// complete is the store version up to which all changes are held.
		complete carawaybeam.ConfigVersion
		// floor is the version behind which all deletions are held too.
		floor carawaybeam.ConfigVersion
		// wanted is the newest version that a peer claims to hold.
		wanted carawaybeam.ConfigVersion
		// newest is the version of the newest object held, and ahead the hash of
		// the objects beyond version.
		newest carawaybeam.ConfigVersion
		ahead  uint64
		// sequence counts the objects put in force.
		sequence uint64
		// fresh is when the configuration was last known to be the store's.
		fresh  time.Time
		taken  time.Time
		pulled time.Time

		changed chan struct{}
		behind  chan struct{}
	}

	objectKey struct {
		kind carawaybeam.StoreKind
		name string
	}

	// heldObject is an object and its place in the order of arrival.
	heldObject struct {
		carawaybeam.Object
		sequence uint64
	}
)

// Kinds lists the kinds of objects that make up the configuration.
var Kinds = []carawaybeam.StoreKind{
	carawaybeam.KindClass,
	carawaybeam.KindOrganisation,
	carawaybeam.KindGroup,
	carawaybeam.KindSettings,
}

// New returns a Configurer that holds nothing yet.
func New() *Configurer {
	return &Configurer{
		objects:       make(map[objectKey]heldObject),
		classes:       make(map[carawaybeam.ClassID]carawaybeam.Class),
		organisations: make(map[carawaybeam.OrganisationID]carawaybeam.Organisation),
		tokens:        make(map[string][]carawaybeam.OrganisationID),
		invalid:       make(map[objectKey]*InvalidObjectError),
		changed:       make(chan struct{}),
		behind:        make(chan struct{}, 1),
	}
}

// Version returns the version in force. All changes up to it are held.
func (c *Configurer) Version() carawaybeam.ConfigVersion {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.version
}

// Complete returns the store version up to which all changes are held.
func (c *Configurer) Complete() carawaybeam.ConfigVersion {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.complete
}

// Ready tells whether requests may be served: a configuration has been taken,
// and the process has caught up with what its peers hold or waited long enough.
func (c *Configurer) Ready() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.complete == 0 {
		return false
	}
	return c.version >= c.wanted || time.Since(c.taken) > settleTime
}

// Observe takes a version that a peer holds, and signals Behind if it is newer.
func (c *Configurer) Observe(version carawaybeam.ConfigVersion) {
	c.mu.RLock()
	known := version <= c.version
	c.mu.RUnlock()
	if known {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wanted = max(c.wanted, version)
	c.adopt()
	if c.wanted <= c.version {
		return
	}
	select {
	case c.behind <- struct{}{}:
	default:
	}
}

// adopt claims the wanted version if all changes up to it are held. The caller
// holds mu.
func (c *Configurer) adopt() {
	if c.wanted > c.version && c.wanted <= c.complete {
		c.version = c.wanted
		c.survey()
		c.signal()
	}
}

// signal wakes those that wait for a change. The caller holds mu.
func (c *Configurer) signal() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Behind receives a value when a peer holds a newer configuration.
func (c *Configurer) Behind() <-chan struct{} { return c.behind }

// IsBehind tells whether a peer holds a newer configuration.
func (c *Configurer) IsBehind() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.wanted > c.version
}

// IsMissingChanges tells whether changes are missing between the version and what this
// process or a peer holds.
func (c *Configurer) IsMissingChanges() bool { return c.IsBehind() || c.State().GetAhead() != 0 }

// Changed returns a channel that is closed with the next change of version or
// objects.
func (c *Configurer) Changed() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.changed
}

// AwaitNewer waits until the version is above the given one. It reports false
// when ctx ends first.
func (c *Configurer) AwaitNewer(ctx context.Context, version carawaybeam.ConfigVersion) bool {
	for {
		c.mu.RLock()
		newer := c.version > version
		changed := c.changed
		c.mu.RUnlock()
		if newer {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// MarkFresh notes that the configuration was that of the store at the time.
func (c *Configurer) MarkFresh(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.fresh) {
		c.fresh = at
	}
}

// FreshAt returns when the configuration was last known to be that of the store,
// or the zero time.
func (c *Configurer) FreshAt() time.Time {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.fresh
}

// TryPull tells whether a pull from a peer may begin now. One at a time is
// enough, since each peer that is ahead has what is missing.
func (c *Configurer) TryPull() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.pulled) < pullInterval {
		return false
	}
	c.pulled = time.Now()
	return true
}

// Class returns one class of work.
func (c *Configurer) Class(id carawaybeam.ClassID) (carawaybeam.Class, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	class, ok := c.classes[id]
	return class, ok
}

// Classes returns all classes of work in the order of their names.
func (c *Configurer) Classes() []carawaybeam.Class {
	c.mu.RLock()
	defer c.mu.RUnlock()
	classes := make([]carawaybeam.Class, 0, len(c.classes))
	for _, class := range c.classes {
		classes = append(classes, class)
	}
	slices.SortFunc(classes, func(a, b carawaybeam.Class) int { return compare(a.ID, b.ID) })
	return classes
}

// Organisation returns one organisation.
func (c *Configurer) Organisation(id carawaybeam.OrganisationID) (carawaybeam.Organisation, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	org, ok := c.organisations[id]
	return org, ok
}

// Object returns one object as it was read, which may be a deletion.
func (c *Configurer) Object(kind carawaybeam.StoreKind, name string) (carawaybeam.Object, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	held, ok := c.objects[objectKey{kind: kind, name: name}]
	return held.Object, ok
}

// Objects returns the objects of a kind that exist, in the order of their names.
func (c *Configurer) Objects(kind carawaybeam.StoreKind) []carawaybeam.Object {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var objects []carawaybeam.Object
	for key, held := range c.objects {
		if key.kind == kind && !isDeleted(held.Object) {
			objects = append(objects, held.Object)
		}
	}
	slices.SortFunc(objects, func(a, b carawaybeam.Object) int { return compare(a.Name, b.Name) })
	return objects
}

// Invalid returns the objects held that could not be understood. The last
// version of each that was understood stays in force.
func (c *Configurer) Invalid() []*InvalidObjectError {
	c.mu.RLock()
	defer c.mu.RUnlock()
	invalid := make([]*InvalidObjectError, 0, len(c.invalid))
	for _, err := range c.invalid {
		invalid = append(invalid, err)
	}
	slices.SortFunc(invalid, func(a, b *InvalidObjectError) int {
		return compare(string(a.Kind)+"/"+a.Name, string(b.Kind)+"/"+b.Name)
	})
	return invalid
}

// Authenticate returns the organisation that has the bearer token. Where several
// have it, it is the first by name.
func (c *Configurer) Authenticate(token string) (carawaybeam.Organisation, bool) {
	hash := HashToken(token)
	c.mu.RLock()
	defer c.mu.RUnlock()
	holders := c.tokens[hash]
	if len(holders) == 0 {
		return carawaybeam.Organisation{}, false
	}
	org := c.organisations[slices.Min(holders)]
	if subtle.ConstantTimeCompare([]byte(org.TokenHash), []byte(hash)) != 1 {
		return carawaybeam.Organisation{}, false
	}
	return org, true
}

// HashToken returns the hexadecimal SHA-256 of a token.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func compare[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
