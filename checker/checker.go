// Package checker finds faults in a routing configuration before it comes into force, and compares it
// with another one by meaning. It does no I/O.
package checker

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// MaxBytes is the largest document that is checked.
	MaxBytes = 64 << 20

	// maxDepth is the deepest nesting that is checked. The known fields are nested five deep.
	maxDepth = 64

	// maxNameBytes is the maximum length of names of the document in messages.
	maxNameBytes = 80
)

const (
	// SeverityError is for what makes the configuration fail, or requests of it.
	SeverityError Severity = "error"
	// SeverityWarning is for what works and is probably not meant.
	SeverityWarning Severity = "warning"
)

// Codes of findings.
const (
	CodeUnreadable       Code = "unreadable"
	CodeTooLarge         Code = "tooLarge"
	CodeEmpty            Code = "empty"
	CodeNotText          Code = "notText"
	CodeTooDeep          Code = "tooDeep"
	CodeSyntax           Code = "syntax"
	CodeWrongType        Code = "wrongType"
	CodeUnknownField     Code = "unknownField"
	CodeDuplicateField   Code = "duplicateField"
	CodeMissingName      Code = "missingName"
	CodeDuplicateName    Code = "duplicateName"
	CodeInvalidHost      Code = "invalidHost"
	CodeInvalidPrefix    Code = "invalidPrefix"
	CodeDuplicateRoute   Code = "duplicateRoute"
	CodeUnreachable      Code = "unreachableRoute"
	CodeInvalidWeight    Code = "invalidWeight"
	CodeZeroWeight       Code = "zeroWeight"
	CodeNoWeight         Code = "noWeight"
	CodeUnknownPool      Code = "unknownPool"
	CodeUnknownKind      Code = "unknownKind"
	CodeAttempts         Code = "attempts"
	CodeTooManyAttempts  Code = "tooManyAttempts"
	CodeTimeout          Code = "timeout"
	CodeTarget           Code = "target"
	CodeGap              Code = "gap"
	CodePriority         Code = "priority"
	CodeNoKeys           Code = "noKeys"
	CodeEmptyKey         Code = "emptyKey"
	CodeDuplicateKey     Code = "duplicateKey"
	CodeOpenRoutes       Code = "openRoutes"
	CodeClosedRoutes     Code = "closedRoutes"
	CodeLimit            Code = "limit"
	CodeContradiction    Code = "contradictoryLimits"
	CodeConnections      Code = "connections"
	CodeVersion          Code = "version"
	CodeHedgingAttempts  Code = "hedgingAttempts"
	CodeHedgingException Code = "hedgingException"
	CodeHomes            Code = "homes"
	CodeUnknownRegion    Code = "unknownRegion"
	CodeNoCommonHome     Code = "noCommonHome"
)

type (
	// Severity tells whether a finding keeps the configuration from being used.
	Severity string

	// Code identifies the kind of a finding. Codes are stable.
	Code string

	// Finding is a fault in a configuration.
	Finding struct {
		Severity Severity `json:"severity"`
		Code     Code     `json:"code"`
		// Path names the place in the document, such as "routes[3].host". It is empty for the document
		// as a whole.
		Path string `json:"path"`
		// Line and Column count from 1. Both are 0 if the place is unknown. Column counts bytes.
		Line    int    `json:"line"`
		Column  int    `json:"column"`
		Message string `json:"message"`
	}

	// Hedging holds the settings of second attempts.
	Hedging struct {
		// ExceptRoutes lists the routes without second attempts.
		ExceptRoutes []carawaybeam.RouteID
	}

	// Options configures a Checker.
	Options struct {
		// Decode is the decoder of the entries.
		Decode func(document []byte) (carawaybeam.Routing, error)
		Schema carawaybeam.RoutingSchema
		// Against is the configuration to compare with, or nil.
		Against *Snapshot
		// Backends holds the number of backend servers by pool. Pools that it lacks are not known.
		Backends map[carawaybeam.PoolID]int
		// Regions holds the region of each data centre. If it is nil, they are not known.
		Regions map[carawaybeam.DataCentre]carawaybeam.Region
		// Hedging is nil if there are no second attempts, or the settings are not known.
		Hedging *Hedging
	}

	// Report is the result of a check.
	Report struct {
		// Findings are sorted by line.
		Findings []Finding
		// Differences is empty if there is nothing to compare with, or the document cannot be decoded.
		Differences []Difference
	}

	// Checker checks routing configurations. It is immutable.
	Checker struct {
		options Options
		schema  *schema
	}

	// check is the state of the check of one document.
	check struct {
		options  *Options
		schema   *schema
		document *document
		routing  carawaybeam.Routing
		findings []Finding
	}
)

