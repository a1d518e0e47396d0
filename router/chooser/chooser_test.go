package chooser_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/chooser"
)

var servers = []chooser.Candidate{
	{Session: 1, Domain: "a", Slots: 6}, {Session: 2, Domain: "b", Slots: 6}, {Session: 3, Domain: "c", Slots: 6},
}

// sendRequests sends requests that stay in flight and counts them by server.
func sendRequests(lb *chooser.Balancer, requirements chooser.Requirements, count int) map[uint64]int {
	counts := make(map[uint64]int)
	for range count {
		session := lb.Choose(0, servers, requirements)
		lb.Begin(session)
		counts[session]++
	}
	return counts
}

func report(lb *chooser.Balancer, session uint64, work messenger.ServerWork) {
	lb.Begin(session)
	lb.End(0, session, &work, false)
}

func TestChoice(t *testing.T) {
	tests := []struct {
		name         string
		prepare      func(lb *chooser.Balancer)
		requirements chooser.Requirements
		count        int
		check        func(counts map[uint64]int) bool
	}{
		{name: "even", count: 18, check: func(counts map[uint64]int) bool { return counts[1] >= 5 && counts[2] >= 5 && counts[3] >= 5 }},
		{
			// 18 requests at once: the limit leaves the server one at first and one more for
			// each half second that the others would take.
			name: "a server that named a limit receives few requests", count: 18,
			prepare: func(lb *chooser.Balancer) {
				for session, limit := range map[uint64]float32{1: 0, 2: 0, 3: 2} {
					report(lb, session, messenger.ServerWork{Slots: 6, Slowness: 0.25, Limit: limit})
				}
			},
			check: func(counts map[uint64]int) bool { return counts[3] >= 1 && counts[3] <= 2 },
		},
		{
			name: "a slow server receives fewer requests", count: 18,
			prepare: func(lb *chooser.Balancer) {
				for session, slowness := range map[uint64]float32{1: 0.25, 2: 0.25, 3: 0.75} {
					report(lb, session, messenger.ServerWork{Slots: 6, Slowness: slowness})
				}
			},
			check: func(counts map[uint64]int) bool { return counts[3] <= 2 },
		},
		{
			name: "a server without reports receives requests", count: 6,
			prepare: func(lb *chooser.Balancer) {
				report(lb, 1, messenger.ServerWork{Slots: 6, Slowness: 0.15})
				report(lb, 2, messenger.ServerWork{Slots: 6, Slowness: 0.15})
			},
			check: func(counts map[uint64]int) bool { return counts[3] >= 1 },
		},
		{
			name: "a full server receives no requests", count: 6,
			prepare: func(lb *chooser.Balancer) { report(lb, 1, messenger.ServerWork{Running: 6, Waiting: 9, Slots: 6}) },
			check:   func(counts map[uint64]int) bool { return counts[1] == 0 },
		},
		{
			name: "large responses stay in the local domain", count: 6, requirements: chooser.Requirements{Domain: "b", Bytes: 90_000, MaxLocalDelay: 200 * time.Millisecond},
			check: func(counts map[uint64]int) bool { return counts[2] == 6 },
		},
		{
			// The pace of the local server is high because of its other requests; this
			// request has a normal cost.
			name: "slow requests of others do not move large responses to another domain", count: 4,
			requirements: chooser.Requirements{Domain: "b", Bytes: 90_000, Aim: 400 * time.Millisecond, MaxLocalDelay: 160 * time.Millisecond},
			prepare: func(lb *chooser.Balancer) {
				for session, pace := range map[uint64]time.Duration{1: 40, 2: 640, 3: 40} {
					report(lb, session, messenger.ServerWork{Running: 2, Slots: 6, Pace: pace * time.Millisecond, Slowness: 0.3})
				}
			},
			check: func(counts map[uint64]int) bool { return counts[2] == 4 },
		},
		{
			name: "large responses leave a full local server", count: 8, requirements: chooser.Requirements{Domain: "b", Bytes: 90_000, MaxLocalDelay: 200 * time.Millisecond},
			prepare: func(lb *chooser.Balancer) { report(lb, 2, messenger.ServerWork{Running: 6, Waiting: 20, Slots: 6}) },
			check:   func(counts map[uint64]int) bool { return counts[2] == 0 },
		},
		{
			name: "a failing server receives no requests", count: 9,
			prepare: func(lb *chooser.Balancer) {
				for range 4 {
					lb.Begin(3)
					lb.End(0, 3, nil, true)
				}
			},
			check: func(counts map[uint64]int) bool { return counts[3] == 0 },
		},
		{
			name: "tried servers are avoided", count: 4, requirements: chooser.Requirements{Exclude: []uint64{1, 2}},
			check: func(counts map[uint64]int) bool { return counts[3] == 4 },
		},
		{
			name: "no server is left", count: 1, requirements: chooser.Requirements{Exclude: []uint64{1, 2, 3}},
			check: func(counts map[uint64]int) bool { return counts[0] == 1 },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			lb := chooser.New()
			if test.prepare != nil {
				test.prepare(lb)
			}
			counts := sendRequests(lb, test.requirements, test.count)
			qt.Assert(t, test.check(counts), qt.IsTrue, qt.Commentf("%v", counts))
		})
	}
}

// Guards against a server that was slow once and is never selected again, because
// without requests it cannot report that it has recovered.
func TestSlownessDecays(t *testing.T) {
	lb := chooser.New()
	for session, slowness := range map[uint64]float32{1: 0.2, 2: 0.2, 3: 0.5} {
		report(lb, session, messenger.ServerWork{Slots: 6, Slowness: slowness})
	}
	isChosen := func(now time.Duration) bool {
		for range 50 {
			if lb.Choose(now, servers, chooser.Requirements{}) == 3 {
				return true
			}
		}
		return false
	}
	qt.Assert(t, isChosen(time.Second), qt.IsFalse)
	qt.Assert(t, isChosen(time.Minute), qt.IsTrue)
}
