// Package splitter keeps values for ranges of numeric keys.
//
// A [Map] covers the keys from 0 to its last one without gaps. Setting a value
// splits the pieces at the borders of the range; neighbours with equal values
// are merged, so the number of pieces is that of the changes of value.
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

// Piece is a range of keys, both ends included, with one value.
type Piece[V comparable] struct {
	From  uint32
	To    uint32
	Value V
}

// Map has a value for each key. It is not safe for concurrent use.
type Map[V comparable] struct {
	pieces []Piece[V]
}

// New returns a Map from 0 to last with the zero value everywhere.
func New[V comparable](last uint32) *Map[V] {
	return &Map[V]{pieces: []Piece[V]{{To: last}}}
}

// Clone returns a copy.
func (m *Map[V]) Clone() *Map[V] {
	return &Map[V]{pieces: slices.Clone(m.pieces)}
}

// Pieces lists the pieces in order. The list must not be changed.
func (m *Map[V]) Pieces() []Piece[V] {
	return m.pieces
}

// Last is the last key.
func (m *Map[V]) Last() uint32 {
	return m.pieces[len(m.pieces)-1].To
}

// Find returns the piece that holds key; keys beyond the last one are in the
// last piece.
func (m *Map[V]) Find(key uint32) Piece[V] {
	return m.pieces[m.index(key)]
}

func (m *Map[V]) index(key uint32) int {
	at := sort.Search(len(m.pieces), func(n int) bool { return m.pieces[n].To >= key })
	return min(at, len(m.pieces)-1)
}

// Within lists the parts of pieces that lie in a range.
func (m *Map[V]) Within(from, to uint32) []Piece[V] {
	var parts []Piece[V]
	for n := m.index(from); n < len(m.pieces) && m.pieces[n].From <= to; n++ {
		part := m.pieces[n]
		part.From = max(part.From, from)
		part.To = min(part.To, to)
		parts = append(parts, part)
	}
	return parts
}

// Set gives all keys of a range one value.
func (m *Map[V]) Set(from, to uint32, value V) {
	m.Update(from, to, func(V) V { return value })
}

// Update replaces the values of a range by what change returns for them.
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
	var fresh []Piece[V]
	if head := m.pieces[first]; head.From < from {
		fresh = append(fresh, Piece[V]{From: head.From, To: from - 1, Value: head.Value})
	}
	for _, part := range m.Within(from, to) {
		part.Value = change(part.Value)
		fresh = append(fresh, part)
	}
	if tail := m.pieces[last]; tail.To > to {
		fresh = append(fresh, Piece[V]{From: to + 1, To: tail.To, Value: tail.Value})
	}
	m.splice(first, last, fresh)
}

// splice replaces the pieces from first to last and merges equal neighbours.
func (m *Map[V]) splice(first, last int, fresh []Piece[V]) {
	if first > 0 {
		first--
		fresh = slices.Insert(fresh, 0, m.pieces[first])
	}
	if last < len(m.pieces)-1 {
		last++
		fresh = append(fresh, m.pieces[last])
	}
	m.pieces = slices.Replace(m.pieces, first, last+1, merge(fresh)...)
}

func merge[V comparable](pieces []Piece[V]) []Piece[V] {
	merged := pieces[:1]
	for _, piece := range pieces[1:] {
		if before := &merged[len(merged)-1]; before.Value == piece.Value {
			before.To = piece.To
			continue
		}
		merged = append(merged, piece)
	}
	return merged
}
