package checker

import (
	"bytes"
	"encoding/json"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/carawaybeam/carawaybeam"
)

type (
	// schema is a RoutingSchema whose field names can be looked up as encoding/json does, without
	// regard to upper and lower case.
	schema struct {
		root  *node
		names map[carawaybeam.RoutingField]string
	}

	node struct {
		kind carawaybeam.SchemaKind
		// exact holds the fields by name, folded by name in lower case.
		exact   map[string]*namedNode
		folded  map[string]*namedNode
		element *node
	}

	// namedNode is a field of an object.
	namedNode struct {
		*node
		name string
		// folded is the name in lower case.
		folded string
	}

	// place is a place in the document.
	place struct {
		// section is a field of the document.
		section carawaybeam.RoutingField
		// index is the position in the section, or -1 if the section is no array.
		index int
		// field is empty for the element as a whole.
		field carawaybeam.RoutingField
		// item is the position in the field, or -1. itemField is a field of the item, or empty.
		item      int
		itemField carawaybeam.RoutingField
	}

	// document finds the positions of values. Its data is valid JSON when other methods than position
	// are called.
	document struct {
		data []byte
		// newlines holds the offsets of the ends of all lines but the last.
		newlines []int
		// sections holds the offsets of the values of the sections. elements holds those of the
		// elements of the sections that are arrays.
		sections map[carawaybeam.RoutingField]int
		elements map[carawaybeam.RoutingField][]int
		// itemsOf is the place whose items are the offsets in items. Kept because many findings may
		// be about one long array.
		itemsOf place
		items   []int
	}
)

func newSchema(s carawaybeam.RoutingSchema) *schema {
	return &schema{root: newNode(s.Document), names: s.Names}
}

func newNode(s *carawaybeam.SchemaNode) *node {
	if s == nil {
		return nil
	}
	n := &node{
		kind: s.Kind, element: newNode(s.Element),
		exact: make(map[string]*namedNode), folded: make(map[string]*namedNode),
	}
	for name, field := range s.Fields {
		named := &namedNode{node: newNode(field), name: name, folded: fold(name)}
		n.exact[name], n.folded[named.folded] = named, named
	}
	return n
}

// path returns the path of a place with the platform's names.
func (s *schema) path(at place) string {
	var path strings.Builder
	path.WriteString(s.names[at.section])
	if at.index >= 0 {
		path.WriteString("[" + strconv.Itoa(at.index) + "]")
	}
	if at.field != "" {
		path.WriteString("." + s.names[at.field])
	}
	if at.item >= 0 {
		path.WriteString("[" + strconv.Itoa(at.item) + "]")
	}
	if at.itemField != "" {
		path.WriteString("." + s.names[at.itemField])
	}
	return path.String()
}

// inSection returns the place of a field of an object that is a section, or of the section itself if
// the field is empty.
func inSection(section, field carawaybeam.RoutingField) place {
	return place{section: section, index: -1, field: field, item: -1}
}

// inElement returns the place of a field of an element of a section.
func inElement(section carawaybeam.RoutingField, index int, field carawaybeam.RoutingField) place {
	return place{section: section, index: index, field: field, item: -1}
}

func newDocument(data []byte) *document {
	d := &document{data: data}
	for at := 0; ; at++ {
		next := bytes.IndexByte(data[at:], '\n')
		if next < 0 {
			return d
		}
		at += next
		d.newlines = append(d.newlines, at)
	}
}

// position returns the line and the column of an offset. Offsets outside the document count as its
// first or last byte.
func (d *document) position(offset int) (line, column int) {
	offset = max(0, min(offset, len(d.data)-1))
	line = sort.SearchInts(d.newlines, offset)
	if line == 0 {
		return 1, offset + 1
	}
	return line + 1, offset - d.newlines[line-1]
}

// index finds the sections and their elements. Of several fields with one name the last counts, as in
// the decoder.
func (d *document) index(s *schema) {
	d.sections = make(map[carawaybeam.RoutingField]int)
	d.elements = make(map[carawaybeam.RoutingField][]int)
	sections := []carawaybeam.RoutingField{
		carawaybeam.FieldVersion, carawaybeam.FieldRoutes, carawaybeam.FieldPools,
		carawaybeam.FieldOrganisations, carawaybeam.FieldLimits,
	}
	d.members(d.space(0), func(_ int, quoted []byte, value int) {
		for _, section := range sections {
			if !isKey(quoted, s.names[section]) {
				continue
			}
			d.sections[section] = value
			elements := d.elements[section][:0]
			d.each(value, func(_, element int) { elements = append(elements, element) })
			d.elements[section] = elements
		}
	})
}

