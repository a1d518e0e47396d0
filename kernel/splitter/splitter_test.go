package splitter_test

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/splitter"
)

type piece = splitter.Piece[string]

func TestSet(t *testing.T) {
	tests := []struct {
		name string
		set  []piece
		want []piece
	}{
		{name: "nothing", want: []piece{{From: 0, To: 99}}},
		{name: "middle", set: []piece{{10, 19, "a"}}, want: []piece{{0, 9, ""}, {10, 19, "a"}, {20, 99, ""}}},
		{name: "all", set: []piece{{10, 19, "a"}, {0, 99, "b"}}, want: []piece{{0, 99, "b"}}},
		{name: "beyond the last key", set: []piece{{90, 500, "a"}}, want: []piece{{0, 89, ""}, {90, 99, "a"}}},
		{name: "adjacent pieces merge", set: []piece{{10, 19, "a"}, {30, 39, "a"}, {20, 29, "a"}}, want: []piece{{0, 9, ""}, {10, 39, "a"}, {40, 99, ""}}},
		{name: "across a piece boundary", set: []piece{{10, 19, "a"}, {15, 24, "b"}}, want: []piece{{0, 9, ""}, {10, 14, "a"}, {15, 24, "b"}, {25, 99, ""}}},
		{name: "one key", set: []piece{{0, 0, "a"}, {99, 99, "b"}}, want: []piece{{0, 0, "a"}, {1, 98, ""}, {99, 99, "b"}}},
	}
	for _, test := range tests {
		m := splitter.New[string](99)
		for _, set := range test.set {
			m.Set(set.From, set.To, set.Value)
		}
		qt.Check(t, m.Pieces(), qt.DeepEquals, test.want, qt.Commentf(test.name))
	}
}

func TestWithin(t *testing.T) {
	m := splitter.New[string](99)
	m.Set(10, 19, "a")
	qt.Assert(t, m.Within(15, 25), qt.DeepEquals, []piece{{15, 19, "a"}, {20, 25, ""}})
	qt.Assert(t, m.Find(12), qt.DeepEquals, piece{10, 19, "a"})
	qt.Assert(t, m.Find(1000), qt.DeepEquals, piece{20, 99, ""})
}

// TestRandomChanges compares a Map with an array of one value per key after random
// updates, and checks that its pieces have no gaps and are merged.
func TestRandomChanges(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		m := splitter.New[int](63)
		var expected [64]int
		for range 200 {
			from := random.Uint32N(64)
			to := from + random.Uint32N(64-from)
			increment := random.IntN(3)
			m.Update(from, to, func(v int) int { return (v + increment) % 4 })
			for key := from; key <= to; key++ {
				expected[key] = (expected[key] + increment) % 4
			}
			next := uint32(0)
			for n, p := range m.Pieces() {
				qt.Assert(t, p.From, qt.Equals, next)
				qt.Assert(t, n > 0 && m.Pieces()[n-1].Value == p.Value, qt.IsFalse)
				next = p.To + 1
			}
			qt.Assert(t, next, qt.Equals, uint32(64))
			for key, want := range expected {
				qt.Assert(t, m.Find(uint32(key)).Value, qt.Equals, want, qt.Commentf("seed %d", seed))
			}
		}
	}
}
