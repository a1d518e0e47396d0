package balancer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/balancer"
)

func numbers(count uint32) []uint32 {
	var list []uint32
	for n := range count {
		list = append(list, n)
	}
	return list
}

func TestPlace(t *testing.T) {
	tests := []struct {
		name    string
		servers []balancer.Server
		free    uint32
		want    map[uint64]int
	}{
		{name: "no servers", free: 8, want: map[uint64]int{}},
		{name: "even", servers: []balancer.Server{{Session: 1, Slots: 6}, {Session: 2, Slots: 6}}, free: 8, want: map[uint64]int{1: 4, 2: 4}},
		{name: "by slots", servers: []balancer.Server{{Session: 1, Slots: 6}, {Session: 2, Slots: 2}}, free: 8, want: map[uint64]int{1: 6, 2: 2}},
		{name: "prefers the emptier server", servers: []balancer.Server{{Session: 1, Slots: 6, Shards: 6}, {Session: 2, Slots: 6}}, free: 8, want: map[uint64]int{1: 1, 2: 7}},
		{name: "other domain first", servers: []balancer.Server{
			{Session: 1, Slots: 6, Domain: "a"}, {Session: 2, Slots: 6, Domain: "a"}, {Session: 3, Slots: 6, Domain: "b"},
		}, free: 2, want: map[uint64]int{1: 1, 3: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := make(map[uint64]int)
			for _, placement := range balancer.Place(numbers(test.free), test.servers) {
				got[placement.Session] = len(placement.Shards)
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

func TestChooseRecorders(t *testing.T) {
	candidates := []balancer.RecorderCandidate{
		{Session: 1, Domain: "a"}, {Session: 2, Domain: "b", RecordedSessions: 3}, {Session: 3, Domain: "b", RecordedSessions: 1}, {Session: 4, Domain: "c", RecordedSessions: 9},
	}
	qt.Assert(t, balancer.ChooseRecorders(candidates, []string{"a"}, 2), qt.DeepEquals, []uint64{3, 4})
	qt.Assert(t, balancer.ChooseRecorders(candidates, []string{"a"}, 9), qt.DeepEquals, []uint64{3, 4, 1, 2})
}

func TestWeightsDecideMoves(t *testing.T) {
	favorBalance := balancer.Weights{Unavailable: 60, Imbalance: 30, Churn: 10}
	favorLowChurn := balancer.Weights{Unavailable: 20, Imbalance: 10, Churn: 70}
	noImbalanceWeight := balancer.Weights{Unavailable: 50, Churn: 50}
	tests := []struct {
		name    string
		weights balancer.Weights
		skew    balancer.Skew
		active  bool
		want    bool
	}{
		{name: "even", weights: favorBalance, skew: balancer.Skew{Mean: 1}},
		{name: "uneven", weights: favorBalance, skew: balancer.Skew{Mean: 1, Excess: 0.5}, want: true},
		{name: "uneven within the noise", weights: favorBalance, skew: balancer.Skew{Mean: 1, Excess: 0.5, Noise: 0.4}},
		{name: "active moves continue below the threshold", weights: favorBalance, skew: balancer.Skew{Mean: 1, Excess: 0.2}, active: true, want: true},
		{name: "moves do not start below the threshold", weights: favorBalance, skew: balancer.Skew{Mean: 1, Excess: 0.2}},
		{name: "churn weighs more", weights: favorLowChurn, skew: balancer.Skew{Mean: 1, Excess: 1.5}},
		{name: "empty server is filled whatever the weights", weights: favorLowChurn, skew: balancer.Skew{Mean: 1, Deficit: 1}, want: true},
		{name: "uneven by number without load", weights: favorBalance, skew: balancer.Skew{Mean: 1, Excess: 0.8, Deficit: 0.8, Idle: true}},
		{name: "empty server without load", weights: favorBalance, skew: balancer.Skew{Mean: 1, Deficit: 0.95, Idle: true}, want: true},
		{name: "imbalance without weight", weights: noImbalanceWeight, skew: balancer.Skew{Mean: 1, Excess: 9}},
	}
	for _, test := range tests {
		qt.Check(t, test.weights.ShouldMove(test.skew, test.active), qt.Equals, test.want, qt.Commentf(test.name))
	}
}

func TestPlanReducesImbalance(t *testing.T) {
	servers := []balancer.ServerLoad{
		{Server: balancer.Server{Session: 1, Slots: 6, Shards: 4}, Load: 4, Requests: 1e6, Accepts: true},
		{Server: balancer.Server{Session: 2, Slots: 6, Shards: 4}, Load: 1, Requests: 1e6, Accepts: true},
		{Server: balancer.Server{Session: 3, Slots: 6, Shards: 4}, Load: 1, Requests: 1e6},
	}
	shards := []balancer.ShardLoad{{Shard: 1, Load: 2.5}, {Shard: 2, Load: 1}, {Shard: 3, Load: 0.4}, {Shard: 4, Load: 0.1}}
	loads := balancer.NewLoads(servers)
	moves := loads.Plan(balancer.Weights{Imbalance: 50}, 9, func(uint64) []balancer.ShardLoad { return shards })
	qt.Assert(t, moves[0], qt.Equals, balancer.Move{Shard: 2, From: 1, To: 2})
	for _, move := range moves {
		qt.Check(t, move.To, qt.Not(qt.Equals), uint64(3), qt.Commentf("server 3 accepts no shards"))
		qt.Check(t, move.Shard, qt.Not(qt.Equals), uint32(1), qt.Commentf("moving shard 1 would reverse the imbalance"))
	}
}

func TestHotKeyStateNeedsTime(t *testing.T) {
	state := balancer.HotKeyState{}
	for range 4 {
		state = state.Advance(0.5, 0.5, time.Second)
	}
	qt.Assert(t, state.ShouldPromote(), qt.IsFalse)
	qt.Assert(t, state.Advance(0.5, 0.5, time.Second).ShouldPromote(), qt.IsTrue)
	qt.Assert(t, state.Advance(0.1, 0.5, time.Second), qt.Equals, balancer.HotKeyState{})
	qt.Assert(t, balancer.HotKeyState{CoolTime: 59 * time.Second}.Advance(0.01, 0.5, time.Second).ShouldDemote(), qt.IsTrue)
	qt.Assert(t, state.Advance(0.5, 0.01, time.Second).HotTime, qt.Equals, time.Duration(0))
}

func BenchmarkPlace(b *testing.B) {
	for _, size := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			var servers []balancer.Server
			for n := range size {
				servers = append(servers, balancer.Server{Session: uint64(n), Slots: 6, Domain: fmt.Sprint(n % 10)})
			}
			free := numbers(65_536)
			for b.Loop() {
				balancer.Place(free, servers)
			}
		})
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, size := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			per := 65_536 / size
			var servers []balancer.ServerLoad
			for n := range size {
				load := 3.0
				if n%10 == 0 {
					load = 6
				}
				servers = append(servers, balancer.ServerLoad{
					Server: balancer.Server{Session: uint64(n), Slots: 6, Shards: per}, Load: load, Requests: 1e6, Accepts: true,
				})
			}
			shards := make([]balancer.ShardLoad, per)
			for n := range shards {
				shards[n] = balancer.ShardLoad{Shard: uint32(n), Load: 3 / float64(per)}
			}
			list := func(uint64) []balancer.ShardLoad { return shards }
			for b.Loop() {
				balancer.NewLoads(servers).Plan(balancer.Weights{Imbalance: 50, Churn: 50}, 1024, list)
			}
		})
	}
}
