package balancer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/balancer"
	"marigoldhill/kernel/messenger"
)

const keys = messenger.LastKey + 1

func newServers(requestSeconds ...float64) []balancer.RangeServer {
	var servers []balancer.RangeServer
	for n, seconds := range requestSeconds {
		servers = append(servers, balancer.RangeServer{
			Session: uint64(n + 1), Domain: fmt.Sprintf("d%d", n%3), Slots: 6, RequestSeconds: seconds, Accepts: true,
		})
	}
	return servers
}

// ownersOf applies placements to ranges and returns the owner of each key.
func ownersOf(ranges []balancer.Range, placed []balancer.PlacedRange) []uint64 {
	owners := make([]uint64, keys)
	for _, r := range ranges {
		for key := r.From; key <= r.To; key++ {
			owners[key] = r.Owner
		}
	}
	for _, placement := range placed {
		for key := placement.From; key <= placement.To; key++ {
			owners[key] = placement.Session
		}
	}
	return owners
}

func rangesOf(owners []uint64) []balancer.Range {
	var ranges []balancer.Range
	for key, owner := range owners {
		if last := len(ranges) - 1; last >= 0 && ranges[last].Owner == owner {
			ranges[last].To = uint32(key)
			continue
		}
		ranges = append(ranges, balancer.Range{From: uint32(key), To: uint32(key), Owner: owner})
	}
	return ranges
}

// utilizations returns the largest and the mean utilization of the servers that
// accept ranges.
func utilizations(owners []uint64, servers []balancer.RangeServer, arrivals []float64) (most, mean float64) {
	arrivalsOf := make(map[uint64]float64)
	for key, owner := range owners {
		arrivalsOf[owner] += arrivals[key]
	}
	for _, server := range servers {
		if !server.Accepts {
			continue
		}
		utilization := arrivalsOf[server.Session] * server.RequestSeconds / float64(server.Slots)
		most = math.Max(most, utilization)
		mean += utilization / float64(len(servers))
	}
	return most, mean
}

func TestPlaceInitialCoversAllKeys(t *testing.T) {
	servers := newServers(0, 0, 0, 0, 0)
	servers[4].Slots = 12
	servers = append(servers, balancer.RangeServer{Session: 9, Slots: 6, Draining: true})
	owners := ownersOf(nil, balancer.PlaceInitial(servers))
	counts := make(map[uint64]int)
	for key, owner := range owners {
		qt.Assert(t, owner != 0 && owner != 9, qt.IsTrue, qt.Commentf("key %d has owner %d", key, owner))
		counts[owner]++
	}
	qt.Check(t, math.Abs(float64(counts[1])-keys/6) < 20, qt.IsTrue, qt.Commentf("%v", counts))
	qt.Check(t, math.Abs(float64(counts[5])-keys/3) < 20, qt.IsTrue, qt.Commentf("%v", counts))
	qt.Check(t, balancer.PlaceInitial(nil), qt.HasLen, 0)
}

// A run of neighboring keys becomes hot, within one range or as a single key.
func TestRebalanceMovesHotKeys(t *testing.T) {
	tests := []struct {
		name  string
		count int
		share float64
		want  float64
		// moved bounds the keys that move: about the hot ones, or a part of the
		// others when the hot key cannot be split.
		moved int
	}{
		{name: "200 keys with 36% of the load", count: 200, share: 0.36, want: 1.35, moved: keys / 20},
		{name: "60 keys with 33%", count: 60, share: 0.33, want: 1.35, moved: keys / 20},
		{name: "one key with 15%", count: 1, share: 0.15, want: 1.5, moved: keys / 8},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			servers := newServers(0.15, 0.15, 0.15, 0.15, 0.15)
			owners := ownersOf(nil, balancer.PlaceInitial(servers))
			arrivals := make([]float64, keys)
			for key := range arrivals {
				arrivals[key] = 150 * (1 - test.share) / keys
			}
			for n := range test.count {
				arrivals[30_000+n] += 150 * test.share / float64(test.count)
			}
			before, _ := utilizations(owners, servers, arrivals)
			moved := 0
			for range 6 {
				placed := balancer.Rebalance(rangesOf(owners), servers, arrivals)
				for _, placement := range placed {
					moved += int(placement.To-placement.From) + 1
				}
				owners = ownersOf(rangesOf(owners), placed)
			}
			most, mean := utilizations(owners, servers, arrivals)
			qt.Check(t, most < before && most <= test.want*mean, qt.IsTrue,
				qt.Commentf("busiest %.2f, was %.2f, mean %.2f", most, before, mean))
			qt.Check(t, moved < test.moved, qt.IsTrue, qt.Commentf("%d keys moved", moved))
			again := balancer.Rebalance(rangesOf(owners), servers, arrivals)
			qt.Check(t, len(again) <= 1, qt.IsTrue, qt.Commentf("ranges still move: %v", again))
		})
	}
}

