// Package parser decodes and validates YAML files such as settings, profiles and
// services.
//
// Unknown fields, values of the wrong type and values out of range are reported
// with file, line and field. Files have a version, so that a file for a newer
// program is rejected as such and not because of its unknown fields.
//
// # Usage
//
//	settings, err := parser.File[router.Settings](path)
//	var mistake *parser.Mistake
//	if errors.As(err, &mistake) { os.Exit(parser.ExitCode) }
package parser

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/zeebo/errs"
)

// Error is the class of errors of this package other than [Mistake].
var Error = errs.Class("parser")

const (
	// Version is the version of the settings format.
	Version = 1
	// ExitCode is the exit code of a program with invalid settings.
	ExitCode = 2
)

// Mistake is the error for an invalid file.
type Mistake struct {
	// File is the path of the file, or another name for the source of the data.
	File string
	// Line is the line number, from 1; 0 if unknown.
	Line int
	// Field is the path of the field, such as "members[1].address"; empty if
	// unknown.
	Field string
	// Reason describes the error and the allowed values.
	Reason string
}

// Error implements error.
func (m *Mistake) Error() string {
	text := m.File
	if m.Line > 0 {
		text += fmt.Sprintf(":%d", m.Line)
	}
	if m.Field != "" {
		text += ": " + m.Field
	}
	return text + ": " + m.Reason
}

// Checker is implemented by types whose values are validated after decoding.
type Checker interface {
	// Check returns the path of an invalid field and the reason, or two empty strings.
	Check() (field, reason string)
}

// File reads, decodes and validates the YAML file at path.
func File[T any](path string) (*T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.New("reading %s: %w", path, err)
	}
	return Bytes[T](path, data)
}

// Bytes decodes and validates data; file is its name in errors.
func Bytes[T any](file string, data []byte) (*T, error) {
	if mistake := checkVersion(file, data); mistake != nil {
		return nil, mistake
	}
	return Unversioned[T](file, data)
}

// Unversioned is like [Bytes], but does not interpret the field version as that of
// the file format.
func Unversioned[T any](file string, data []byte) (*T, error) {
	value := new(T)
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	if err := decoder.Decode(value); err != nil {
		var unknown *yaml.UnknownFieldError
		if errors.As(err, &unknown) {
			err = firstUnknown[T](data, unknown)
		}
		return nil, newMistake(file, err)
	}
	checker, ok := any(value).(Checker)
	if !ok {
		return value, nil
	}
	field, reason := checker.Check()
	if reason == "" {
		return value, nil
	}
	return nil, &Mistake{File: file, Line: lineOf(data, field), Field: field, Reason: reason}
}

// checkVersion rejects a file for a newer program. It runs before decoding, which
// would report unknown fields instead.
func checkVersion(file string, data []byte) *Mistake {
	var header struct {
		Version int `yaml:"version"`
	}
	if err := yaml.Unmarshal(data, &header); err != nil || header.Version <= Version {
		return nil
	}
	return &Mistake{
		File:   file,
		Line:   lineOf(data, "version"),
		Field:  "version",
		Reason: fmt.Sprintf("is %d; this program reads up to %d, so use a newer program or an older file", header.Version, Version),
	}
}

// newMistake converts an error of the YAML library to a Mistake.
func newMistake(file string, err error) *Mistake {
	mistake := &Mistake{File: file, Reason: err.Error()}
	var positioned yaml.Error
	if errors.As(err, &positioned) {
		mistake.Reason = positioned.GetMessage()
		if token := positioned.GetToken(); token != nil && token.Position != nil {
			mistake.Line = token.Position.Line
			mistake.Field = token.Value
		}
	}
	return mistake
}

// lineOf returns the line of a field, given its path, or 0 if the field is absent.
func lineOf(data []byte, field string) int {
	if field == "" {
		return 0
	}
	path, err := yaml.PathString("$." + field)
	if err != nil {
		return 0
	}
	node, err := path.ReadNode(bytes.NewReader(data))
	if err != nil || node.GetToken() == nil {
		return 0
	}
	return node.GetToken().Position.Line
}
