// Package splitter implements a map from numeric keys to values that stores ranges
// of keys with equal values.
//
// A [Map] covers the keys from 0 to its last key without gaps. Setting a value
// splits the pieces at the ends of the range. Adjacent pieces with equal values are
// merged, so that two adjacent pieces always have different values.
//
// # Usage
//
//	owners := splitter.New[string](65535)
//	owners.Set(100, 199, "r1")
//	piece := owners.Find(150) // {From: 100, To: 199, Value: "r1"}
package splitter

import (
	"slices"
	"sort"
)

// Piece is a range of keys with one value. The range includes both ends.
type Piece[V comparable] struct {
	From  uint32
	To    uint32
	Value V
}

// Map maps each key to a value. It is not safe for concurrent use.
type Map[V comparable] struct {
	pieces []Piece[V]
}

// New returns a Map of the keys from 0 to last, all with the zero value.
func New[V comparable](last uint32) *Map[V] {
	return &Map[V]{pieces: []Piece[V]{{To: last}}}
}

func (m *Map[V]) Clone() *Map[V] {
	return &Map[V]{pieces: slices.Clone(m.pieces)}
}

// Pieces returns the pieces in order. The slice must not be modified.
func (m *Map[V]) Pieces() []Piece[V] {
	return m.pieces
}

// Last returns the last key.
func (m *Map[V]) Last() uint32 {
	return m.pieces[len(m.pieces)-1].To
}

// Find returns the piece that contains key, or the last piece if key is beyond the
// last key.
func (m *Map[V]) Find(key uint32) Piece[V] {
	return m.pieces[m.index(key)]
}

// index returns the index of the piece that Find returns.
func (m *Map[V]) index(key uint32) int {
	found := sort.Search(len(m.pieces), func(n int) bool { return m.pieces[n].To >= key })
	return min(found, len(m.pieces)-1)
}

// Within returns the pieces that overlap a range, clipped to it.
func (m *Map[V]) Within(from, to uint32) []Piece[V] {
	var clipped []Piece[V]
	for n := m.index(from); n < len(m.pieces) && m.pieces[n].From <= to; n++ {
		piece := m.pieces[n]
		piece.From = max(piece.From, from)
		piece.To = min(piece.To, to)
		clipped = append(clipped, piece)
	}
	return clipped
}

// Set sets the value of all keys of a range. Keys beyond the last key are ignored.
func (m *Map[V]) Set(from, to uint32, value V) {
	m.Update(from, to, func(V) V { return value })
}

// Update replaces each value in a range by the result of change. Keys beyond the last
// key are ignored.
func (m *Map[V]) Update(from, to uint32, change func(V) V) {
	to = min(to, m.Last())
	if from > to {
		return
	}
	first := m.index(from)
	last := first
	for last < len(m.pieces)-1 && m.pieces[last].To < to {
		last++
	}
	var replacement []Piece[V]
	if firstPiece := m.pieces[first]; firstPiece.From < from {
		replacement = append(replacement, Piece[V]{From: firstPiece.From, To: from - 1, Value: firstPiece.Value})
	}
	for _, piece := range m.Within(from, to) {
		piece.Value = change(piece.Value)
		replacement = append(replacement, piece)
	}
	if lastPiece := m.pieces[last]; lastPiece.To > to {
		replacement = append(replacement, Piece[V]{From: to + 1, To: lastPiece.To, Value: lastPiece.Value})
	}
	m.splice(first, last, replacement)
}

// splice replaces the pieces from first to last and merges adjacent pieces with
// equal values.
func (m *Map[V]) splice(first, last int, replacement []Piece[V]) {
	if first > 0 {
		first--
		replacement = slices.Insert(replacement, 0, m.pieces[first])
	}
	if last < len(m.pieces)-1 {
		last++
		replacement = append(replacement, m.pieces[last])
	}
	m.pieces = slices.Replace(m.pieces, first, last+1, merge(replacement)...)
}

// merge merges adjacent pieces with equal values in place.
func merge[V comparable](pieces []Piece[V]) []Piece[V] {
	merged := pieces[:1]
	for _, piece := range pieces[1:] {
		if previous := &merged[len(merged)-1]; previous.Value == piece.Value {
			previous.To = piece.To
			continue
		}
		merged = append(merged, piece)
	}
	return merged
}