func TestRebalanceKeepsIdleAndEvenServers(t *testing.T) {
	tests := []struct {
		name string
		rate float64
		hot  float64
	}{
		{name: "even load", rate: 150},
		{name: "uneven below the minimum utilization", rate: 10, hot: 5},
	}
	for _, test := range tests {
		servers := newServers(0.15, 0.15, 0.15, 0.15, 0.15)
		owners := ownersOf(nil, balancer.PlaceInitial(servers))
		arrivals := make([]float64, keys)
		for key := range arrivals {
			arrivals[key] = test.rate / keys
		}
		arrivals[7] += test.hot
		qt.Check(t, balancer.Rebalance(rangesOf(owners), servers, arrivals), qt.HasLen, 0, qt.Commentf(test.name))
	}
}

// A server that takes longer for a request gets fewer requests, so that the
// utilizations of all servers are similar.
func TestRebalanceConsidersRequestTime(t *testing.T) {
	servers := newServers(0.1, 0.1, 0.25)
	owners := ownersOf(nil, balancer.PlaceInitial(servers))
	arrivals := make([]float64, keys)
	for key := range arrivals {
		arrivals[key] = 90.0 / keys
	}
	for range 12 {
		owners = ownersOf(rangesOf(owners), balancer.Rebalance(rangesOf(owners), servers, arrivals))
	}
	most, mean := utilizations(owners, servers, arrivals)
	qt.Assert(t, most < 1.3*mean, qt.IsTrue, qt.Commentf("busiest %.2f, mean %.2f", most, mean))
}

func TestRangesOfLostAndLeavingServersMove(t *testing.T) {
	servers := newServers(0.15, 0.15, 0.15, 0.15)
	owners := ownersOf(nil, balancer.PlaceInitial(servers))
	arrivals := make([]float64, keys)
	for key := range arrivals {
		arrivals[key] = 60.0 / keys
	}
	lost := make([]uint64, keys)
	for key, owner := range owners {
		if owner != 2 {
			lost[key] = owner
		}
	}
	remaining := append(servers[:1:1], servers[2:]...)
	placed := ownersOf(rangesOf(lost), balancer.PlaceFree(rangesOf(lost), remaining, arrivals))
	leaving := append([]balancer.RangeServer{}, servers...)
	leaving[1].Accepts, leaving[1].Draining = false, true
	drained := ownersOf(rangesOf(owners), balancer.Drain(rangesOf(owners), leaving, arrivals))
	for name, after := range map[string][]uint64{"lost": placed, "leaving": drained} {
		for key, owner := range after {
			qt.Assert(t, owner != 0 && owner != 2, qt.IsTrue, qt.Commentf("%s: key %d has owner %d", name, key, owner))
		}
		most, mean := utilizations(after, remaining, arrivals)
		qt.Check(t, most < 1.3*mean, qt.IsTrue, qt.Commentf("%s: busiest %.2f, mean %.2f", name, most, mean))
	}
	qt.Check(t, balancer.PlaceFree(rangesOf(owners), servers, arrivals), qt.HasLen, 0)
	qt.Check(t, balancer.Drain(rangesOf(owners), servers, arrivals), qt.HasLen, 0)
}

