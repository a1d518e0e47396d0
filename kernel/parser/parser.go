// Package parser decodes and validates YAML files such as settings, profiles and
// services.
//
// Unknown fields, values of the wrong type and values out of range are reported
// with file, line and field. Files have a version, so that a file for a newer
// program is rejected as such and not because of its unknown fields.
//
// # Usage
//
//	settings, err := parser.ParseFile[Settings](path)
//	var fileError *parser.FileError
//	if errors.As(err, &fileError) { os.Exit(parser.ExitInvalidSettings) }
package parser

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/zeebo/errs"
)

// Error is the class of errors of this package other than [FileError].
var Error = errs.Class("parser")

const (
	// Version is the version of the settings format.
	Version = 1
	// ExitInvalidSettings is the exit code of a program with invalid settings.
	ExitInvalidSettings = 2
)

// FileError is the error for an invalid file.
type FileError struct {
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
func (e *FileError) Error() string {
	text := e.File
	if e.Line > 0 {
		text += fmt.Sprintf(":%d", e.Line)
	}
	if e.Field != "" {
		text += ": " + e.Field
	}
	return text + ": " + e.Reason
}

// Checker is implemented by types whose values are validated after decoding.
type Checker interface {
	// Check returns the path of an invalid field and the reason, or two empty strings.
	Check() (field, reason string)
}

// ParseFile reads, decodes and validates the YAML file at path.
func ParseFile[T any](path string) (*T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.New("reading %s: %w", path, err)
	}
	return Parse[T](path, data)
}

// Parse decodes and validates data; file is its name in errors.
func Parse[T any](file string, data []byte) (*T, error) {
	if exceedsDepth(data) {
		return nil, tooDeep(file)
	}
	if fileError := checkVersion(file, data); fileError != nil {
		return nil, fileError
	}
	return ParseUnversioned[T](file, data)
}

// ParseUnversioned is like [Parse], but for files whose field version, if any, is not
// the version of the file format.
func ParseUnversioned[T any](file string, data []byte) (*T, error) {
	if exceedsDepth(data) {
		return nil, tooDeep(file)
	}
	value := new(T)
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	if err := decoder.Decode(value); err != nil {
		var unknown *yaml.UnknownFieldError
		if errors.As(err, &unknown) {
			err = firstUnknown[T](data, unknown)
		}
		return nil, newFileError(file, err)
	}
	checker, ok := any(value).(Checker)
	if !ok {
		return value, nil
	}
	field, reason := checker.Check()
	if reason == "" {
		return value, nil
	}
	return nil, &FileError{File: file, Line: lineOf(data, field), Field: field, Reason: reason}
}

func tooDeep(file string) *FileError {
	return &FileError{File: file, Reason: fmt.Sprintf("is nested deeper than %d levels", maxDepth)}
}

// checkVersion rejects a file for a newer program. It runs before decoding, which
// would report unknown fields instead.
func checkVersion(file string, data []byte) *FileError {
	var header struct {
		Version int `yaml:"version"`
	}
	if err := yaml.Unmarshal(data, &header); err != nil || header.Version <= Version {
		return nil
	}
	return &FileError{
		File:   file,
		Line:   lineOf(data, "version"),
		Field:  "version",
		Reason: fmt.Sprintf("is %d; this program reads up to %d, so use a newer program or an older file", header.Version, Version),
	}
}

// newFileError converts an error of the YAML library to a FileError.
func newFileError(file string, err error) *FileError {
	fileError := &FileError{File: file, Reason: err.Error()}
	var positioned yaml.Error
	if errors.As(err, &positioned) {
		fileError.Reason = positioned.GetMessage()
		if token := positioned.GetToken(); token != nil && token.Position != nil {
			fileError.Line = token.Position.Line
			fileError.Field = token.Value
		}
	}
	return fileError
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
