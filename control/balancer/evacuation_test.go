package balancer_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/balancer"
)

// Steps of an evacuation, as the supervisor takes them.
const (
	evacuationSteps    = 5
	evacuationInterval = 400 // milliseconds
)

func loadOf(placed []balancer.PlacedRange, arrivals []float64) float64 {
	load := 0.0
	for _, p := range placed {
		for key := p.From; key <= p.To; key++ {
			load += arrivals[key]
		}
	}
	return load
}

// Each step must move about the same load, whichever ranges are hot, and only out of the
// domain.
func TestEvacuate(t *testing.T) {
	spread := func(key int) float64 { return 1 }
	tests := []struct {
		name    string
		arrival func(key int) float64
		change  func(servers []balancer.RangeServer)
		// ranges is how many ranges each of six servers has; two are in the domain.
		ranges int
		// most is the largest share of the domain's load in a step.
		most float64
		// left is the share that stays after all steps.
		left float64
	}{
		{name: "even load", arrival: spread, ranges: 12, most: 0.22},
		{name: "no load", arrival: func(int) float64 { return 0 }, ranges: 12},
		{name: "hot ranges", arrival: func(key int) float64 { return 1 + 200*math.Max(0, float64(key%4096-4000)) }, ranges: 12, most: 0.3},
		{name: "one range for each server", arrival: spread, ranges: 1, most: 0.22},
		{name: "a hot key", arrival: func(key int) float64 {
			if key == 100 {
				return 1e6
			}
			return 1
		}, ranges: 12, most: 1},
		{name: "a drained server is left to Drain", arrival: spread, ranges: 12, most: 0.22, left: 0.5,
			change: func(servers []balancer.RangeServer) { servers[0].Draining = true }},
		{name: "no server accepts ranges", arrival: spread, ranges: 12, left: 1,
			change: func(servers []balancer.RangeServer) {
				for n := range servers {
					servers[n].Accepts = false
				}
			}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			servers := newServers(0.05, 0.05, 0.05, 0.05, 0.05, 0.05)
			arrivals := make([]float64, keys)
			for key := range arrivals {
				arrivals[key] = test.arrival(key)
			}
			owners := make([]uint64, keys)
			for key := range owners {
				owners[key] = uint64(key*6*test.ranges/keys%6 + 1)
			}
			for n := range servers {
				servers[n].Accepts = servers[n].Domain != "d0"
			}
			if test.change != nil {
				test.change(servers)
			}
			inDomain := func(owner uint64) bool { return servers[owner-1].Domain == "d0" }
			share := func() (load, count float64) {
				for key, owner := range owners {
					if inDomain(owner) {
						load += arrivals[key]
						count++
					}
				}
				return load, count
			}
			all, allKeys := share()
			for step := range evacuationSteps {
				moves := balancer.Evacuate(rangesOf(owners), servers, arrivals, "d0", evacuationSteps-step)
				for _, move := range moves {
					qt.Assert(t, inDomain(move.Session), qt.IsFalse)
					for key := move.From; key <= move.To; key++ {
						qt.Assert(t, inDomain(owners[key]), qt.IsTrue)
					}
				}
				if test.most > 0 {
					moved := loadOf(moves, arrivals) / all
					qt.Check(t, moved <= test.most, qt.IsTrue, qt.Commentf("step %d moves %.3f of the load", step, moved))
				}
				owners = ownersOf(rangesOf(owners), moves)
			}
			_, count := share()
			qt.Check(t, math.Abs(count/allKeys-test.left) < 0.01, qt.IsTrue, qt.Commentf("%.3f of the keys stay", count/allKeys))
		})
	}
}

// Ranges that move already, in either direction, are not moved again.
func TestEvacuateSkipsMovingRanges(t *testing.T) {
	servers := newServers(0.05, 0.05, 0.05)
	servers[0].Accepts = false
	ranges := []balancer.Range{
		{From: 0, To: 99, Owner: 1, Next: 2}, {From: 100, To: 199, Owner: 2, Next: 1}, {From: 200, To: 299, Owner: 1}, {From: 300, To: keys - 1, Owner: 3},
	}
	moves := balancer.Evacuate(ranges, servers, make([]float64, keys), "d0", 1)
	qt.Assert(t, len(moves), qt.Equals, 1)
	qt.Check(t, moves[0].From, qt.Equals, uint32(200))
	qt.Check(t, moves[0].To, qt.Equals, uint32(299))
}

// evacuationReplay is a fleet of four domains with ten servers of 6 slots and 12 ranges
// each, at 0.7 of its capacity, of which one domain moves out. Requests for a range wait
// while it moves and then arrive at the new owner together.
type evacuationReplay struct {
	servers  []balancer.RangeServer
	owners   []uint64
	arrivals []float64
	random   *rand.Rand
	// backlog is the work that waits at each server, in seconds of a slot.
	backlog map[uint64]float64
	// rates are the arrivals at each server.
	rates map[uint64]float64
	moves []replayedMove
	// heldMost is the largest number of requests that waited for handovers at once,
	// delayMost the longest wait at a server, in seconds, and waited the number of requests
	// that waited at a server for longer than replayWait.
	heldMost, delayMost, waited float64
}

type replayedMove struct {
	balancer.PlacedRange
	rate float64
	// started and ends are in milliseconds.
	started, ends int
}

const (
	replayTick           = 5 // milliseconds
	replayRequestSeconds = 0.05
	replayWait           = replayRequestSeconds / 2
)

