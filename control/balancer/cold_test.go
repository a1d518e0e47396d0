package balancer_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/balancer"
)

// coldServers returns servers of which the first ones are cold with a rate.
func coldServers(cold int, rate float64, requestSeconds ...float64) []balancer.RangeServer {
	servers := newServers(requestSeconds...)
	for n := range cold {
		servers[n].ColdRate = rate
	}
	return servers
}

// flatArrivals are equal rates for all keys with a sum.
func flatArrivals(sum float64) []float64 {
	arrivals := make([]float64, keys)
	for key := range arrivals {
		arrivals[key] = sum / keys
	}
	return arrivals
}

// Guards against free keys that go to a server that has just returned, because it has no
// load, while warm ones can take them; and against keys that nobody gets.
func TestFreeRangesGoToWarmServers(t *testing.T) {
	tests := []struct {
		name string
		cold int
		// failing is the number of warm servers that fail all requests.
		failing int
		rate    float64
		want    []uint64
	}{
		{name: "warm ones", cold: 2, rate: 15, want: []uint64{3, 4}},
		{name: "only cold ones", cold: 4, rate: 15, want: []uint64{1, 2, 3, 4}},
		{name: "the only warm one fails", cold: 3, failing: 1, rate: 15, want: []uint64{1, 2, 3}},
		{name: "no rate", cold: 2, want: []uint64{1, 2, 3, 4}},
	}
	for _, test := range tests {
		servers := coldServers(test.cold, test.rate, 0.1, 0.1, 0.1, 0.1)
		for n := range test.failing {
			servers[test.cold+n].FailureRate = 1
		}
		var ranges []balancer.Range
		for n := range uint32(16) {
			ranges = append(ranges, balancer.Range{From: n * keys / 16, To: (n+1)*keys/16 - 1})
		}
		got := make(map[uint64]bool)
		for _, placed := range balancer.PlaceFree(ranges, servers, flatArrivals(100)) {
			got[placed.Session] = true
		}
		want := make(map[uint64]bool)
		for _, session := range test.want {
			want[session] = true
		}
		qt.Check(t, got, qt.DeepEquals, want, qt.Commentf(test.name))
	}
}

// Guards against a server that is cold again and keeps all its keys, since its slots seem
// to suffice for them: it can handle only its rate.
func TestRangesLeaveServerThatIsColdAgain(t *testing.T) {
	servers := coldServers(1, 8, 0.1, 0.1, 0.1, 0.1)
	var ranges []balancer.Range
	for n := range uint32(16) {
		ranges = append(ranges, balancer.Range{From: n * keys / 16, To: (n+1)*keys/16 - 1, Owner: uint64(n%4) + 1})
	}
	arrivals := flatArrivals(120)
	moves := balancer.Rebalance(ranges, servers, arrivals)
	rate := 0.0
	for key, owner := range ownersOf(ranges, moves) {
		if owner == 1 {
			rate += arrivals[key]
		}
	}
	qt.Check(t, rate < 16, qt.IsTrue, qt.Commentf("%.0f requests per second stay", rate))
	for _, move := range moves {
		qt.Check(t, move.Session, qt.Not(qt.Equals), uint64(1))
	}
	// The same load is no reason to move anything from a warm server.
	servers[0].ColdRate = 0
	qt.Check(t, balancer.Rebalance(ranges, servers, arrivals), qt.HasLen, 0)
}
