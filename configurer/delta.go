package configurer

import (
	"fmt"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
)

// Delta is a set of configuration changes, read from the store or received from a
// peer.
type Delta struct {
	// Since is the version after which the delta contains all changes. A
	// process that is not complete up to Since accepts the objects but does not
	// become complete up to Complete.
	Since carawaybeam.ConfigVersion
	// Version is the configuration version of the sender.
	Version carawaybeam.ConfigVersion
	// Complete is the store version up to which the delta contains all changes.
	Complete carawaybeam.ConfigVersion
	// Full is set if Objects contains all objects that exist at Complete, so
	// that objects held but absent from it have been deleted.
	Full bool
	// Objects are the changed objects. They may include objects that are newer
	// than Complete.
	Objects []carawaybeam.Object
}

// Merge merges a delta. Each object comes into force unless a newer version of it
// is held. An object that cannot be decoded is held, but the last valid version
// remains in force. Merge returns an error for each such object in the delta, and for
// each change that an older copy of the store lacks and that stays in force.
func (c *Configurer) Merge(delta Delta) []*InvalidObjectError {
	c.mu.Lock()
	defer c.mu.Unlock()
	var invalid []*InvalidObjectError
	before, version := c.sequence, c.version
	for _, object := range delta.Objects {
		if err := c.mergeObject(object); err != nil {
			invalid = append(invalid, err)
		}
	}
	if delta.Full && delta.Complete > c.complete {
		invalid = append(invalid, c.dropAbsent(delta)...)
		c.tombstonesSince = delta.Complete
	}
	if delta.Full || delta.Since <= c.complete {
		c.complete = max(c.complete, delta.Complete)
	}
	c.advanceVersion(delta.Version)
	if c.sequence != before || c.version != version {
		c.updateState()
	}
	if c.loadedAt.IsZero() && c.complete > 0 {
		c.loadedAt = time.Now()
	}
	if c.sequence != before || c.version != version {
		c.pulledAt = time.Time{}
		c.notifyChanged()
	}
	return invalid
}

// MergeWritten puts in force an object that this process has just written to the
// store. Changes before it may be missing, so Behind is signalled to have them
// read.
func (c *Configurer) MergeWritten(object carawaybeam.Object) {
	c.Merge(Delta{Since: carawaybeam.ConfigVersion(object.Version), Objects: []carawaybeam.Object{object}})
	select {
	case c.behind <- struct{}{}:
	default:
	}
}

// advanceVersion sets the version to that of the newest change within the complete
// part. The given version is that of the sender of a delta. The caller holds mu.
func (c *Configurer) advanceVersion(version carawaybeam.ConfigVersion) {
	for _, held := range c.objects {
		if v := carawaybeam.ConfigVersion(held.Version); v <= c.complete {
			c.version = max(c.version, v)
		}
	}
	if version <= c.complete {
		c.version = max(c.version, version)
	}
	if c.advertised <= c.complete {
		c.version = max(c.version, c.advertised)
	}
}

// dropAbsent deletes the held objects that are absent from a full delta. The exact
// version of such a deletion is unknown; the version of the delta, which is the
// same or later, is used instead. An object that an operator has changed is not
// deleted if an older copy of the store lacks it, since operators leave a record of
// the deletions as well. dropAbsent returns an error for each such object. The caller
// holds mu.
func (c *Configurer) dropAbsent(delta Delta) []*InvalidObjectError {
	var lost []*InvalidObjectError
	listed := make(map[objectKey]bool, len(delta.Objects))
	for _, object := range delta.Objects {
		listed[objectKey{kind: object.Kind, name: object.Name}] = true
	}
	for key, held := range c.objects {
		absent := !listed[key] && !held.Deleted
		if !absent || carawaybeam.ConfigVersion(held.Version) > delta.Complete {
			continue
		}
		era := carawaybeam.StoreVersion(delta.Complete).Era()
		if held.Version.Era() < era && Record(held.Object).ID != "" {
			lost = append(lost, newLostChange(held.Object))
			continue
		}
		deletion := carawaybeam.Object{
			Kind:    key.kind,
			Name:    key.name,
			Version: carawaybeam.StoreVersion(delta.Complete),
			Deleted: true,
		}
		c.hold(key, deletion)
		c.remove(key)
	}
	return lost
}

// isSupersededBy reports whether an object that was read in a later era is from an
// older copy of the store, which lacks the change that made the held one.
func isSupersededBy(object, held carawaybeam.Object) bool {
	if object.Version.Era() <= held.Version.Era() {
		return false
	}
	record, newer := Record(object), Record(held)
	return record.ID != newer.ID && newer.ID != "" && (record.ID == "" || newer.Includes(record.ID))
}

// newLostChange returns the error for an object whose last change an older copy of the
// store lacks.
func newLostChange(held carawaybeam.Object) *InvalidObjectError {
	record := Record(held)
	return &InvalidObjectError{
		Kind: held.Kind, Name: held.Name, Version: held.Version,
		Cause: fmt.Errorf("store came back without change %s by %s, which stays in force here until the next one",
			record.ID, record.By),
	}
}

// Delta returns the changes that a peer needs which is complete up to since. The
// delta is full if deletions after since may be unknown here.
func (c *Configurer) Delta(since carawaybeam.ConfigVersion) Delta {
	c.mu.RLock()
	defer c.mu.RUnlock()
	delta := Delta{Since: since, Version: c.version, Complete: c.complete}
	if since < c.tombstonesSince {
		delta.Since = 0
		delta.Full = true
	}
	for _, held := range c.objects {
		if carawaybeam.ConfigVersion(held.Version) > delta.Since {
			delta.Objects = append(delta.Objects, held.Object)
		}
	}
	slices.SortFunc(delta.Objects, func(a, b carawaybeam.Object) int {
		return int(int64(a.Version) - int64(b.Version))
	})
	return delta
}

