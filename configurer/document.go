package configurer

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

type (
	// ClassDocument is a class as operators write it and the store holds it.
	ClassDocument struct {
		Kind       carawaybeam.WorkKind `json:"kind"             toml:"kind"`
		Pool       carawaybeam.PoolID   `json:"pool"             toml:"pool"`
		Idempotent bool                 `json:"idempotent"       toml:"idempotent"`
		Targets    TargetsDocument      `json:"targets"          toml:"targets"`
		Change     *ChangeRecord        `json:"change,omitempty" toml:"-"`
	}

	// TargetsDocument holds targets with their units, such as "1.3s" and
	// "99.9%".
	TargetsDocument struct {
		FirstToken    string `json:"firstToken,omitempty"    toml:"firstToken"`
		BetweenTokens string `json:"betweenTokens,omitempty" toml:"betweenTokens"`
		Completed     string `json:"completed"               toml:"completed"`
		Completion    string `json:"completion"              toml:"completion"`
	}

	// OrganisationDocument is an organisation as the store holds it.
	OrganisationDocument struct {
		TokenHash string                `json:"tokenHash"         toml:"tokenHash"`
		Classes   []carawaybeam.ClassID `json:"classes,omitempty" toml:"classes"`
		Change    *ChangeRecord         `json:"change,omitempty"  toml:"-"`
	}

	// FieldError reports a wrong value in a document.
	FieldError struct {
		Field string
		Value string
		Want  string
	}

	// InvalidObjectError reports an object that could not be understood.
	InvalidObjectError struct {
		Kind    carawaybeam.StoreKind
		Name    string
		Version carawaybeam.StoreVersion
		Cause   error
	}
)

const (
	percent       = "%"
	percentFactor = 100

	// minTarget and maxTarget bound every duration among the targets.
	minTarget = time.Millisecond
	maxTarget = 24 * time.Hour

	// minCompletion is the least share of requests to be answered.
	minCompletion = 0.5

	// maxNameBytes bounds the name of an object.
	maxNameBytes = 128
)

func (e *FieldError) Error() string {
	return fmt.Sprintf("%s = %q: want %s", e.Field, e.Value, e.Want)
}

func (e *InvalidObjectError) Error() string {
	return fmt.Sprintf("%s %q at version %d is not understood: %v", e.Kind, e.Name, e.Version, e.Cause)
}

func (e *InvalidObjectError) Unwrap() error { return e.Cause }

// DecodeClass reads the document of a class. Errors are of type *FieldError
// where one field is wrong.
func DecodeClass(id carawaybeam.ClassID, value []byte) (carawaybeam.Class, error) {
	var document ClassDocument
	if err := decodeStrict(value, &document); err != nil {
		return carawaybeam.Class{}, err
	}
	return document.Class(id)
}

// Class checks the document and returns the class it describes.
func (d ClassDocument) Class(id carawaybeam.ClassID) (carawaybeam.Class, error) {
	class := carawaybeam.Class{ID: id, Kind: d.Kind, Pool: d.Pool, Idempotent: d.Idempotent}
	if d.Kind != carawaybeam.WorkModel && d.Kind != carawaybeam.WorkService {
		return class, &FieldError{Field: "kind", Value: string(d.Kind), Want: "model or service"}
	}
	if d.Pool == "" {
		return class, &FieldError{Field: "pool", Want: "the name of a pool"}
	}
	var err error
	class.Targets, err = d.Targets.targets(d.Kind)
	return class, err
}

func (d TargetsDocument) targets(kind carawaybeam.WorkKind) (carawaybeam.Targets, error) {
	var (
		targets carawaybeam.Targets
		err     error
	)
	if kind == carawaybeam.WorkModel {
		if targets.FirstToken, err = duration("targets.firstToken", d.FirstToken); err != nil {
			return targets, err
		}
		if targets.BetweenTokens, err = duration("targets.betweenTokens", d.BetweenTokens); err != nil {
			return targets, err
		}
	}
	if targets.Completed, err = duration("targets.completed", d.Completed); err != nil {
		return targets, err
	}
	if targets.Completion, err = share("targets.completion", d.Completion); err != nil {
		return targets, err
	}
	return targets, d.compare(kind, targets)
}

// compare checks the targets against each other.
func (d TargetsDocument) compare(kind carawaybeam.WorkKind, targets carawaybeam.Targets) error {
	switch {
	case kind == carawaybeam.WorkService && d.FirstToken != "":
		return &FieldError{
			Field: "targets.firstToken",
			Value: d.FirstToken,
			Want:  "nothing, since a service has no tokens",
		}
	case kind == carawaybeam.WorkService && d.BetweenTokens != "":
		return &FieldError{
			Field: "targets.betweenTokens", Value: d.BetweenTokens, Want: "nothing, since a service has no tokens",
		}
	case targets.FirstToken >= targets.Completed:
		return &FieldError{
			Field: "targets.firstToken", Value: d.FirstToken, Want: "less than targets.completed, " + d.Completed,
		}
	case targets.BetweenTokens >= targets.Completed:
		return &FieldError{
			Field: "targets.betweenTokens", Value: d.BetweenTokens, Want: "less than targets.completed, " + d.Completed,
		}
	}
	return nil
}

func duration(field, value string) (time.Duration, error) {
	d, err := time.ParseDuration(value)
	if err != nil || d < minTarget || d > maxTarget {
		return 0, &FieldError{Field: field, Value: value, Want: `a duration from "1ms" to "24h", such as "1.3s"`}
	}
	return d, nil
}

func share(field, value string) (float64, error) {
	number, err := strconv.ParseFloat(strings.TrimSuffix(value, percent), 64)
	number /= percentFactor
	if err != nil || !strings.HasSuffix(value, percent) || !(number >= minCompletion && number <= 1) {
		return 0, &FieldError{Field: field, Value: value, Want: `a share from "50%" to "100%", such as "99.9%"`}
	}
	return number, nil
}

// DecodeOrganisation reads the document of an organisation.
func DecodeOrganisation(id carawaybeam.OrganisationID, value []byte) (carawaybeam.Organisation, error) {
	var document OrganisationDocument
	if err := decodeStrict(value, &document); err != nil {
		return carawaybeam.Organisation{}, err
	}
	hash, err := hex.DecodeString(document.TokenHash)
	if err != nil || len(hash) != 32 {
		return carawaybeam.Organisation{}, &FieldError{
			Field: "tokenHash", Value: document.TokenHash, Want: "the hexadecimal SHA-256 of the token",
		}
	}
	return carawaybeam.Organisation{ID: id, TokenHash: document.TokenHash, Classes: document.Classes}, nil
}

func decodeStrict(value []byte, document any) error {
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	return decoder.Decode(document)
}
