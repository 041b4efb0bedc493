// Package pruner limits the depth of JSON documents that other writers have a part in.
package pruner

import "encoding/json"

// null replaces what is nested too deeply.
const null = "null"

// Unmarshal decodes a document. If encoding/json refuses it, which also happens if it is nested too
// deeply, Unmarshal decodes the document that Prune returns.
func Unmarshal(document []byte, maxDepth int, result any) error {
	err := json.Unmarshal(document, result)
	if err == nil {
		return nil
	}
	pruned, changed := Prune(document, maxDepth)
	if !changed {
		return err
	}
	return json.Unmarshal(pruned, result)
}

// Prune returns a copy of a JSON document in which objects and arrays inside more than maxDepth
// others are replaced by null. It returns false and no copy if there are none. What it replaces may
// be invalid JSON.
func Prune(document []byte, maxDepth int) ([]byte, bool) {
	var (
		pruned  []byte
		depth   int
		kept    int // The part of the document before it has been copied or left out.
		changed bool
	)
	for i := 0; i < len(document); i++ {
		switch document[i] {
		case '"':
			i = endOfString(document, i)
		case '{', '[':
			if depth++; depth == maxDepth+1 {
				pruned = append(append(pruned, document[kept:i]...), null...)
				changed = true
			}
		case '}', ']':
			if depth--; depth == maxDepth {
				kept = i + 1
			}
		}
	}
	if !changed {
		return nil, false
	}
	if depth > maxDepth {
		// The document ends inside of what is replaced.
		return pruned, true
	}
	return append(pruned, document[kept:]...), true
}

// endOfString returns the position of the quotation mark that ends the string which begins at start,
// or the last position if there is none.
func endOfString(document []byte, start int) int {
	for i := start + 1; i < len(document); i++ {
		switch document[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(document) - 1
}