func newEvacuationReplay(seed uint64) *evacuationReplay {
	r := &evacuationReplay{arrivals: make([]float64, keys), random: rand.New(rand.NewPCG(seed, 7)), backlog: make(map[uint64]float64), rates: make(map[uint64]float64)}
	for n := range 40 {
		r.servers = append(r.servers, balancer.RangeServer{
			Session: uint64(n + 1), Domain: fmt.Sprintf("d%d", n%4), Slots: 6, RequestSeconds: replayRequestSeconds, Accepts: n%4 != 0,
		})
	}
	r.owners = make([]uint64, keys)
	weights := make(map[uint64]float64)
	for n := range 480 {
		weight := math.Exp(r.random.NormFloat64() * 0.8)
		for key := n * keys / 480; key < (n+1)*keys/480; key++ {
			r.owners[key] = uint64(n%40 + 1)
			r.arrivals[key] = weight
			weights[r.owners[key]] += weight
		}
	}
	for key, owner := range r.owners {
		r.arrivals[key] *= 0.7 * 6 / replayRequestSeconds / weights[owner]
		r.rates[owner] += r.arrivals[key]
	}
	return r
}

// run replays five seconds, with an evacuation in a number of steps.
func (r *evacuationReplay) run(steps int) {
	for now := 0; now < 5000; now += replayTick {
		if step := now / evacuationInterval; now%evacuationInterval == 0 && step < steps {
			r.step(now, steps-step)
		}
		r.advance(now)
	}
}

func (r *evacuationReplay) step(now, remaining int) {
	for _, placed := range balancer.Evacuate(r.ranges(), r.servers, r.arrivals, "d0", remaining) {
		// The old owner learns of the move by its next heartbeat, and frees the range by
		// the one after; the new owner learns of that by its own.
		learned := now + r.random.IntN(300)
		r.moves = append(r.moves, replayedMove{placed, loadOf([]balancer.PlacedRange{placed}, r.arrivals), learned, learned + 300 + r.random.IntN(300)})
	}
}

func (r *evacuationReplay) ranges() []balancer.Range {
	ranges := rangesOf(r.owners)
	for n := range ranges {
		for _, move := range r.moves {
			if move.From <= ranges[n].From && ranges[n].To <= move.To {
				ranges[n].Next = move.Session
			}
		}
	}
	return ranges
}

// advance replays one tick: servers work, held requests arrive at the end of their moves,
// and all others at their owners.
func (r *evacuationReplay) advance(now int) {
	const seconds = replayTick / 1000.0
	rates := maps.Clone(r.rates)
	held := 0.0
	r.moves = slices.DeleteFunc(r.moves, func(move replayedMove) bool {
		switch {
		case now < move.started:
			return false
		case now < move.ends:
			held += move.rate * float64(now-move.started) / 1000
			rates[r.owners[move.From]] -= move.rate
			return false
		}
		r.deliver(move)
		for key := move.From; key <= move.To; key++ {
			for _, sums := range []map[uint64]float64{rates, r.rates} {
				sums[r.owners[key]] -= r.arrivals[key]
				sums[move.Session] += r.arrivals[key]
			}
			r.owners[key] = move.Session
		}
		return true
	})
	r.heldMost = math.Max(r.heldMost, held)
	for _, server := range r.servers {
		if r.delay(server.Session) > replayWait {
			r.waited += rates[server.Session] * seconds
		}
		backlog := r.backlog[server.Session] + (rates[server.Session]*replayRequestSeconds-float64(server.Slots))*seconds
		r.backlog[server.Session] = math.Max(backlog, 0)
		r.delayMost = math.Max(r.delayMost, r.delay(server.Session))
	}
}

// deliver adds the requests that a move held to the new owner's queue.
func (r *evacuationReplay) deliver(move replayedMove) {
	requests := move.rate * float64(move.ends-move.started) / 1000
	r.backlog[move.Session] += requests * replayRequestSeconds
	if r.delay(move.Session) > replayWait {
		r.waited += requests
	}
}

// delay is how long a request waits at a server, in seconds.
func (r *evacuationReplay) delay(session uint64) float64 {
	return r.backlog[session] / 6
}

// A domain of 10 servers with 12 ranges each that moved out at once made a quarter of all
// requests wait at the same time, and delivered them together to servers that were near
// their capacity from then on. The longest wait at a server depends on the hottest range
// more than on the pace, so it is only logged.
func TestEvacuationReplay(t *testing.T) {
	for seed := range uint64(3) {
		paced, atOnce := newEvacuationReplay(seed), newEvacuationReplay(seed)
		paced.run(evacuationSteps)
		atOnce.run(1)
		for name, replay := range map[string]*evacuationReplay{"paced": paced, "at once": atOnce} {
			t.Logf("seed %d, %s: %.0f requests held at once, longest wait at a server %.0f ms, %.0f requests waited at a server",
				seed, name, replay.heldMost, 1000*replay.delayMost, replay.waited)
			for _, server := range replay.servers {
				if server.Domain == "d0" {
					qt.Assert(t, slices.Contains(replay.owners, server.Session), qt.IsFalse)
				}
			}
		}
		qt.Check(t, paced.heldMost < 0.4*atOnce.heldMost, qt.IsTrue)
		qt.Check(t, paced.waited < atOnce.waited, qt.IsTrue)
	}
}
