package checker

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/carawaybeam/carawaybeam"
)

// maxListed is the number of keys of an object up to which they are searched one by one.
const maxListed = 16

type (
	// walk compares the structure of a document with the schema.
	walk struct {
		check *check
		// unknown holds the findings about unknown fields by path without the positions in arrays: one
		// for each such path, because a field that this program does not know is mostly in all elements.
		unknown map[string]*unknownField
		// segments is the path to the value in question.
		segments []segment
	}

	// segment is a field name, or a position in an array if index is not -1.
	segment struct {
		name  string
		index int
	}

	unknownField struct {
		finding Finding
		count   int
	}

	// keySet holds the keys of one object.
	keySet struct {
		listed []string
		more   map[string]bool
	}
)

// add reports whether the key was not in the set before.
func (s *keySet) add(key string) bool {
	if s.more != nil {
		known := s.more[key]
		s.more[key] = true
		return !known
	}
	if slices.Contains(s.listed, key) {
		return false
	}
	s.listed = append(s.listed, key)
	if len(s.listed) > maxListed {
		s.more = make(map[string]bool)
		for _, listed := range s.listed {
			s.more[listed] = true
		}
	}
	return true
}

// checkStructure reports values of a wrong type, duplicate and unknown fields.
func (c *check) checkStructure() {
	w := &walk{check: c, unknown: make(map[string]*unknownField)}
	w.value(c.schema.root, c.document.space(0))
	for _, u := range w.unknown {
		if u.count > 1 {
			u.finding.Message += fmt.Sprintf(" (in %d places)", u.count)
		}
		c.findings = append(c.findings, u.finding)
	}
}

func (w *walk) value(n *node, at int) {
	d := w.check.document
	if n == nil || d.data[at] == 'n' {
		return
	}
	if !fits(n.kind, d.data[at:d.literalEnd(at)]) {
		w.add(CodeWrongType, SeverityError, at, "this must be "+article(n.kind))
		return
	}
	switch n.kind {
	case carawaybeam.SchemaObject:
		keys := keySet{listed: make([]string, 0, maxListed+1)}
		d.members(at, func(keyAt int, quoted []byte, value int) { w.member(n, &keys, keyAt, quoted, value) })
	case carawaybeam.SchemaArray:
		d.each(at, func(i, value int) {
			w.segments = append(w.segments, segment{index: i})
			w.value(n.element, value)
			w.segments = w.segments[:len(w.segments)-1]
		})
	}
}

func (w *walk) member(n *node, keys *keySet, keyAt int, quoted []byte, value int) {
	// The first look-up needs no copy of the name, which most fields pass.
	field, known := n.exact[string(quoted[1:len(quoted)-1])]
	var name, folded string
	if known {
		name, folded = field.name, field.folded
	} else {
		name = decodeKey(quoted)
		folded = fold(name)
		field, known = n.folded[folded]
	}
	w.segments = append(w.segments, segment{name: name, index: -1})
	if !keys.add(folded) {
		w.add(CodeDuplicateField, SeverityError, keyAt, "the field is given twice, the last value counts")
	}
	if known {
		w.value(field.node, value)
	} else {
		w.addUnknown(keyAt)
	}
	w.segments = w.segments[:len(w.segments)-1]
}

// fold returns a name in the form in which names are equal if the decoder takes them for the same. The
// decoder also takes letters such as the long s for those to which they are the upper or lower case.
func fold(name string) string { return strings.ToLower(strings.ToUpper(name)) }

func (w *walk) add(code Code, severity Severity, at int, message string) {
	w.check.findings = append(w.check.findings, w.finding(code, severity, at, message))
}

func (w *walk) finding(code Code, severity Severity, at int, message string) Finding {
	line, column := w.check.document.position(at)
	return Finding{
		Severity: severity, Code: code, Path: w.path(true), Line: line, Column: column, Message: message,
	}
}

func (w *walk) addUnknown(at int) {
	pattern := w.path(false)
	if known, ok := w.unknown[pattern]; ok {
		known.count++
		return
	}
	w.unknown[pattern] = &unknownField{
		finding: w.finding(
			CodeUnknownField,
			SeverityWarning,
			at,
			"entries do not know this field and ignore it",
		),
		count: 1,
	}
}

// path returns the path to the value in question, with or without the positions in arrays.
func (w *walk) path(positions bool) string {
	var path strings.Builder
	for _, s := range w.segments {
		switch {
		case s.index < 0:
			if path.Len() > 0 {
				path.WriteByte('.')
			}
			path.WriteString(printable(s.name))
		case positions:
			path.WriteString("[" + strconv.Itoa(s.index) + "]")
		default:
			path.WriteString("[]")
		}
	}
	return path.String()
}

// printable returns a field name as it is if it consists of letters, digits, underscores and hyphens,
// and else in quotation marks.
func printable(name string) string {
	odd := func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '_' && r != '-'
	}
	if name == "" || len(name) > maxNameBytes || strings.IndexFunc(name, odd) >= 0 {
		return quote(name)
	}
	return name
}

// literalEnd returns the offset after the number, true or false at the offset, and the next offset for
// other values.
func (d *document) literalEnd(at int) int {
	switch d.data[at] {
	case '{', '[', '"':
		return at + 1
	}
	return d.endOfLiteral(at)
}

// fits reports whether the value that begins with the text can be decoded as the kind.
func fits(kind carawaybeam.SchemaKind, text []byte) bool {
	var err error
	switch kind {
	case carawaybeam.SchemaObject:
		return text[0] == '{'
	case carawaybeam.SchemaArray:
		return text[0] == '['
	case carawaybeam.SchemaString:
		return text[0] == '"'
	case carawaybeam.SchemaBool:
		return text[0] == 't' || text[0] == 'f'
	case carawaybeam.SchemaNumber:
		_, err = strconv.ParseFloat(string(text), 64)
	case carawaybeam.SchemaUnsigned:
		_, err = strconv.ParseUint(string(text), 10, 64)
	case carawaybeam.SchemaInteger:
		_, err = strconv.ParseInt(string(text), 10, 64)
	}
	return err == nil
}

func article(kind carawaybeam.SchemaKind) string {
	switch kind {
	case carawaybeam.SchemaObject, carawaybeam.SchemaArray, carawaybeam.SchemaInteger, carawaybeam.SchemaUnsigned:
		return "an " + string(kind)
	case carawaybeam.SchemaBool:
		return string(kind)
	}
	return "a " + string(kind)
}
