package parser

import (
	"bytes"
	"errors"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	yamlparser "github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// maxUnknownPasses limits the time spent on files with very many errors. Most files
// need two or three passes.
const maxUnknownPasses = 200

// firstUnknown returns the first unknown field in data. The YAML library reports an
// arbitrary one, found. So data is truncated before that field and decoded again
// until no unknown field is left. Values of the wrong type are removed as well,
// because decoding stops at them.
func firstUnknown[T any](data []byte, found *yaml.UnknownFieldError) *yaml.UnknownFieldError {
	file, err := yamlparser.ParseBytes(data, 0)
	if err != nil {
		return found
	}
	document := slices.IndexFunc(file.Docs, func(d *ast.DocumentNode) bool { return d.Body != nil })
	if document < 0 {
		return found
	}
	body := file.Docs[document].Body
	var positioned yaml.Error = found
	for range maxUnknownPasses {
		t := positioned.GetToken()
		if t == nil || t.Position == nil {
			return found
		}
		if unknown, ok := positioned.(*yaml.UnknownFieldError); ok {
			found = unknown
			truncate(body, t.Position)
		} else if !removeEntry(body, t.Position) {
			return found
		}
		err := yaml.NewDecoder(bytes.NewReader(nil), yaml.Strict()).DecodeFromNode(body, new(T))
		if !errors.As(err, &positioned) {
			return found
		}
	}
	return found
}

// truncate removes all entries of mappings and sequences below node that start at
// or after position.
func truncate(node ast.Node, position *token.Position) {
	switch n := node.(type) {
	case *ast.AnchorNode:
		truncate(n.Value, position)
	case *ast.TagNode:
		truncate(n.Value, position)
	case *ast.MappingNode:
		n.Values = slices.DeleteFunc(n.Values, func(entry *ast.MappingValueNode) bool {
			return comparePosition(entry.Key, position) >= 0
		})
		for _, entry := range n.Values {
			truncate(entry.Value, position)
		}
	case *ast.SequenceNode:
		n.Values = slices.DeleteFunc(n.Values, func(value ast.Node) bool {
			return comparePosition(value, position) >= 0
		})
		for _, value := range n.Values {
			truncate(value, position)
		}
	}
}

// removeEntry removes the innermost entry of a mapping or sequence below node
// whose key or value starts at position, and reports whether there was one.
func removeEntry(node ast.Node, position *token.Position) bool {
	switch n := node.(type) {
	case *ast.AnchorNode:
		return removeEntry(n.Value, position)
	case *ast.TagNode:
		return removeEntry(n.Value, position)
	case *ast.MappingNode:
		for i, entry := range n.Values {
			if removeEntry(entry.Value, position) {
				return true
			}
			if comparePosition(entry.Key, position) == 0 || comparePosition(entry.Value, position) == 0 {
				n.Values = slices.Delete(n.Values, i, i+1)
				return true
			}
		}
	case *ast.SequenceNode:
		for i, value := range n.Values {
			if removeEntry(value, position) {
				return true
			}
			if comparePosition(value, position) == 0 {
				n.Values = slices.Delete(n.Values, i, i+1)
				return true
			}
		}
	}
	return false
}

// comparePosition returns a negative number, 0 or a positive number when node
// starts before, at or after position. Nodes without a position are treated as
// before it.
func comparePosition(node ast.Node, position *token.Position) int {
	if node == nil {
		return -1
	}
	t := node.GetToken()
	if t == nil || t.Position == nil {
		return -1
	}
	if t.Position.Line != position.Line {
		return t.Position.Line - position.Line
	}
	return t.Position.Column - position.Column
}
