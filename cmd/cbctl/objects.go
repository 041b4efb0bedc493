package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/administrator"
	"github.com/carawaybeam/carawaybeam/applier"
)

// object runs a command for objects of one kind.
func (c *command) object(kind string, args []string) error {
	if len(args) == 0 {
		return usage(kind + " wants list, get, set, apply or delete")
	}
	verb, rest := args[0], args[1:]
	switch {
	case verb == "list" && len(rest) == 0:
		return c.list(kind)
	case verb == "get" && len(rest) == 1:
		return c.get(kind, rest[0])
	case verb == "set" && len(rest) >= 2:
		return c.set(kind, rest[0], rest[1:])
	case verb == "apply":
		return c.apply(rest, kind)
	case verb == "delete" && len(rest) == 1:
		return c.remove(kind, rest[0])
	}
	return usage("arguments of " + kind + " " + verb + " are wrong")
}

func (c *command) printJSON(value any) error {
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func (c *command) list(kind string) error {
	objects, err := c.client.list(kind)
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(objects)
	}
	for _, object := range objects {
		_, _ = fmt.Fprintf(c.out, "%s\tversion %d%s\n", object.Name, object.Version, changedText(object))
	}
	return nil
}

func changedText(object administrator.Object) string {
	if object.ChangedAt == nil {
		return ""
	}
	return fmt.Sprintf("\tchanged by %s at %s", object.ChangedBy, object.ChangedAt.Format(time.RFC3339))
}

func (c *command) get(kind, name string) error {
	object, err := c.client.get(kind, name)
	if err != nil {
		return err
	}
	return c.printJSON(object)
}

// set changes some fields of an object. The change fails with a conflict if somebody
// else changes the object between reading and writing it.
func (c *command) set(kind, name string, assignments []string) error {
	object, err := c.client.get(kind, name)
	if err != nil {
		return err
	}
	var document map[string]any
	if err := json.Unmarshal(object.Document, &document); err != nil {
		return err
	}
	for _, assignment := range assignments {
		field, value, ok := strings.Cut(assignment, "=")
		if !ok {
			return usage(assignment + " is no FIELD=VALUE")
		}
		setField(document, strings.Split(field, "."), parseValue(field, value))
	}
	data, err := json.Marshal(document)
	if err != nil {
		return err
	}
	return c.report(c.client.change(kind, name, data, &object.Version))
}

// setField sets the field at a path of the document and creates missing tables.
func setField(document map[string]any, path []string, value any) {
	if len(path) == 1 {
		document[path[0]] = value
		return
	}
	table, ok := document[path[0]].(map[string]any)
	if !ok {
		table = make(map[string]any)
		document[path[0]] = table
	}
	setField(table, path[1:], value)
}

// parseValue returns the value of a field: a list for classes, a boolean for
// idempotent, and a string for any other field.
func parseValue(field, text string) any {
	if field == "classes" {
		return strings.Split(text, ",")
	}
	if flag, err := strconv.ParseBool(text); err == nil && field == "idempotent" {
		return flag
	}
	return text
}

func (c *command) remove(kind, name string) error {
	object, err := c.client.get(kind, name)
	if err != nil {
		return err
	}
	return c.report(c.client.change(kind, name, nil, &object.Version))
}

// report prints the result of a change. It returns an *exitError unless the change
// was accepted or unnecessary.
func (c *command) report(result applier.Result) error {
	if c.json {
		if err := c.printJSON(result); err != nil {
			return err
		}
	} else {
		_, _ = fmt.Fprintln(c.out, describe(result))
	}
	if code := exitCode(result.Status); code != exitDone {
		return &exitError{code: code, detail: string(result.Status)}
	}
	return nil
}

// describe returns the result of a change as text for operators.
func describe(r applier.Result) string {
	text := fmt.Sprintf("%s %s: %s", r.Kind, r.Name, r.Status)
	if r.Status == applier.StatusAccepted {
		text += fmt.Sprintf(" as version %d", r.Version)
	}
	if r.Detail != "" {
		text += ", " + r.Detail
	}
	if r.Status == applier.StatusConflict && r.ChangedAt != nil {
		text += fmt.Sprintf(", to version %d by %s at %s", r.Version, r.ChangedBy, r.ChangedAt.Format(time.RFC3339))
	}
	if r.Status == applier.StatusUncertain {
		text += "\nit may have taken effect; settle it by: " + settleCommand(r)
	}
	return text
}

// settle finds out whether an uncertain change was made and prints the result.
func (c *command) settle(args []string) error {
	if len(args) != 4 {
		return usage("settle wants KIND NAME CHANGE EXPECT")
	}
	kind, name := args[0], args[1]
	result := applier.Result{
		Status: applier.StatusUncertain, Kind: carawaybeam.StoreKind(kind), Name: name,
	}
	query := url.Values{"change": {args[2]}, "expect": {args[3]}}
	if err := c.client.call(http.MethodPost, objectPath(kind, name)+"/settle", query, nil, &result); err != nil {
		return err
	}
	return c.report(result)
}
