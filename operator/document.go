package main

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"

	"github.com/goccy/go-yaml"

	"marigoldhill/operator/printer"
	"marigoldhill/operator/requester"
)

// revisionLine is the comment by which a document says what revision it was
// made from; show writes it and apply reads it.
var revisionLine = regexp.MustCompile(`(?m)^# revision: "?([^"\s]+)"?\s*$`)

// source is the file that a command reads.
type source struct {
	File     string `arg:"" help:"YAML file; - is the standard input."`
	Revision string `help:"Revision that the file was made from, instead of the one in the file." placeholder:"N"`
	Force    bool   `help:"Replace whatever is in force now."`
}

// document is a YAML file with the tag of the revision that it was made from.
type document[T any] struct {
	value T
	tag   string
	force bool
}

// parse reads a T from YAML; file stands for the data in mistakes.
type parse[T any] func(file string, data []byte) (*T, error)

// load reads and checks a document.
func load[T any](source source, parse parse[T]) (document[T], error) {
	var none document[T]
	data, err := readSource(source.File)
	if err != nil {
		return none, err
	}
	value, err := parse(source.File, data)
	if err != nil {
		return none, Error.New("%w", err)
	}
	found := document[T]{value: *value, tag: quoteTag(source.Revision), force: source.Force}
	if match := revisionLine.FindSubmatch(data); match != nil && found.tag == "" {
		found.tag = quoteTag(string(match[1]))
	}
	return found, nil
}

func readSource(file string) ([]byte, error) {
	if file != "-" {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, Error.New("reading the file: %w", err)
		}
		return data, nil
	}
	data, err := io.ReadAll(os.Stdin)
	if err != nil {
		return nil, Error.New("reading the standard input: %w", err)
	}
	return data, nil
}

// quoteTag makes an entity tag of a revision.
func quoteTag(revision string) string {
	if revision == "" {
		return ""
	}
	return `"` + strings.Trim(revision, `"`) + `"`
}

// show prints one value as YAML with its revision, or as JSON.
func show[T any](ctx context.Context, e *environment, path string) error {
	got, err := requester.Get[T](ctx, e.requester, path)
	if err != nil {
		return Error.New("reading %s: %w", path, err)
	}
	if e.printer.Format == printer.FormatJSON {
		return e.printer.JSON(got.Value)
	}
	text, err := yaml.Marshal(got.Value)
	if err != nil {
		return Error.New("encoding %s: %w", path, err)
	}
	return e.printer.Text("# revision: " + strings.Trim(got.Tag, `"`) + "\n" + string(text))
}

// apply sends a document as the new value at path.
func apply[T any](ctx context.Context, e *environment, subject, path string, document document[T]) error {
	match := document.tag
	if document.force {
		got, err := requester.Get[T](ctx, e.requester, path)
		if err != nil && codeOf(err) != exitMissing {
			return Error.New("reading %s: %w", path, err)
		}
		match = got.Tag
	}
	change := requester.Change{Method: http.MethodPut, Path: path, Body: document.value, Match: match}
	return e.change(ctx, subject, change)
}

// diff compares a document with the value in force at path, field by field.
func diff[T any](ctx context.Context, e *environment, path string, document document[T]) error {
	got, err := requester.Get[T](ctx, e.requester, path)
	var refusal *requester.Refusal
	isMissing := errors.As(err, &refusal) && refusal.IsMissing()
	if err != nil && !isMissing {
		return Error.New("reading %s: %w", path, err)
	}
	old := ""
	if !isMissing {
		if old, err = yamlText(got.Value); err != nil {
			return err
		}
	}
	now, err := yamlText(document.value)
	if err != nil {
		return err
	}
	lines := printer.Differences(old, now)
	if lines == "" {
		return nil
	}
	if err := e.printer.Text(lines); err != nil {
		return err
	}
	return errDiffers
}

func yamlText(value any) (string, error) {
	text, err := yaml.Marshal(value)
	if err != nil {
		return "", Error.New("encoding YAML: %w", err)
	}
	return string(text), nil
}
