// Package parser reads settings, profiles and services from YAML.
//
// Every mistake is reported with file, line and field: unknown fields, values
// of a wrong type and values out of range. Files carry a version, so that a
// file made for a newer program is refused and not half understood.
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

// Error is the class of errors of this package that are not mistakes in a file.
var Error = errs.Class("parser")

const (
	// Version is the version of the settings format.
	Version = 1
	// ExitCode is the exit code of a program whose settings are wrong.
	ExitCode = 2
)

// Mistake is a mistake in a file.
type Mistake struct {
	// File is the path of the file, or what stands for it.
	File string
	// Line is counted from 1; 0 when it is not known.
	Line int
	// Field is the path of the field, such as "members[1].address"; empty when
	// it is not known.
	Field string
	// Reason says what is wrong and what is allowed.
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

// Checker is implemented by types whose values must be checked after decoding.
// It returns the field at fault and the reason, or two empty strings.
type Checker interface {
	Check() (field, reason string)
}

// File reads and checks the YAML file at path.
func File[T any](path string) (*T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.New("reading %s: %w", path, err)
	}
	return Bytes[T](path, data)
}

// Bytes decodes and checks data; file stands for it in mistakes.
func Bytes[T any](file string, data []byte) (*T, error) {
	if mistake := checkVersion(file, data); mistake != nil {
		return nil, mistake
	}
	return Unversioned[T](file, data)
}

// Unversioned is Bytes for documents whose field version, if any, is not that of
// the format.
func Unversioned[T any](file string, data []byte) (*T, error) {
	value := new(T)
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	if err := decoder.Decode(value); err != nil {
		var unknown *yaml.UnknownFieldError
		if errors.As(err, &unknown) {
			err = firstUnknown[T](data, unknown)
		}
		return nil, mistakeOf(file, err)
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

// checkVersion refuses a file for a newer program before its unknown fields are
// reported.
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

// mistakeOf turns an error of the YAML library into a Mistake.
func mistakeOf(file string, err error) *Mistake {
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

// lineOf finds the line of a field by its path, 0 when it is not there.
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
