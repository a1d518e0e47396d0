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

func holdersOf(paces ...float64) []balancer.Holder {
	var holders []balancer.Holder
	for n, pace := range paces {
		holders = append(holders, balancer.Holder{
			Session: uint64(n + 1), Domain: fmt.Sprintf("d%d", n%3), Slots: 6, Pace: pace, Takes: true,
		})
	}
	return holders
}

// ownersOf applies placements to ranges, one entry for each key.
func ownersOf(ranges []balancer.Range, placed []balancer.Placed) []uint64 {
	owners := make([]uint64, keys)
	for _, r := range ranges {
		for key := r.From; key <= r.To; key++ {
			owners[key] = r.Owner
		}
	}
	for _, p := range placed {
		for key := p.From; key <= p.To; key++ {
			owners[key] = p.Session
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

// busiest is the largest part of its slots that a server has in use, and the mean.
func busiest(owners []uint64, holders []balancer.Holder, arrivals []float64) (most, mean float64) {
	use := make(map[uint64]float64)
	for key, owner := range owners {
		use[owner] += arrivals[key]
	}
	for _, holder := range holders {
		if !holder.Takes {
			continue
		}
		part := use[holder.Session] * holder.Pace / float64(holder.Slots)
		most = math.Max(most, part)
		mean += part / float64(len(holders))
	}
	return most, mean
}

func TestFoundSharesAllKeys(t *testing.T) {
	holders := holdersOf(0, 0, 0, 0, 0)
	holders[4].Slots = 12
	holders = append(holders, balancer.Holder{Session: 9, Slots: 6, Leaves: true})
	owners := ownersOf(nil, balancer.Found(holders))
	counts := make(map[uint64]int)
	for key, owner := range owners {
		qt.Assert(t, owner != 0 && owner != 9, qt.IsTrue, qt.Commentf("key %d has owner %d", key, owner))
		counts[owner]++
	}
	qt.Check(t, math.Abs(float64(counts[1])-keys/6) < 20, qt.IsTrue, qt.Commentf("%v", counts))
	qt.Check(t, math.Abs(float64(counts[5])-keys/3) < 20, qt.IsTrue, qt.Commentf("%v", counts))
	qt.Check(t, balancer.Found(nil), qt.HasLen, 0)
}

// A run of neighbouring keys turns hot, as far apart as one range or not.
func TestLevelRelievesAHotRun(t *testing.T) {
	tests := []struct {
		name  string
		count int
		share float64
		want  float64
		// moved is the most keys that may move: about the hot ones, or a part of
		// the others when the hot one can't be divided.
		moved int
	}{
		{name: "200 keys with 36% of the load", count: 200, share: 0.36, want: 1.35, moved: keys / 20},
		{name: "60 keys with 33%", count: 60, share: 0.33, want: 1.35, moved: keys / 20},
		{name: "one key with 15%", count: 1, share: 0.15, want: 1.5, moved: keys / 8},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			holders := holdersOf(0.15, 0.15, 0.15, 0.15, 0.15)
			owners := ownersOf(nil, balancer.Found(holders))
			arrivals := make([]float64, keys)
			for key := range arrivals {
				arrivals[key] = 150 * (1 - test.share) / keys
			}
			for n := range test.count {
				arrivals[30_000+n] += 150 * test.share / float64(test.count)
			}
			before, _ := busiest(owners, holders, arrivals)
			moved := 0
			for range 6 {
				placed := balancer.Level(rangesOf(owners), holders, arrivals)
				for _, p := range placed {
					moved += int(p.To-p.From) + 1
				}
				owners = ownersOf(rangesOf(owners), placed)
			}
			most, mean := busiest(owners, holders, arrivals)
			qt.Check(t, most < before && most <= test.want*mean, qt.IsTrue,
				qt.Commentf("busiest %.2f, was %.2f, mean %.2f", most, before, mean))
			qt.Check(t, moved < test.moved, qt.IsTrue, qt.Commentf("%d keys moved", moved))
			again := balancer.Level(rangesOf(owners), holders, arrivals)
			qt.Check(t, len(again) <= 1, qt.IsTrue, qt.Commentf("still moves %v", again))
		})
	}
}

func TestLevelLeavesIdleAndEvenServersAlone(t *testing.T) {
	tests := []struct {
		name string
		rate float64
		hot  float64
	}{
		{name: "even load", rate: 150},
		{name: "uneven, but nobody waits", rate: 10, hot: 5},
	}
	for _, test := range tests {
		holders := holdersOf(0.15, 0.15, 0.15, 0.15, 0.15)
		owners := ownersOf(nil, balancer.Found(holders))
		arrivals := make([]float64, keys)
		for key := range arrivals {
			arrivals[key] = test.rate / keys
		}
		arrivals[7] += test.hot
		qt.Check(t, balancer.Level(rangesOf(owners), holders, arrivals), qt.HasLen, 0, qt.Commentf(test.name))
	}
}

// A server that takes twice as long for a request gets about half of them.
func TestLevelWeighsThePace(t *testing.T) {
	holders := holdersOf(0.1, 0.1, 0.25)
	owners := ownersOf(nil, balancer.Found(holders))
	arrivals := make([]float64, keys)
	for key := range arrivals {
		arrivals[key] = 90.0 / keys
	}
	for range 12 {
		owners = ownersOf(rangesOf(owners), balancer.Level(rangesOf(owners), holders, arrivals))
	}
	most, mean := busiest(owners, holders, arrivals)
	qt.Assert(t, most < 1.3*mean, qt.IsTrue, qt.Commentf("busiest %.2f, mean %.2f", most, mean))
}

func TestLostAndLeavingServersAreRelieved(t *testing.T) {
	holders := holdersOf(0.15, 0.15, 0.15, 0.15)
	owners := ownersOf(nil, balancer.Found(holders))
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
	left := append(holders[:1:1], holders[2:]...)
	filled := ownersOf(rangesOf(lost), balancer.Fill(rangesOf(lost), left, arrivals))
	leaving := append([]balancer.Holder{}, holders...)
	leaving[1].Takes, leaving[1].Leaves = false, true
	emptied := ownersOf(rangesOf(owners), balancer.Empty(rangesOf(owners), leaving, arrivals))
	for name, after := range map[string][]uint64{"lost": filled, "leaving": emptied} {
		for key, owner := range after {
			qt.Assert(t, owner != 0 && owner != 2, qt.IsTrue, qt.Commentf("%s: key %d has owner %d", name, key, owner))
		}
		most, mean := busiest(after, left, arrivals)
		qt.Check(t, most < 1.3*mean, qt.IsTrue, qt.Commentf("%s: busiest %.2f, mean %.2f", name, most, mean))
	}
	qt.Check(t, balancer.Fill(rangesOf(owners), holders, arrivals), qt.HasLen, 0)
	qt.Check(t, balancer.Empty(rangesOf(owners), holders, arrivals), qt.HasLen, 0)
}

// Two of five servers come back empty after a restart, and the others are full of
// small ranges. Two weighings are enough to use them again.
func TestReturnedServersAreFilledSoon(t *testing.T) {
	holders := holdersOf(0.15, 0.15, 0.15, 0.15, 0.15)
	owners := ownersOf(nil, balancer.Found(holders))
	random := rand.New(rand.NewPCG(5, 5))
	for key := range owners {
		if key%512 == 0 || owners[key] > 3 {
			owners[key] = uint64(1 + key/512%3)
		}
	}
	arrivals := make([]float64, keys)
	for range 600 {
		// Busy keys lie close to one another.
		arrivals[min(int(random.ExpFloat64()*9000), keys-1)] += 150.0 / 600
	}
	for range 2 {
		owners = ownersOf(rangesOf(owners), balancer.Level(rangesOf(owners), holders, arrivals))
	}
	most, mean := busiest(owners, holders, arrivals)
	qt.Assert(t, most <= 1.3*mean, qt.IsTrue, qt.Commentf("busiest %.2f, mean %.2f", most, mean))
}

// One of five servers answers its health check and fails its requests. With room
// elsewhere its keys move; partly failing, it keeps some.
func TestFailingServersAreRelieved(t *testing.T) {
	arrivals := make([]float64, keys)
	for key := range arrivals {
		arrivals[key] = 90.0 / keys
	}
	tests := []struct {
		name    string
		failing []float64
		// least and most bound the part of all keys that the first server keeps.
		least, most float64
	}{
		{name: "all well", failing: []float64{0, 0.01, 0, 0.02, 0}, least: 0.19, most: 0.21},
		{name: "one fails all", failing: []float64{0.97, 0, 0, 0, 0}, least: 0, most: 0},
		// Its part of the sound slots is 0.14, and Level leaves 15% of unevenness.
		{name: "one fails a third", failing: []float64{0.35, 0, 0, 0, 0}, least: 0.08, most: 0.165},
		{name: "all fail alike, by what they call", failing: []float64{0.8, 0.7, 0.8, 0.75, 0.8}, least: 0.15, most: 0.25},
		{name: "most fail", failing: []float64{0.9, 0.9, 0.9, 0.9, 0}, least: 0.15, most: 0.25},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			holders := holdersOf(0.15, 0.15, 0.15, 0.15, 0.15)
			owners := ownersOf(nil, balancer.Found(holders))
			for n := range holders {
				holders[n].Failing = test.failing[n]
			}
			for range 3 {
				owners = ownersOf(rangesOf(owners), balancer.Shun(rangesOf(owners), holders, arrivals))
				owners = ownersOf(rangesOf(owners), balancer.Level(rangesOf(owners), holders, arrivals))
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

// Half of all requests are about one key, more than any server can run. It goes to
// the fastest server, which gives its other keys away.
func TestHotKeyGoesToTheFastestServer(t *testing.T) {
	tests := []struct {
		name  string
		paces []float64
		rate  float64
		// owner is who has the key at last.
		owner uint64
	}{
		{name: "a server is twice as fast", paces: []float64{0.2, 0.16, 0.16, 0.16, 0.08}, rate: 90, owner: 5},
		{name: "all alike", paces: []float64{0.16, 0.16, 0.17, 0.15, 0.16}, rate: 90, owner: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			holders := holdersOf(test.paces...)
			owners := ownersOf(nil, balancer.Found(holders))
			key := slices.Index(owners, 1)
			arrivals := make([]float64, keys)
			for n := range arrivals {
				arrivals[n] = 60.0 / keys
			}
			arrivals[key] = test.rate
			for range 6 {
				owners = ownersOf(rangesOf(owners), balancer.Level(rangesOf(owners), holders, arrivals))
			}
			qt.Assert(t, owners[key], qt.Equals, test.owner)
			others := 0.0
			for n, owner := range owners {
				if owner == test.owner && n != key {
					others += arrivals[n]
				}
			}
			qt.Assert(t, others < 3, qt.IsTrue, qt.Commentf("%.1f requests a second beside the hot key", others))
		})
	}
}

// The only server that takes keys fails them, and the others are down: it keeps what it
// has and gets what is free, since nobody else would serve it.
func TestLastServerKeepsItsKeysThoughItFails(t *testing.T) {
	holders := holdersOf(0.1, 0.1, 0.1, 0.1)
	for n := range holders[1:] {
		holders[n+1].Takes = false
	}
	holders[0].Failing = 0.9
	arrivals := make([]float64, keys)
	arrivals[7] = 500
	owned := make([]uint64, keys)
	for key := range owned[:keys/2] {
		owned[key] = 1
	}
	ranges := rangesOf(owned)
	qt.Assert(t, balancer.Shun(ranges, holders, arrivals), qt.HasLen, 0)
	qt.Assert(t, balancer.Level(ranges, holders, arrivals), qt.HasLen, 0)
	filled := ownersOf(ranges, balancer.Fill(ranges, holders, arrivals))
	for key, owner := range filled {
		qt.Assert(t, owner, qt.Equals, uint64(1), qt.Commentf("key %d", key))
	}
}
