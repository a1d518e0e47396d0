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

// revisionComment matches the comment that holds the revision on which a file is
// based. The show commands write it, and the apply commands read it.
var revisionComment = regexp.MustCompile(`(?m)^# revision: "?([^"\s]+)"?\s*$`)

// source holds the arguments and flags of commands that read a file.
type source struct {
	File     string `arg:"" help:"YAML file; - means standard input."`
	Revision string `help:"Revision on which the file is based, instead of the one in the file." placeholder:"N"`
	Force    bool   `help:"Replace the current value whatever its revision."`
}

// document is a parsed YAML file with the ETag of the revision on which it is based.
type document[T any] struct {
	value T
	etag  string
	force bool
}

// parse parses YAML as a T. Error messages refer to data by the name file.
type parse[T any] func(file string, data []byte) (*T, error)

// loadDocument reads and validates a YAML file. The revision flag takes precedence
// over the revision comment in the file.
func loadDocument[T any](source source, parse parse[T]) (document[T], error) {
	var empty document[T]
	data, err := readSource(source.File)
	if err != nil {
		return empty, err
	}
	value, err := parse(source.File, data)
	if err != nil {
		return empty, Error.New("%w", err)
	}
	result := document[T]{value: *value, etag: formatETag(source.Revision), force: source.Force}
	if match := revisionComment.FindSubmatch(data); match != nil && result.etag == "" {
		result.etag = formatETag(string(match[1]))
	}
	return result, nil
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
		return nil, Error.New("reading standard input: %w", err)
	}
	return data, nil
}

// formatETag returns the ETag of a revision, or "" if there is none. The revision may
// already be quoted.
func formatETag(revision string) string {
	if revision == "" {
		return ""
	}
	return `"` + strings.Trim(revision, `"`) + `"`
}

// show prints the value at path as YAML with its revision, or as JSON.
func show[T any](ctx context.Context, e *environment, path string) error {
	response, err := requester.Get[T](ctx, e.requester, path)
	if err != nil {
		return Error.New("reading %s: %w", path, err)
	}
	if e.printer.Format == printer.FormatJSON {
		return e.printer.JSON(response.Value)
	}
	text, err := yaml.Marshal(response.Value)
	if err != nil {
		return Error.New("encoding %s: %w", path, err)
	}
	return e.printer.Text("# revision: " + strings.Trim(response.ETag, `"`) + "\n" + string(text))
}

// apply replaces the value at path with a document. With force, it replaces the
// revision that is current now instead of the one on which the document is based.
func apply[T any](ctx context.Context, e *environment, subject, path string, document document[T]) error {
	ifMatch := document.etag
	if document.force {
		response, err := requester.Get[T](ctx, e.requester, path)
		if err != nil && exitCode(err) != exitNotFound {
			return Error.New("reading %s: %w", path, err)
		}
		ifMatch = response.ETag
	}
	change := requester.Change{Method: http.MethodPut, Path: path, Body: document.value, IfMatch: ifMatch}
	return e.change(ctx, subject, change)
}

// diff prints the fields in which a document differs from the current value at path.
// It returns errDiffers if there are any.
func diff[T any](ctx context.Context, e *environment, path string, document document[T]) error {
	response, err := requester.Get[T](ctx, e.requester, path)
	var refusal *requester.Refusal
	isMissing := errors.As(err, &refusal) && refusal.IsNotFound()
	if err != nil && !isMissing {
		return Error.New("reading %s: %w", path, err)
	}
	current := ""
	if !isMissing {
		if current, err = marshalYAML(response.Value); err != nil {
			return err
		}
	}
	desired, err := marshalYAML(document.value)
	if err != nil {
		return err
	}
	lines := printer.Differences(current, desired)
	if lines == "" {
		return nil
	}
	if err := e.printer.Text(lines); err != nil {
		return err
	}
	return errDiffers
}

func marshalYAML(value any) (string, error) {
	text, err := yaml.Marshal(value)
	if err != nil {
		return "", Error.New("encoding YAML: %w", err)
	}
	return string(text), nil
}
