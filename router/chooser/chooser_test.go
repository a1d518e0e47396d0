package chooser_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/chooser"
)

var fleet = []chooser.Candidate{
	{Session: 1, Domain: "a", Slots: 6}, {Session: 2, Domain: "b", Slots: 6}, {Session: 3, Domain: "c", Slots: 6},
}

// shares plays requests that stay open and returns how many each server got.
func shares(board *chooser.Board, wish chooser.Wish, count int) map[uint64]int {
	got := make(map[uint64]int)
	for range count {
		session := board.Choose(0, fleet, wish)
		board.Begin(session)
		got[session]++
	}
	return got
}

func say(board *chooser.Board, session uint64, work messenger.ServerWork) {
	board.Begin(session)
	board.End(0, session, &work, false)
}

func TestChoice(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(board *chooser.Board)
		wish    chooser.Wish
		count   int
		check   func(got map[uint64]int) bool
	}{
		{name: "even", count: 18, check: func(got map[uint64]int) bool { return got[1] >= 5 && got[2] >= 5 && got[3] >= 5 }},
		{
			name: "a slow server gets less", count: 18,
			prepare: func(board *chooser.Board) {
				for session, slowness := range map[uint64]float32{1: 0.25, 2: 0.25, 3: 0.75} {
					say(board, session, messenger.ServerWork{Slots: 6, Slowness: slowness})
				}
			},
			check: func(got map[uint64]int) bool { return got[3] <= 2 },
		},
		{
			name: "a new server is asked", count: 6,
			prepare: func(board *chooser.Board) {
				say(board, 1, messenger.ServerWork{Slots: 6, Slowness: 0.15})
				say(board, 2, messenger.ServerWork{Slots: 6, Slowness: 0.15})
			},
			check: func(got map[uint64]int) bool { return got[3] >= 1 },
		},
		{
			name: "a full server gets nothing", count: 6,
			prepare: func(board *chooser.Board) { say(board, 1, messenger.ServerWork{Running: 6, Waiting: 9, Slots: 6}) },
			check:   func(got map[uint64]int) bool { return got[1] == 0 },
		},
		{
			name: "large answers stay at home", count: 6, wish: chooser.Wish{Domain: "b", Bytes: 90_000, Patience: 200 * time.Millisecond},
			check: func(got map[uint64]int) bool { return got[2] == 6 },
		},
		{
			// What home has to do takes long; this request does not.
			name: "long work of others does not drive large answers away", count: 4,
			wish: chooser.Wish{Domain: "b", Bytes: 90_000, Aim: 400 * time.Millisecond, Patience: 160 * time.Millisecond},
			prepare: func(board *chooser.Board) {
				for session, pace := range map[uint64]time.Duration{1: 40, 2: 640, 3: 40} {
					say(board, session, messenger.ServerWork{Running: 2, Slots: 6, Pace: pace * time.Millisecond, Slowness: 0.3})
				}
			},
			check: func(got map[uint64]int) bool { return got[2] == 4 },
		},
		{
			name: "large answers leave a full home", count: 8, wish: chooser.Wish{Domain: "b", Bytes: 90_000, Patience: 200 * time.Millisecond},
			prepare: func(board *chooser.Board) { say(board, 2, messenger.ServerWork{Running: 6, Waiting: 20, Slots: 6}) },
			check:   func(got map[uint64]int) bool { return got[2] == 0 },
		},
		{
			name: "a server that fails is left alone", count: 9,
			prepare: func(board *chooser.Board) {
				for range 4 {
					board.Begin(3)
					board.End(0, 3, nil, true)
				}
			},
			check: func(got map[uint64]int) bool { return got[3] == 0 },
		},
		{
			name: "tried ones are avoided", count: 4, wish: chooser.Wish{Avoid: []uint64{1, 2}},
			check: func(got map[uint64]int) bool { return got[3] == 4 },
		},
		{
			name: "nobody is left", count: 1, wish: chooser.Wish{Avoid: []uint64{1, 2, 3}},
			check: func(got map[uint64]int) bool { return got[0] == 1 },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			board := chooser.New()
			if test.prepare != nil {
				test.prepare(board)
			}
			got := shares(board, test.wish, test.count)
			qt.Assert(t, test.check(got), qt.IsTrue, qt.Commentf("%v", got))
		})
	}
}

// A server that was slow once is asked again after a while.
func TestSlownessFades(t *testing.T) {
	board := chooser.New()
	for session, slowness := range map[uint64]float32{1: 0.2, 2: 0.2, 3: 0.5} {
		say(board, session, messenger.ServerWork{Slots: 6, Slowness: slowness})
	}
	asked := func(now time.Duration) bool {
		for range 50 {
			if board.Choose(now, fleet, chooser.Wish{}) == 3 {
				return true
			}
		}
		return false
	}
	qt.Assert(t, asked(time.Second), qt.IsFalse)
	qt.Assert(t, asked(time.Minute), qt.IsTrue)
}
