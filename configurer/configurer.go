// Package configurer holds the configuration in force in a process: the classes
// of work and the organisations, at a version that never decreases.
//
// A Configurer is complete up to some version of the platform's store, which means
// that it holds every change up to that version. The configuration version is the
// version of the newest configuration change in this complete part. Newer objects,
// such as one just written by an operator, are in force too but do not advance the
// configuration version.
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
	// catchUpTimeout is how long a new process waits to reach the newest version
	// advertised by a peer before it serves with the configuration it has.
	catchUpTimeout = 3 * time.Second

	// pullInterval is the minimum time between two pulls. A delta that changes
	// the configuration allows the next pull at once.
	pullInterval = 250 * time.Millisecond
)

type (
	// Configurer holds the configuration. It is safe for concurrent use.
	Configurer struct {
		mu            sync.RWMutex
		objects       map[objectKey]heldObject
		classes       map[carawaybeam.ClassID]carawaybeam.Class
		organisations map[carawaybeam.OrganisationID]carawaybeam.Organisation
		// tokens maps the hash of a token to the organisations that have it.
		tokens map[string][]carawaybeam.OrganisationID
		// invalid contains the objects held that could not be decoded.
		invalid map[objectKey]*InvalidObjectError

		version carawaybeam.ConfigVersion
		// complete is the store version up to which all changes are held.
		complete carawaybeam.ConfigVersion
		// tombstonesSince is the version since which all deletions are held as
		// tombstones. Earlier deletions may be unknown.
		tombstonesSince carawaybeam.ConfigVersion
		// advertised is the newest version that a peer claims to hold.
		advertised carawaybeam.ConfigVersion
		// newest is the version of the newest object held, and ahead is a hash
		// of the versions of the objects that are newer than version.
		newest carawaybeam.ConfigVersion
		ahead  uint64
		// sequence is the number of objects accepted so far.
		sequence uint64
		// freshAt is when the configuration was last known to match the store.
		freshAt time.Time
		// loadedAt is when the configuration was first complete up to some
		// version.
		loadedAt time.Time
		// pulledAt is when the last pull began. It is reset by a delta that
		// changes the configuration.
		pulledAt time.Time

		changed chan struct{}
		behind  chan struct{}
	}

	objectKey struct {
		kind carawaybeam.StoreKind
		name string
	}

	// heldObject is an object and its position in the order of arrival.
	heldObject struct {
		carawaybeam.Object
		sequence uint64
	}
)

// Kinds are the kinds of objects that make up the configuration.
var Kinds = []carawaybeam.StoreKind{
	carawaybeam.KindClass,
	carawaybeam.KindOrganisation,
	carawaybeam.KindGroup,
	carawaybeam.KindSettings,
}

// New returns an empty Configurer.
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

// Version returns the configuration version. All changes up to it are held.
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

// Ready reports whether requests may be served: the configuration has been loaded,
// and the process has either caught up with its peers or waited for
// catchUpTimeout.
func (c *Configurer) Ready() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.complete == 0 {
		return false
	}
	return c.version >= c.advertised || time.Since(c.loadedAt) > catchUpTimeout
}

// Observe records a version advertised by a peer. If it is newer than the own
// version, Observe adopts it or signals Behind.
func (c *Configurer) Observe(version carawaybeam.ConfigVersion) {
	c.mu.RLock()
	known := version <= c.version
	c.mu.RUnlock()
	if known {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advertised = max(c.advertised, version)
	c.adoptAdvertised()
	if c.advertised <= c.version {
		return
	}
	select {
	case c.behind <- struct{}{}:
	default:
	}
}

// adoptAdvertised sets the version to the advertised one if all changes up to it
// are held. The caller holds mu.
func (c *Configurer) adoptAdvertised() {
	if c.advertised > c.version && c.advertised <= c.complete {
		c.version = c.advertised
		c.updateState()
		c.notifyChanged()
	}
}

// notifyChanged notifies the goroutines that wait on Changed. The caller holds mu.
func (c *Configurer) notifyChanged() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Behind returns a channel that receives a value when changes are missing: a peer
// advertises a newer version, or MergeWritten was called.
func (c *Configurer) Behind() <-chan struct{} { return c.behind }

// IsBehind reports whether a peer has advertised a newer version.
func (c *Configurer) IsBehind() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.advertised > c.version
}

// IsMissingChanges reports whether changes may be missing between the version and
// the newest one that this process or a peer holds.
func (c *Configurer) IsMissingChanges() bool { return c.IsBehind() || c.State().GetAhead() != 0 }

// Changed returns a channel that is closed when the version or the objects change
// next.
func (c *Configurer) Changed() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.changed
}

// AwaitNewer waits until the version is above the given one. It returns false if
// ctx ends first.
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

// MarkFresh records that the configuration matched the store at the given time.
func (c *Configurer) MarkFresh(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.freshAt) {
		c.freshAt = at
	}
}

// FreshAt returns when the configuration was last known to match the store, or
// the zero time.
func (c *Configurer) FreshAt() time.Time {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.freshAt
}

// TryPull reports whether a pull from a peer may begin now, and if so records its
// start. One pull at a time is enough, since every peer that is ahead has the
// missing changes.
func (c *Configurer) TryPull() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.pulledAt) < pullInterval {
		return false
	}
	c.pulledAt = time.Now()
	return true
}

// Class returns a class of work. It returns false if there is none with this ID.
func (c *Configurer) Class(id carawaybeam.ClassID) (carawaybeam.Class, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	class, ok := c.classes[id]
	return class, ok
}

// Classes returns all classes of work, sorted by ID.
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

// Organisation returns an organisation. It returns false if there is none with
// this ID.
func (c *Configurer) Organisation(id carawaybeam.OrganisationID) (carawaybeam.Organisation, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	org, ok := c.organisations[id]
	return org, ok
}

// Organisations returns all organisations, sorted by ID.
func (c *Configurer) Organisations() []carawaybeam.Organisation {
	c.mu.RLock()
	defer c.mu.RUnlock()
	organisations := make([]carawaybeam.Organisation, 0, len(c.organisations))
	for _, org := range c.organisations {
		organisations = append(organisations, org)
	}
	slices.SortFunc(
		organisations,
		func(a, b carawaybeam.Organisation) int { return compare(a.ID, b.ID) },
	)
	return organisations
}

// Object returns an object as it was read, which may be a tombstone. It returns
// false if no object with this name is held.
func (c *Configurer) Object(kind carawaybeam.StoreKind, name string) (carawaybeam.Object, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	held, ok := c.objects[objectKey{kind: kind, name: name}]
	return held.Object, ok
}

// Objects returns the objects of a kind that are not deleted, sorted by name.
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

// Invalid returns an error for each object held that could not be decoded. The
// last valid version of such an object remains in force.
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

// Authenticate returns the organisation that has the bearer token. If several have
// it, the first by ID is returned.
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
