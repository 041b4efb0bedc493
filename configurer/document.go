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
	// ClassDocument is the document of a class of work, as operators write it
	// and as it is stored.
	ClassDocument struct {
		Kind       carawaybeam.WorkKind `json:"kind"             toml:"kind"`
		Pool       carawaybeam.PoolID   `json:"pool"             toml:"pool"`
		Idempotent bool                 `json:"idempotent"       toml:"idempotent"`
		Targets    TargetsDocument      `json:"targets"          toml:"targets"`
		Homes      []carawaybeam.Region `json:"homes,omitempty"  toml:"homes"`
		Change     *ChangeRecord        `json:"change,omitempty" toml:"-"`
	}

	// TargetsDocument contains targets as texts with units, such as "1.3s" and
	// "99.9%".
	TargetsDocument struct {
		FirstToken    string `json:"firstToken,omitempty"    toml:"firstToken"`
		BetweenTokens string `json:"betweenTokens,omitempty" toml:"betweenTokens"`
		Completed     string `json:"completed"               toml:"completed"`
		Completion    string `json:"completion"              toml:"completion"`
	}

	// OrganisationDocument is the document of an organisation, as operators
	// write it and as it is stored.
	OrganisationDocument struct {
		TokenHash string                `json:"tokenHash"         toml:"tokenHash"`
		Classes   []carawaybeam.ClassID `json:"classes,omitempty" toml:"classes"`
		Homes     []carawaybeam.Region  `json:"homes,omitempty"   toml:"homes"`
		Change    *ChangeRecord         `json:"change,omitempty"  toml:"-"`
	}

	// FieldError reports an invalid value in a document. Want describes the
	// valid values.
	FieldError struct {
		Field string
		Value string
		Want  string
	}

	// InvalidObjectError reports an object that could not be decoded.
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

	// minTarget and maxTarget bound every target that is a duration.
	minTarget = time.Millisecond
	maxTarget = 24 * time.Hour

	// minCompletion is the lowest completion target, as a share of requests.
	minCompletion = 0.5

	// maxNameBytes is the maximum length of an object name.
	maxNameBytes = 128
)

func (e *FieldError) Error() string {
	return fmt.Sprintf("%s = %q: want %s", e.Field, e.Value, e.Want)
}

func (e *InvalidObjectError) Error() string {
	return fmt.Sprintf("%s %q at version %d is invalid: %v", e.Kind, e.Name, e.Version, e.Cause)
}

func (e *InvalidObjectError) Unwrap() error { return e.Cause }

// DecodeClass decodes the document of a class. The error is a *FieldError if a
// field has an invalid value, and that of the JSON decoder otherwise.
func DecodeClass(id carawaybeam.ClassID, value []byte) (carawaybeam.Class, error) {
	var document ClassDocument
	if err := decodeStrict(value, &document); err != nil {
		return carawaybeam.Class{}, err
	}
	return document.Class(id)
}

// Class validates the document and returns the class that it describes. Errors are
// of type *FieldError.
func (d ClassDocument) Class(id carawaybeam.ClassID) (carawaybeam.Class, error) {
	class := carawaybeam.Class{ID: id, Kind: d.Kind, Pool: d.Pool, Idempotent: d.Idempotent, Homes: d.Homes}
	if d.Kind != carawaybeam.WorkModel && d.Kind != carawaybeam.WorkService {
		return class, &FieldError{Field: "kind", Value: string(d.Kind), Want: "model or service"}
	}
	if d.Pool == "" {
		return class, &FieldError{Field: "pool", Want: "the name of a pool"}
	}
	if err := checkHomes(d.Homes); err != nil {
		return class, err
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
		if targets.FirstToken, err = parseDuration("targets.firstToken", d.FirstToken); err != nil {
			return targets, err
		}
		if targets.BetweenTokens, err = parseDuration("targets.betweenTokens", d.BetweenTokens); err != nil {
			return targets, err
		}
	}
	if targets.Completed, err = parseDuration("targets.completed", d.Completed); err != nil {
		return targets, err
	}
	if targets.Completion, err = parseShare("targets.completion", d.Completion); err != nil {
		return targets, err
	}
	return targets, d.crossCheck(kind, targets)
}

// crossCheck checks the targets against the kind of work and each other.
func (d TargetsDocument) crossCheck(kind carawaybeam.WorkKind, targets carawaybeam.Targets) error {
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

func parseDuration(field, value string) (time.Duration, error) {
	d, err := time.ParseDuration(value)
	if err != nil || d < minTarget || d > maxTarget {
		return 0, &FieldError{Field: field, Value: value, Want: `a duration from "1ms" to "24h", such as "1.3s"`}
	}
	return d, nil
}

func parseShare(field, value string) (float64, error) {
	number, err := strconv.ParseFloat(strings.TrimSuffix(value, percent), 64)
	number /= percentFactor
	if err != nil || !strings.HasSuffix(value, percent) || !(number >= minCompletion && number <= 1) {
		return 0, &FieldError{Field: field, Value: value, Want: `a share from "50%" to "100%", such as "99.9%"`}
	}
	return number, nil
}

// DecodeOrganisation decodes the document of an organisation. The error is a
// *FieldError if the token hash is invalid, and that of the JSON decoder otherwise.
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
	if err := checkHomes(document.Homes); err != nil {
		return carawaybeam.Organisation{}, err
	}
	return carawaybeam.Organisation{
		ID: id, TokenHash: document.TokenHash, Classes: document.Classes, Homes: document.Homes,
	}, nil
}

// checkHomes checks the names of home regions. Errors are of type *FieldError.
func checkHomes(homes []carawaybeam.Region) error {
	if len(homes) > carawaybeam.MaxHomes {
		return &FieldError{
			Field: "homes", Value: fmt.Sprint(len(homes)), Want: fmt.Sprintf("up to %d regions", carawaybeam.MaxHomes),
		}
	}
	for _, region := range homes {
		if region == "" || len(region) > maxNameBytes {
			return &FieldError{
				Field: "homes", Value: string(region[:min(len(region), maxNameBytes)]),
				Want: fmt.Sprintf("names of 1 to %d bytes", maxNameBytes),
			}
		}
	}
	return nil
}

func decodeStrict(value []byte, document any) error {
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	return decoder.Decode(document)
}
