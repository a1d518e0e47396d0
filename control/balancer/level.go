package balancer

import (
	"slices"
)

const (
	// uneven is how much more loaded than the mean the busiest server must be
	// before ranges move.
	uneven = 1.15
	// spread is the same for load that is spread over many keys: moving it takes
	// many keys from their owner for a while.
	spread = 1.3
	// busyEnough is the load, as a part of its slots, below which a server is
	// left as it is: nobody waits there.
	busyEnough = 0.45
	// levelMoves is the most moves that one weighing starts. Each moved range is
	// without an owner for two heartbeats.
	levelMoves = 24
	// leastPart and mostPart bound the load that one move carries, as parts of what
	// would make two servers even. Less is not worth the move, much more would turn
	// the two around.
	leastPart = 0.4
	mostPart  = 1.25
	// fasterPart is the time for a request, as a part of that at the owner, below
	// which a server is worth the move of a key that overloads its owner alone.
	fasterPart = 0.75
)

// Level moves ranges from busy servers to idle ones. It answers keys that turn
// hot and servers that turn slow: from the busiest server goes the shortest run
// of keys that carries about half of the difference to the idlest. A key that is
// too much for any server goes to the fastest.
func Level(ranges []Range, holders []Holder, arrivals []float64) []Placed {
	scale := newScale(ranges, holders, arrivals)
	ranges = slices.Clone(ranges)
	var moves []Placed
	for range levelMoves {
		move, n := scale.relieve(ranges)
		if n < 0 {
			move, n = scale.toFastest(ranges)
		}
		if n < 0 {
			break
		}
		moves = append(moves, move)
		scale.give(ranges[n].Owner, move.From, move.To, -1)
		scale.give(move.Session, move.From, move.To, 1)
		ranges = slices.Replace(ranges, n, n+1, split(ranges[n], move)...)
	}
	return moves
}

// split returns the parts of a range of which a part moves.
func split(r Range, move Placed) []Range {
	var parts []Range
	if r.From < move.From {
		parts = append(parts, Range{From: r.From, To: move.From - 1, Owner: r.Owner})
	}
	parts = append(parts, Range{From: move.From, To: move.To, Owner: r.Owner, Next: move.Session})
	if move.To < r.To {
		parts = append(parts, Range{From: move.To + 1, To: r.To, Owner: r.Owner})
	}
	return parts
}

// relieve chooses one move and returns the index of the range that it is part
// of, -1 when no move is worth its cost.
func (s *scale) relieve(ranges []Range) (Placed, int) {
	busiest, idlest, mean := s.extremes()
	if busiest == 0 || idlest == 0 || s.use(busiest) < max(busyEnough, uneven*mean) {
		return Placed{}, -1
	}
	// Moving a rate of x lowers the busiest by x times its pace and raises the
	// idlest by x times that one's; they meet at this rate.
	gap := s.use(busiest) - s.use(idlest)
	wanted := gap / (s.paceOf(busiest)/s.slotsOf(s.holders[busiest]) + s.paceOf(idlest)/s.slotsOf(s.holders[idlest]))
	best, at := Placed{}, -1
	for n, r := range ranges {
		if r.Owner != busiest || r.Next != 0 {
			continue
		}
		from, to, ok := s.shortest(r, wanted)
		if ok && (at < 0 || to-from < best.To-best.From) {
			best, at = Placed{Session: idlest, From: from, To: to}, n
		}
	}
	if at < 0 && s.use(busiest) >= spread*mean {
		return s.largest(ranges, busiest, idlest, wanted)
	}
	return best, at
}

// toFastest chooses the move of a key that alone is more than its owner can run to a
// server that runs more of it, and returns the index of the range that it is part of,
// -1 when there is none. No split would help such a key.
func (s *scale) toFastest(ranges []Range) (Placed, int) {
	busiest, _, _ := s.extremes()
	fastest := s.fastest()
	if busiest == 0 || fastest == 0 {
		return Placed{}, -1
	}
	turn := s.turn(busiest)
	if s.turn(fastest) > fasterPart*turn {
		return Placed{}, -1
	}
	for n, r := range ranges {
		if r.Owner != busiest || r.Next != 0 {
			continue
		}
		for key := r.From; key <= r.To; key++ {
			if s.arrivals[key]*turn > 1 {
				return Placed{Session: fastest, From: key, To: key}, n
			}
		}
	}
	return Placed{}, -1
}

// largest chooses the whole range that carries most of what is wanted, for load
// that is spread over many ranges.
func (s *scale) largest(ranges []Range, busiest, idlest uint64, wanted float64) (Placed, int) {
	best, at, most := Placed{}, -1, 0.0
	for n, r := range ranges {
		if r.Owner != busiest || r.Next != 0 {
			continue
		}
		if rate := s.rate(r.From, r.To); rate > most && rate <= wanted {
			best, at, most = Placed{Session: idlest, From: r.From, To: r.To}, n, rate
		}
	}
	return best, at
}

// shortest finds the shortest run of keys in a range that carries enough of the
// wanted rate, and not much more.
func (s *scale) shortest(r Range, wanted float64) (from, to uint32, ok bool) {
	least, most := leastPart*wanted, mostPart*wanted
	sum, start := 0.0, r.From
	for key := r.From; key <= r.To; key++ {
		sum += s.arrivals[key]
		for start < key && sum-s.arrivals[start] >= least {
			sum -= s.arrivals[start]
			start++
		}
		if sum >= least && sum <= most && sum > 0 && (!ok || key-start < to-from) {
			from, to, ok = start, key, true
		}
	}
	return from, to, ok
}
