package configurer

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/carawaybeam/carawaybeam"
)

// maxPrevious is the number of earlier changes of an object that its record
// lists.
const maxPrevious = 16

type (
	// ChangeID identifies one change that an operator requested.
	ChangeID string

	// ChangeRecord is stored in an object and tells who made this version of it,
	// and when.
	ChangeRecord struct {
		ID ChangeID  `json:"id"`
		By string    `json:"by"`
		At time.Time `json:"at"`
		// Deleted marks an object that an operator deleted. The object remains
		// in the store as a tombstone, so that every later reader sees the
		// deletion.
		Deleted bool `json:"deleted,omitempty"`
		// Previous lists the changes before this one, newest first.
		Previous []ChangeID `json:"previous,omitempty"`
	}

	// RefusedFieldError reports a field that operators cannot set.
	RefusedFieldError struct {
		Field string
	}

	// recordOnly is the part of any document that holds the change record. It
	// is the whole document of a deleted object.
	recordOnly struct {
		Change *ChangeRecord `json:"change"`
	}
)

// refusedFields are likely names for settings that the system decides itself.
// They get an error that explains why they are refused.
var refusedFields = []string{
	"weight", "weights", "address", "addresses", "backend", "backends", "server", "servers", "replicas", "priority",
}

func (e *RefusedFieldError) Error() string {
	return fmt.Sprintf(
		"%s is not for operators to set: give the class a target, and the system chooses backend servers, "+
			"their shares and addresses to meet it", e.Field)
}

// NewChangeID returns a random change ID.
func NewChangeID() ChangeID { return ChangeID(uuid.NewString()) }

// Record returns the change record of an object, or the zero record if the object
// has none.
func Record(object carawaybeam.Object) ChangeRecord {
	var document recordOnly
	if len(object.Value) == 0 || json.Unmarshal(object.Value, &document) != nil || document.Change == nil {
		return ChangeRecord{}
	}
	return *document.Change
}

// Includes reports whether the change is the recorded one or one of those listed
// before it.
func (r ChangeRecord) Includes(id ChangeID) bool {
	return r.ID == id || slices.Contains(r.Previous, id)
}

// Next returns the record of a change to the object that has this record.
func (r ChangeRecord) Next(id ChangeID, by string, at time.Time) *ChangeRecord {
	next := &ChangeRecord{ID: id, By: by, At: at.UTC()}
	if r.ID == "" {
		return next
	}
	next.Previous = append([]ChangeID{r.ID}, r.Previous...)
	next.Previous = next.Previous[:min(len(next.Previous), maxPrevious)]
	return next
}

// Compose validates an operator's document and returns it together with its
// change record, in the form in which it is stored. The texts of its errors are
// meant for the operator.
func Compose(kind carawaybeam.StoreKind, name string, document []byte, change *ChangeRecord) ([]byte, error) {
	if err := checkName(name); err != nil {
		return nil, err
	}
	if change.Deleted {
		return json.Marshal(recordOnly{Change: change})
	}
	if err := checkFields(document); err != nil {
		return nil, err
	}
	switch kind {
	case carawaybeam.KindClass:
		return composeClass(name, document, change)
	case carawaybeam.KindOrganisation:
		return composeOrganisation(name, document, change)
	}
	return nil, &FieldError{Field: "kind", Value: string(kind), Want: "class or organisation"}
}

func composeClass(name string, value []byte, change *ChangeRecord) ([]byte, error) {
	var document ClassDocument
	if err := decodeStrict(value, &document); err != nil {
		return nil, err
	}
	if _, err := document.Class(carawaybeam.ClassID(name)); err != nil {
		return nil, err
	}
	document.Change = change
	return json.Marshal(document)
}

func composeOrganisation(name string, value []byte, change *ChangeRecord) ([]byte, error) {
	if _, err := DecodeOrganisation(carawaybeam.OrganisationID(name), value); err != nil {
		return nil, err
	}
	var document OrganisationDocument
	if err := decodeStrict(value, &document); err != nil {
		return nil, err
	}
	document.Change = change
	return json.Marshal(document)
}

func checkName(name string) error {
	valid := name != "" && len(name) <= maxNameBytes
	for _, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		valid = valid && (letter || r >= '0' && r <= '9' || strings.ContainsRune("-_.", r))
	}
	if valid {
		return nil
	}
	return &FieldError{Field: "name", Value: name, Want: "up to 128 letters, digits, dots, hyphens and underscores"}
}

// checkFields returns a RefusedFieldError if the document sets one of
// refusedFields, compared without regard to case.
func checkFields(document []byte) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(document, &fields); err != nil {
		return err
	}
	for _, refused := range refusedFields {
		for field := range fields {
			if strings.EqualFold(field, refused) {
				return &RefusedFieldError{Field: field}
			}
		}
	}
	return nil
}

// isDeleted reports whether the object is absent from the store or marked as
// deleted.
func isDeleted(object carawaybeam.Object) bool {
	return object.Deleted || Record(object).Deleted
}

// IsTruncated reports whether the record has reached its maximum length, so that
// older changes may have been dropped from it.
func (r ChangeRecord) IsTruncated() bool { return len(r.Previous) >= maxPrevious }

// ReplaceRecord returns the document of an object with its change record replaced.
// If the new record marks a deletion, the document consists of the record alone.
func ReplaceRecord(object carawaybeam.Object, change *ChangeRecord) ([]byte, error) {
	if change.Deleted {
		return json.Marshal(recordOnly{Change: change})
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(object.Value, &fields); err != nil {
		return nil, err
	}
	record, err := json.Marshal(change)
	if err != nil {
		return nil, err
	}
	fields["change"] = record
	return json.Marshal(fields)
}
