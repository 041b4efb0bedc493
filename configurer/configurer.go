// Package configurer holds the configuration in force in a process: the classes
// of work and the organisations, at one version that never goes back.
package configurer

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"sync"

	"github.com/carawaybeam/carawaybeam"
)

type (
	// Configurer holds the configuration. Its methods may be used by several
	// goroutines at once.
	Configurer struct {
		mu            sync.RWMutex
		version       carawaybeam.ConfigVersion
		loaded        bool
		objects       map[objectKey]carawaybeam.Object
		classes       map[carawaybeam.ClassID]carawaybeam.Class
		organisations map[string]carawaybeam.Organisation
		wanted        carawaybeam.ConfigVersion
		behind        chan struct{}
	}

	objectKey struct {
		kind carawaybeam.StoreKind
		name string
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
		objects:       make(map[objectKey]carawaybeam.Object),
		classes:       make(map[carawaybeam.ClassID]carawaybeam.Class),
		organisations: make(map[string]carawaybeam.Organisation),
		behind:        make(chan struct{}, 1),
	}
}

// Version returns the version in force.
func (c *Configurer) Version() carawaybeam.ConfigVersion {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.version
}

// Loaded tells whether any configuration has been taken.
func (c *Configurer) Loaded() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.loaded
}

// Observe takes a version that a peer holds, and signals Behind if it is newer.
func (c *Configurer) Observe(version carawaybeam.ConfigVersion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= c.version || version <= c.wanted {
		return
	}
	c.wanted = version
	select {
	case c.behind <- struct{}{}:
	default:
	}
}

// Behind receives a value when a peer holds a newer configuration.
func (c *Configurer) Behind() <-chan struct{} { return c.behind }

// Class returns one class of work.
func (c *Configurer) Class(id carawaybeam.ClassID) (carawaybeam.Class, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	class, ok := c.classes[id]
	return class, ok
}

// Authenticate returns the organisation that has the bearer token.
func (c *Configurer) Authenticate(token string) (carawaybeam.Organisation, bool) {
	sum := sha256.Sum256([]byte(token))
	hash := hex.EncodeToString(sum[:])
	c.mu.RLock()
	defer c.mu.RUnlock()
	org, ok := c.organisations[hash]
	if !ok || subtle.ConstantTimeCompare([]byte(org.TokenHash), []byte(hash)) != 1 {
		return carawaybeam.Organisation{}, false
	}
	return org, true
}

// Take merges objects read from the store or a peer, each of which goes in force
// unless a newer one is held. The version is that up to which they are complete.
// It returns the objects that could not be understood, which change nothing.
func (c *Configurer) Take(objects []carawaybeam.Object, version carawaybeam.ConfigVersion) []*InvalidObjectError {
	c.mu.Lock()
	defer c.mu.Unlock()
	var invalid []*InvalidObjectError
	for _, object := range objects {
		if err := c.takeOne(object); err != nil {
			invalid = append(invalid, err)
		}
	}
	c.version = max(c.version, version)
	c.loaded = true
	return invalid
}

func (c *Configurer) takeOne(object carawaybeam.Object) *InvalidObjectError {
	key := objectKey{kind: object.Kind, name: object.Name}
	held, ok := c.objects[key]
	if ok && held.Version >= object.Version {
		return nil
	}
	if err := c.apply(object, held); err != nil {
		return &InvalidObjectError{Kind: object.Kind, Name: object.Name, Cause: err}
	}
	c.objects[key] = object
	return nil
}

// apply puts one object in force in place of the held one.
func (c *Configurer) apply(object, held carawaybeam.Object) error {
	switch object.Kind {
	case carawaybeam.KindClass:
		return c.applyClass(object)
	case carawaybeam.KindOrganisation:
		return c.applyOrganisation(object, held)
	}
	return nil
}

func (c *Configurer) applyClass(object carawaybeam.Object) error {
	id := carawaybeam.ClassID(object.Name)
	if object.Deleted {
		delete(c.classes, id)
		return nil
	}
	class, err := DecodeClass(id, object.Value)
	if err != nil {
		return err
	}
	c.classes[id] = class
	return nil
}

func (c *Configurer) applyOrganisation(object, held carawaybeam.Object) error {
	var org carawaybeam.Organisation
	if !object.Deleted {
		var err error
		if org, err = DecodeOrganisation(carawaybeam.OrganisationID(object.Name), object.Value); err != nil {
			return err
		}
	}
	if old, err := DecodeOrganisation(carawaybeam.OrganisationID(object.Name), held.Value); err == nil {
		delete(c.organisations, old.TokenHash)
	}
	if !object.Deleted {
		c.organisations[org.TokenHash] = org
	}
	return nil
}