// Two of five servers come back empty after a restart, while the others own many
// small ranges. Two calls must be enough to use the returned servers again.
func TestRebalanceUsesReturnedServers(t *testing.T) {
	servers := newServers(0.15, 0.15, 0.15, 0.15, 0.15)
	owners := ownersOf(nil, balancer.PlaceInitial(servers))
	random := rand.New(rand.NewPCG(5, 5))
	for key := range owners {
		if key%512 == 0 || owners[key] > 3 {
			owners[key] = uint64(1 + key/512%3)
		}
	}
	arrivals := make([]float64, keys)
	for range 600 {
		// Busy keys lie close together.
		arrivals[min(int(random.ExpFloat64()*9000), keys-1)] += 150.0 / 600
	}
	for range 2 {
		owners = ownersOf(rangesOf(owners), balancer.Rebalance(rangesOf(owners), servers, arrivals))
	}
	most, mean := utilizations(owners, servers, arrivals)
	qt.Assert(t, most <= 1.3*mean, qt.IsTrue, qt.Commentf("busiest %.2f, mean %.2f", most, mean))
}

// One of five servers passes its health check but fails its requests. While the
// others have capacity, its keys move; a server that fails only some requests keeps
// a part of its keys.
func TestRangesOfFailingServersMove(t *testing.T) {
	arrivals := make([]float64, keys)
	for key := range arrivals {
		arrivals[key] = 90.0 / keys
	}
	tests := []struct {
		name         string
		failureRates []float64
		// least and most bound the fraction of all keys that the first server
		// keeps.
		least, most float64
	}{
		{name: "no server fails", failureRates: []float64{0, 0.01, 0, 0.02, 0}, least: 0.19, most: 0.21},
		{name: "one fails all", failureRates: []float64{0.97, 0, 0, 0, 0}, least: 0, most: 0},
		// Its fraction of the effective slots is 0.14, and Rebalance leaves an
		// imbalance of 15%.
		{name: "one fails a third", failureRates: []float64{0.35, 0, 0, 0, 0}, least: 0.08, most: 0.165},
		{name: "all fail alike, by a service that they call", failureRates: []float64{0.8, 0.7, 0.8, 0.75, 0.8}, least: 0.15, most: 0.25},
		{name: "most fail", failureRates: []float64{0.9, 0.9, 0.9, 0.9, 0}, least: 0.15, most: 0.25},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			servers := newServers(0.15, 0.15, 0.15, 0.15, 0.15)
			owners := ownersOf(nil, balancer.PlaceInitial(servers))
			for n := range servers {
				servers[n].FailureRate = test.failureRates[n]
			}
			for range 3 {
				owners = ownersOf(rangesOf(owners), balancer.EjectFailing(rangesOf(owners), servers, arrivals))
				owners = ownersOf(rangesOf(owners), balancer.Rebalance(rangesOf(owners), servers, arrivals))
			}
			kept := 0.0
			for _, owner := range owners {
				if owner == 1 {
					kept += 1.0 / keys
				}
			}
			qt.Assert(t, kept >= test.least && kept <= test.most, qt.IsTrue, qt.Commentf("keeps %.3f of all keys", kept))
		})
	}
}

// More than half of all requests are for one key, more than any server can run. The
// key goes to the fastest server, whose other keys move away.
func TestHotKeyMovesToFastestServer(t *testing.T) {
	tests := []struct {
		name           string
		requestSeconds []float64
		rate           float64
		// owner is the last owner of the hot key.
		owner uint64
	}{
		{name: "a server is twice as fast", requestSeconds: []float64{0.2, 0.16, 0.16, 0.16, 0.08}, rate: 90, owner: 5},
		{name: "all equally fast", requestSeconds: []float64{0.16, 0.16, 0.17, 0.15, 0.16}, rate: 90, owner: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			servers := newServers(test.requestSeconds...)
			owners := ownersOf(nil, balancer.PlaceInitial(servers))
			key := slices.Index(owners, 1)
			arrivals := make([]float64, keys)
			for n := range arrivals {
				arrivals[n] = 60.0 / keys
			}
			arrivals[key] = test.rate
			for range 6 {
				owners = ownersOf(rangesOf(owners), balancer.Rebalance(rangesOf(owners), servers, arrivals))
			}
			qt.Assert(t, owners[key], qt.Equals, test.owner)
			others := 0.0
			for n, owner := range owners {
				if owner == test.owner && n != key {
					others += arrivals[n]
				}
			}
			qt.Assert(t, others < 3, qt.IsTrue, qt.Commentf("%.1f requests per second for other keys", others))
		})
	}
}

