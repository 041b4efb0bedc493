package loader

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"
)

// Setting documents one key of a settings file.
type Setting struct {
	Key     string
	Default string
	Doc     string
}

// Reference returns the settings of a file in their order. It takes keys and texts
// from the tags of the given struct and the defaults from its values. A field
// without a doc tag is an error of type *Error.
func Reference(defaults any) ([]Setting, error) {
	return reference("", reflect.ValueOf(defaults))
}

func reference(prefix string, value reflect.Value) ([]Setting, error) {
	var settings []Setting
	for i := range value.NumField() {
		field := value.Type().Field(i)
		key := prefix + field.Tag.Get("toml")
		_, text := value.Field(i).Interface().(encoding.TextMarshaler)
		if field.Type.Kind() == reflect.Struct && !text {
			nested, err := reference(key+".", value.Field(i))
			if err != nil {
				return nil, err
			}
			settings = append(settings, nested...)
			continue
		}
		doc := field.Tag.Get("doc")
		if doc == "" {
			return nil, &Error{Key: key, Detail: "field of the setting has no doc tag"}
		}
		settings = append(settings, Setting{Key: key, Default: defaultText(value.Field(i)), Doc: doc})
	}
	return settings, nil
}

func defaultText(value reflect.Value) string {
	if value.IsZero() {
		return ""
	}
	if marshaler, ok := value.Interface().(encoding.TextMarshaler); ok {
		if text, err := marshaler.MarshalText(); err == nil {
			return string(text)
		}
	}
	return fmt.Sprint(value.Interface())
}

// Page returns the settings reference of all programs in Markdown. Errors are those
// of Reference.
func Page() (string, error) {
	var page strings.Builder
	page.WriteString("# Settings\n\nMade from the code by `make settings`. A key without a default must be set,\n" +
		"unless its text says otherwise. An unknown, wrong or missing key stops the program\n" +
		"with file, line and key; `-check` only checks.\n")
	for _, program := range []struct {
		name     string
		defaults any
	}{{"cbentry", DefaultEntry()}, {"cbagent", DefaultAgent()}} {
		settings, err := Reference(program.defaults)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&page, "\n## %s\n\n| key | default | meaning |\n|---|---|---|\n", program.name)
		for _, s := range settings {
			fmt.Fprintf(&page, "| `%s` | %s | %s |\n", s.Key, codeSpan(s.Default), s.Doc)
		}
	}
	return page.String(), nil
}

// codeSpan returns the text as inline code, or nothing if it is empty.
func codeSpan(text string) string {
	if text == "" {
		return ""
	}
	return "`" + text + "`"
}