// Sequence returns the number of objects accepted so far.
func (c *Configurer) Sequence() uint64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.sequence
}

// HasNewer reports whether an object newer than the version was accepted after the
// given sequence number.
func (c *Configurer) HasNewer(sequence uint64, version carawaybeam.ConfigVersion) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if sequence == c.sequence {
		return false
	}
	for _, held := range c.objects {
		if held.sequence > sequence && carawaybeam.ConfigVersion(held.Version) > version {
			return true
		}
	}
	return false
}

// State returns the state of the configuration that is sent on control streams.
func (c *Configurer) State() *framer.ConfigState {
	c.mu.RLock()
	defer c.mu.RUnlock()
	state := &framer.ConfigState{Newest: uint64(c.newest), Ahead: c.ahead}
	if !c.freshAt.IsZero() {
		state.AgeMs = uint64(max(1, time.Since(c.freshAt).Milliseconds()))
	}
	return state
}

// updateState recomputes newest and ahead. The caller holds mu.
func (c *Configurer) updateState() {
	c.newest, c.ahead = 0, 0
	for _, held := range c.objects {
		version := carawaybeam.ConfigVersion(held.Version)
		c.newest = max(c.newest, version)
		if version > c.version {
			c.ahead ^= mix(uint64(version))
		}
	}
}

// mix hashes a version with the finaliser of SplitMix64.
func mix(v uint64) uint64 {
	v += 0x9e3779b97f4a7c15
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}

// Message returns the protobuf message for the delta.
func (d Delta) Message() *framer.ConfigDelta {
	message := &framer.ConfigDelta{
		Version:  uint64(d.Version),
		Full:     d.Full,
		Since:    uint64(d.Since),
		Complete: uint64(d.Complete),
		Objects:  make([]*framer.ConfigObject, 0, len(d.Objects)),
	}
	for _, object := range d.Objects {
		message.Objects = append(message.Objects, &framer.ConfigObject{
			Kind:    string(object.Kind),
			Name:    object.Name,
			Version: uint64(object.Version),
			Value:   object.Value,
			Deleted: object.Deleted,
		})
	}
	return message
}

// DeltaOf returns the delta in a protobuf message.
func DeltaOf(message *framer.ConfigDelta) Delta {
	delta := Delta{
		Since:    carawaybeam.ConfigVersion(message.GetSince()),
		Version:  carawaybeam.ConfigVersion(message.GetVersion()),
		Complete: carawaybeam.ConfigVersion(message.GetComplete()),
		Full:     message.GetFull(),
		Objects:  make([]carawaybeam.Object, 0, len(message.GetObjects())),
	}
	for _, object := range message.GetObjects() {
		delta.Objects = append(delta.Objects, carawaybeam.Object{
			Kind:    carawaybeam.StoreKind(object.GetKind()),
			Name:    object.GetName(),
			Version: carawaybeam.StoreVersion(object.GetVersion()),
			Value:   object.GetValue(),
			Deleted: object.GetDeleted(),
		})
	}
	return delta
}

// mergeObject merges one object of a delta. The caller holds mu.
func (c *Configurer) mergeObject(object carawaybeam.Object) *InvalidObjectError {
	key := objectKey{kind: object.Kind, name: object.Name}
	held, ok := c.objects[key]
	if ok && held.Version >= object.Version {
		return nil
	}
	if ok && isSupersededBy(object, held.Object) {
		return newLostChange(held.Object)
	}
	c.hold(key, object)
	if isDeleted(object) {
		c.remove(key)
		return nil
	}
	err := c.apply(key, object)
	if err == nil {
		delete(c.invalid, key)
		return nil
	}
	invalid := &InvalidObjectError{Kind: object.Kind, Name: object.Name, Version: object.Version, Cause: err}
	c.invalid[key] = invalid
	return invalid
}

func (c *Configurer) hold(key objectKey, object carawaybeam.Object) {
	c.sequence++
	c.objects[key] = heldObject{Object: object, sequence: c.sequence}
}

// remove removes a deleted object from the configuration in force.
func (c *Configurer) remove(key objectKey) {
	delete(c.invalid, key)
	switch key.kind {
	case carawaybeam.KindClass:
		delete(c.classes, carawaybeam.ClassID(key.name))
	case carawaybeam.KindOrganisation:
		c.removeOrganisation(carawaybeam.OrganisationID(key.name))
	}
}

func (c *Configurer) removeOrganisation(id carawaybeam.OrganisationID) {
	old, ok := c.organisations[id]
	if !ok {
		return
	}
	delete(c.organisations, id)
	holders := slices.DeleteFunc(c.tokens[old.TokenHash], func(o carawaybeam.OrganisationID) bool { return o == id })
	c.tokens[old.TokenHash] = holders
	if len(holders) == 0 {
		delete(c.tokens, old.TokenHash)
	}
}

// apply decodes an object and puts it in force.
func (c *Configurer) apply(key objectKey, object carawaybeam.Object) error {
	switch key.kind {
	case carawaybeam.KindClass:
		class, err := DecodeClass(carawaybeam.ClassID(key.name), object.Value)
		if err != nil {
			return err
		}
		c.classes[class.ID] = class
	case carawaybeam.KindOrganisation:
		org, err := DecodeOrganisation(carawaybeam.OrganisationID(key.name), object.Value)
		if err != nil {
			return err
		}
		c.removeOrganisation(org.ID)
		c.organisations[org.ID] = org
		c.tokens[org.TokenHash] = append(c.tokens[org.TokenHash], org.ID)
	}
	return nil
}
