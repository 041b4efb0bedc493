package loader

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"
)

// Setting is one key of a settings file.
type Setting struct {
	Key     string
	Default string
	Doc     string
}

// Reference returns the settings of a file in their order, from the tags of the
// given struct and with its values as defaults. A field without a text is an
// error.
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
			below, err := reference(key+".", value.Field(i))
			if err != nil {
				return nil, err
			}
			settings = append(settings, below...)
			continue
		}
		doc := field.Tag.Get("doc")
		if doc == "" {
			return nil, &Error{Key: key, Detail: "setting has no text for the reference"}
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

// Page returns the reference of all programs in Markdown.
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
			fmt.Fprintf(&page, "| `%s` | %s | %s |\n", s.Key, quoted(s.Default), s.Doc)
		}
	}
	return page.String(), nil
}

func quoted(text string) string {
	if text == "" {
		return ""
	}
	return "`" + text + "`"
}
