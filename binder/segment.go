package binder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

type (
	// record is a binding with its creation time at, in Unix seconds.
	record struct {
		Binding

		at int64
	}

	// document is the stored form of the head or of a sealed segment of a shard.
	document struct {
		// Segments lists the sealed segments of a head, the oldest first. Each is
		// named after the version of the head whose bindings it contains, so that
		// all entries that seal this head write the same segment.
		Segments []carawaybeam.StoreVersion `json:"segments,omitempty"`
		// Agents lists the agents. Rows refer to them by index.
		Agents []agentRow `json:"agents,omitempty"`
		// Rows contains the bindings by key.
		Rows map[carawaybeam.AttemptID]row `json:"rows,omitempty"`
	}

	agentRow struct {
		Backend     carawaybeam.BackendID   `json:"backend"`
		Incarnation carawaybeam.Incarnation `json:"incarnation"`
	}

	row struct {
		Agent    int    `json:"a"`
		BodyHash string `json:"h"`
		At       int64  `json:"t"`
	}
)

var errUnknownAgent = errors.New("binding names an agent that is not listed")

func (r record) expired(now time.Time) bool {
	return now.Sub(time.Unix(r.at, 0)) > carawaybeam.KeyRetention
}

func (d document) clone() document {
	d.Agents = slices.Clone(d.Agents)
	d.Rows = maps.Clone(d.Rows)
	return d
}

// set adds or replaces the binding of a key.
func (d *document) set(key carawaybeam.AttemptID, r record) {
	agent := agentRow{Backend: r.Backend, Incarnation: r.Incarnation}
	position := slices.Index(d.Agents, agent)
	if position < 0 {
		position = len(d.Agents)
		d.Agents = append(d.Agents, agent)
	}
	if d.Rows == nil {
		d.Rows = make(map[carawaybeam.AttemptID]row)
	}
	d.Rows[key] = row{Agent: position, BodyHash: r.BodyHash, At: r.at}
}

func (d document) records() map[carawaybeam.AttemptID]record {
	records := make(map[carawaybeam.AttemptID]record, len(d.Rows))
	for key, r := range d.Rows {
		agent := d.Agents[r.Agent]
		records[key] = record{
			Binding: Binding{Backend: agent.Backend, Incarnation: agent.Incarnation, BodyHash: r.BodyHash},
			at:      r.At,
		}
	}
	return records
}

func (d document) encode() ([]byte, error) { return json.Marshal(d) }

func decodeDocument(value []byte) (document, error) {
	var d document
	if err := json.Unmarshal(value, &d); err != nil {
		return d, err
	}
	for _, r := range d.Rows {
		if r.Agent < 0 || r.Agent >= len(d.Agents) {
			return d, errUnknownAgent
		}
	}
	return d, nil
}

func (s *shard) segmentName(segment carawaybeam.StoreVersion) string {
	return fmt.Sprintf("%s-%012d", s.name, segment)
}

// seal moves the bindings of the head to a new segment. The segment is written
// first and has no effect until the head lists it.
func (s *shard) seal(ctx context.Context) {
	segment := document{Agents: s.head.Agents, Rows: s.head.Rows}
	value, err := segment.encode()
	if err != nil {
		return
	}
	object := carawaybeam.Object{Kind: carawaybeam.KindBinding, Name: s.segmentName(s.version), Value: value}
	if _, err := s.store.Put(ctx, object, 0); err != nil && !isFailure(err, carawaybeam.StoreConflict) {
		return
	}
	next := document{Segments: append(slices.Clone(s.dropOldestSegment(ctx)), s.version)}
	if value, err = next.encode(); err != nil {
		return
	}
	object = carawaybeam.Object{Kind: carawaybeam.KindBinding, Name: s.name, Value: value}
	version, err := s.store.Put(ctx, object, s.version)
	if err != nil {
		s.loaded = false
		s.shared = true
		return
	}
	s.version = version
	s.adopt(next)
}

func isFailure(err error, failure carawaybeam.StoreFailure) bool {
	var failed *carawaybeam.StoreError
	return errors.As(err, &failed) && failed.Failure == failure
}

// readSegment returns a sealed segment and its version. It returns an empty one
// if the segment has been deleted, which happens only after it has expired.
func (s *shard) readSegment(
	ctx context.Context,
	segment carawaybeam.StoreVersion,
) (document, carawaybeam.StoreVersion, error) {
	object, err := s.store.Get(ctx, carawaybeam.KindBinding, s.segmentName(segment))
	if isFailure(err, carawaybeam.StoreNotFound) {
		return document{}, 0, nil
	}
	if err != nil {
		return document{}, 0, err
	}
	d, err := decodeDocument(object.Value)
	return d, object.Version, err
}

// loadSegment adds the bindings of a sealed segment to those known in memory.
func (s *shard) loadSegment(ctx context.Context, segment carawaybeam.StoreVersion) error {
	d, _, err := s.readSegment(ctx, segment)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, r := range d.records() {
		s.bindings[key] = r
	}
	return nil
}

// dropOldestSegment deletes the oldest segment if all its bindings have expired,
// and returns the remaining segments.
func (s *shard) dropOldestSegment(ctx context.Context) []carawaybeam.StoreVersion {
	segments := s.head.Segments
	if len(segments) == 0 {
		return segments
	}
	d, version, err := s.readSegment(ctx, segments[0])
	if err != nil || !s.dropExpired(d) {
		return segments
	}
	if version != 0 {
		if _, err := s.store.Delete(ctx, carawaybeam.KindBinding, s.segmentName(segments[0]), version); err != nil {
			return segments
		}
	}
	return segments[1:]
}

// dropExpired removes the bindings of a segment from memory if all of them have
// expired, and reports whether they have.
func (s *shard) dropExpired(d document) bool {
	now := time.Now()
	for _, r := range d.records() {
		if !r.expired(now) {
			return false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range d.Rows {
		if known, ok := s.bindings[key]; ok && known.expired(now) {
			delete(s.bindings, key)
		}
	}
	return true
}