// The only server that accepts keys fails its requests, and the others are down. It
// keeps its keys and gets the free ones, since no other server would serve them.
func TestLastServerKeepsKeysWhileFailing(t *testing.T) {
	servers := newServers(0.1, 0.1, 0.1, 0.1)
	for n := range servers[1:] {
		servers[n+1].Accepts = false
	}
	servers[0].FailureRate = 0.9
	arrivals := make([]float64, keys)
	arrivals[7] = 500
	owned := make([]uint64, keys)
	for key := range owned[:keys/2] {
		owned[key] = 1
	}
	ranges := rangesOf(owned)
	qt.Assert(t, balancer.EjectFailing(ranges, servers, arrivals), qt.HasLen, 0)
	qt.Assert(t, balancer.Rebalance(ranges, servers, arrivals), qt.HasLen, 0)
	placed := ownersOf(ranges, balancer.PlaceFree(ranges, servers, arrivals))
	for key, owner := range placed {
		qt.Assert(t, owner, qt.Equals, uint64(1), qt.Commentf("key %d", key))
	}
}

// fleetLoad returns the servers of a large fleet, whose speeds differ, with ranges placed
// by slots, and arrivals for three quarters of their slots, with a share on top for one key.
func fleetLoad(count int, seed uint64, hotShare float64) ([]balancer.RangeServer, []uint64, []float64) {
	random := rand.New(rand.NewPCG(seed, 11))
	seconds := make([]float64, count)
	for n := range seconds {
		seconds[n] = []float64{0.17, 0.24, 0.38}[random.IntN(3)]
	}
	servers := newServers(seconds...)
	rate := 0.75 * 6 * float64(count) / 0.26
	arrivals := make([]float64, keys)
	sum := 0.0
	for n := range arrivals {
		arrivals[n] = math.Pow(float64(n+1), -0.43)
		sum += arrivals[n]
	}
	random.Shuffle(len(arrivals), func(i, j int) { arrivals[i], arrivals[j] = arrivals[j], arrivals[i] })
	for n := range arrivals {
		arrivals[n] *= rate / sum
	}
	arrivals[random.IntN(keys)] += rate * hotShare
	return servers, ownersOf(nil, balancer.PlaceInitial(servers)), arrivals
}

// excessLoad returns the fraction of the load that is above the capacity of its server. One
// server, that of the hot key, is left out.
func excessLoad(owners []uint64, servers []balancer.RangeServer, arrivals []float64) float64 {
	arrivalsOf := make(map[uint64]float64)
	total := 0.0
	for key, owner := range owners {
		arrivalsOf[owner] += arrivals[key]
	}
	var excess []float64
	for _, server := range servers {
		capacity := float64(server.Slots) / server.RequestSeconds
		excess = append(excess, math.Max(arrivalsOf[server.Session]-capacity, 0))
		total += math.Min(arrivalsOf[server.Session], capacity)
	}
	slices.Sort(excess)
	sum := 0.0
	for _, e := range excess[:len(excess)-1] {
		sum += e
	}
	return sum / total
}

// Replays a key with a fifth of the load of a large fleet: its server cannot be relieved,
// and must not keep the others from being relieved.
func TestHotKeyDoesNotStopTheBalancingOfOthers(t *testing.T) {
	for _, count := range []int{30, 116} {
		for _, hotShare := range []float64{0, 0.2} {
			for seed := range uint64(4) {
				servers, owners, arrivals := fleetLoad(count, seed, hotShare)
				before := excessLoad(owners, servers, arrivals)
				for range 12 {
					owners = ownersOf(rangesOf(owners), balancer.Rebalance(rangesOf(owners), servers, arrivals))
				}
				after := excessLoad(owners, servers, arrivals)
				t.Logf("%d servers, hot key %.1f, seed %d: excess load %.3f, was %.3f", count, hotShare, seed, after, before)
				qt.Check(t, after <= 0.01, qt.IsTrue, qt.Commentf("%d servers, hot key %.1f, seed %d: excess load %.3f, was %.3f", count, hotShare, seed, after, before))
			}
		}
	}
}