// New returns a Checker.
func New(options Options) *Checker {
	return &Checker{options: options, schema: newSchema(options.Schema)}
}

// Count returns the number of findings of a severity.
func (r Report) Count(severity Severity) int {
	n := 0
	for i := range r.Findings {
		if r.Findings[i].Severity == severity {
			n++
		}
	}
	return n
}

// Check checks a document.
func (k *Checker) Check(data []byte) Report {
	if finding, ok := Suitable(data); !ok {
		return Report{Findings: []Finding{finding}}
	}
	c := &check{options: &k.options, schema: k.schema, document: newDocument(data)}
	routing, err := k.options.Decode(data)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line, column := c.document.position(int(syntax.Offset) - 1)
		return Report{Findings: []Finding{
			{
				Severity: SeverityError,
				Code:     CodeSyntax,
				Line:     line,
				Column:   column,
				Message:  "invalid JSON: " + syntax.Error(),
			},
		}}
	}
	c.checkStructure()
	if err != nil {
		c.reportDecodeError(err)
		return Report{Findings: c.sorted()}
	}
	c.routing = routing
	c.document.index(k.schema)
	c.checkVersion()
	c.checkPools()
	c.checkRoutes()
	c.checkOrganisations()
	c.checkLimits()
	c.checkHedging()
	c.checkHomes()
	report := Report{}
	if k.options.Against != nil {
		after := NewSnapshot(routing)
		report.Differences = Compare(*k.options.Against, after)
		c.checkNewer(len(report.Differences) > 0)
	}
	report.Findings = c.sorted()
	return report
}

// Suitable reports whether a document can be checked: it is text, not empty, not too large and not
// nested too deeply. If it is not suitable, Suitable returns the finding.
func Suitable(data []byte) (Finding, bool) {
	finding := Finding{Severity: SeverityError}
	switch {
	case len(data) > MaxBytes:
		finding.Code = CodeTooLarge
		finding.Message = fmt.Sprintf("the document is larger than %d MiB", MaxBytes>>20)
	case len(bytes.TrimSpace(data)) == 0:
		finding.Code, finding.Message = CodeEmpty, "the document is empty"
	case bytes.IndexByte(data, 0) >= 0 || !utf8.Valid(data):
		finding.Code, finding.Message = CodeNotText, "the document is not text in UTF-8"
	default:
		at := tooDeep(data)
		if at < 0 {
			return Finding{}, true
		}
		finding.Line, finding.Column = newDocument(data).position(at)
		finding.Code, finding.Message = CodeTooDeep, fmt.Sprintf(
			"objects and arrays are nested more than %d deep",
			maxDepth,
		)
	}
	return finding, false
}

// reportDecodeError reports the error of the decoder unless the structure of the document has
// shown its cause.
func (c *check) reportDecodeError(err error) {
	for i := range c.findings {
		if c.findings[i].Code == CodeWrongType {
			return
		}
	}
	finding := Finding{Severity: SeverityError, Code: CodeWrongType, Message: err.Error()}
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		finding.Line, finding.Column = c.document.position(int(wrong.Offset) - 1)
	}
	c.findings = append(c.findings, finding)
}

// add adds a finding at a place of the document. Path and place are those of the deepest part of
// the path that is in the document, but the finding names the whole path.
func (c *check) add(severity Severity, code Code, at place, format string, arguments ...any) {
	line, column := c.document.position(c.document.offset(at, c.schema))
	c.findings = append(c.findings, Finding{
		Severity: severity, Code: code, Path: c.schema.path(at), Line: line, Column: column,
		Message: fmt.Sprintf(format, arguments...),
	})
}

func (c *check) fail(code Code, at place, format string, arguments ...any) {
	c.add(SeverityError, code, at, format, arguments...)
}

func (c *check) warn(code Code, at place, format string, arguments ...any) {
	c.add(SeverityWarning, code, at, format, arguments...)
}

// sorted returns the findings in the order of the document.
func (c *check) sorted() []Finding {
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
			strings.Compare(string(a.Code), string(b.Code)),
		)
	})
	return c.findings
}

// quote returns a name of the document in quotation marks, without control characters and cut to
// maxNameBytes.
func quote[T ~string](name T) string {
	if len(name) > maxNameBytes {
		return fmt.Sprintf("%q...", string(name[:maxNameBytes]))
	}
	return fmt.Sprintf("%q", string(name))
}