// offset returns the offset of the deepest part of a place that is in the document.
func (d *document) offset(at place, s *schema) int {
	offset, ok := d.sections[at.section]
	if !ok {
		return d.space(0)
	}
	if at.index >= 0 {
		if at.index >= len(d.elements[at.section]) {
			return offset
		}
		offset = d.elements[at.section][at.index]
	}
	if at.field == "" {
		return offset
	}
	if at.item < 0 {
		value, _ := d.member(offset, s.names[at.field])
		return value
	}
	items := d.findItems(at, s)
	if at.item >= len(items) {
		return offset
	}
	value := items[at.item]
	if at.itemField != "" {
		value, _ = d.member(value, s.names[at.itemField])
	}
	return value
}

// findItems returns the offsets of the items of a field.
func (d *document) findItems(at place, s *schema) []int {
	at.item, at.itemField = -1, ""
	if d.itemsOf == at {
		return d.items
	}
	d.itemsOf, d.items = at, d.items[:0]
	elements := d.elements[at.section]
	if at.index < 0 || at.index >= len(elements) {
		return d.items
	}
	if value, ok := d.member(elements[at.index], s.names[at.field]); ok {
		d.each(value, func(_, item int) { d.items = append(d.items, item) })
	}
	return d.items
}

// member returns the offset of the value of a field of the object at the offset. If there is none, it
// returns the offset of the object and false.
func (d *document) member(object int, name string) (int, bool) {
	offset, found := object, false
	d.members(object, func(_ int, quoted []byte, value int) {
		if isKey(quoted, name) {
			offset, found = value, true
		}
	})
	return offset, found
}

// members calls a function with the offset of the key, the key in quotation marks and the offset of the
// value of each field of an object. It does nothing for other values.
func (d *document) members(object int, call func(at int, quoted []byte, value int)) {
	if d.data[object] != '{' {
		return
	}
	for at := d.space(object + 1); d.data[at] != '}'; {
		end := d.skip(at)
		value := d.space(d.space(end) + 1)
		call(at, d.data[at:end], value)
		if at = d.space(d.skip(value)); d.data[at] == ',' {
			at = d.space(at + 1)
		}
	}
}

// each calls a function with the position and the offset of each element of an array. It does
// nothing for other values.
func (d *document) each(array int, call func(i, value int)) {
	if d.data[array] != '[' {
		return
	}
	i := 0
	for at := d.space(array + 1); d.data[at] != ']'; i++ {
		call(i, at)
		if at = d.space(d.skip(at)); d.data[at] == ',' {
			at = d.space(at + 1)
		}
	}
}

// space returns the first offset from the given one that is not white space.
func (d *document) space(at int) int {
	for at < len(d.data) && (d.data[at] == ' ' || d.data[at] == '\n' || d.data[at] == '\t' || d.data[at] == '\r') {
		at++
	}
	return at
}

// skip returns the offset after the value that begins at the given one.
func (d *document) skip(at int) int {
	depth := 0
	for ; at < len(d.data); at++ {
		switch d.data[at] {
		case '"':
			at = endOfString(d.data, at)
		case '{', '[':
			depth++
			continue
		case '}', ']':
			depth--
		default:
			if depth == 0 {
				return d.endOfLiteral(at)
			}
			continue
		}
		if depth == 0 {
			return at + 1
		}
	}
	return at
}

// endOfLiteral returns the offset after a number, true, false or null.
func (d *document) endOfLiteral(at int) int {
	for ; at < len(d.data); at++ {
		switch d.data[at] {
		case ',', ']', '}', ' ', '\n', '\t', '\r':
			return at
		}
	}
	return at
}

// endOfString returns the offset of the quotation mark that ends the string which begins at start, or
// the last offset if there is none.
func endOfString(data []byte, start int) int {
	for i := start + 1; i < len(data); i++ {
		if data[i] == '"' {
			return i
		}
		if data[i] == '\\' {
			i++
		}
	}
	return len(data) - 1
}

// isKey reports whether a string in a JSON document is the name of a field to the decoder.
func isKey(quoted []byte, name string) bool {
	if len(quoted) == len(name)+2 && string(quoted[1:len(quoted)-1]) == name {
		return true
	}
	// Escapes and letters outside of ASCII make a name longer, never shorter.
	return len(quoted) >= len(name)+2 && strings.EqualFold(decodeKey(quoted), name)
}

// decodeKey returns the text of a string in a JSON document.
func decodeKey(quoted []byte) string {
	if !slices.Contains(quoted, '\\') {
		return string(quoted[1 : len(quoted)-1])
	}
	var key string
	if err := json.Unmarshal(quoted, &key); err != nil {
		return string(quoted)
	}
	return key
}

// tooDeep returns the offset of the first object or array that is nested more than maxDepth deep, or
// -1.
func tooDeep(data []byte) int {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = endOfString(data, i)
		case '{', '[':
			if depth++; depth > maxDepth {
				return i
			}
		case '}', ']':
			depth--
		}
	}
	return -1
}
