package balancer

import (
	"slices"
)

const (
	// rebalanceThreshold is the ratio of the largest to the mean utilization from
	// which ranges move.
	rebalanceThreshold = 1.15
	// spreadThreshold is the same ratio for load that is spread over many keys. It
	// is higher because moving such load leaves many keys without an owner for a
	// while.
	spreadThreshold = 1.3
	// minUtilization is the utilization below which a server gives no ranges away,
	// since no requests wait there.
	minUtilization = 0.45
	// maxMoves is the maximum number of moves that one call of Rebalance plans.
	// Each moved range is without an owner for two heartbeats.
	maxMoves = 24
	// minMoveFraction and maxMoveFraction bound the rate that one move carries, as
	// fractions of the rate that would even out two servers. A smaller move is not
	// worth its cost, a much larger one would reverse the imbalance.
	minMoveFraction = 0.4
	maxMoveFraction = 1.25
	// fasterRatio is the completion interval, relative to that of the owner, up to
	// which a server is worth the move of a key that alone overloads its owner.
	fasterRatio = 0.75
)

// Rebalance moves ranges from the most loaded servers to the least loaded ones, to
// handle keys that become hot and servers that become slow. Each move takes from
// the most loaded server the shortest run of keys that carries about half of the
// difference to the least loaded one. A key that exceeds the capacity of any server
// goes to the fastest.
//
// The load pattern that it answers: in a large fleet there is nearly always a key that
// overloads its server and cannot be divided. A server that no move can relieve is passed
// over, so that the others are relieved all the same.
func Rebalance(ranges []Range, servers []RangeServer, arrivals []float64) []PlacedRange {
	loads := newRangeLoads(ranges, servers, arrivals)
	ranges = slices.Clone(ranges)
	var moves []PlacedRange
	for len(moves) < maxMoves {
		move, n := loads.chooseMove(ranges)
		if n < 0 {
			move, n = loads.chooseHotKeyMove(ranges)
		}
		if n < 0 {
			mostLoaded, _, _ := loads.extremes()
			if mostLoaded == 0 || !loads.isOverloaded(mostLoaded) {
				break
			}
			loads.passedOver[mostLoaded] = true
			continue
		}
		moves = append(moves, move)
		loads.addRange(ranges[n].Owner, move.From, move.To, -1)
		loads.addRange(move.Session, move.From, move.To, 1)
		ranges = slices.Replace(ranges, n, n+1, splitAround(ranges[n], move)...)
	}
	return moves
}

// splitAround splits a range into the part that moves and the parts that stay.
func splitAround(r Range, move PlacedRange) []Range {
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

// chooseMove chooses one move from the most to the least loaded server and returns
// the index of the range that it is part of, -1 when no move is worth its cost.
func (l *rangeLoads) chooseMove(ranges []Range) (PlacedRange, int) {
	mostLoaded, leastLoaded, mean := l.extremes()
	if mostLoaded == 0 || leastLoaded == 0 || !l.isOverloaded(mostLoaded) {
		return PlacedRange{}, -1
	}
	// Moving a rate of x lowers the utilization of the one server by x times its
	// completion interval, and raises that of the other by x times its own. They
	// are equal after a move of this rate.
	gap := l.utilization(mostLoaded) - l.utilization(leastLoaded)
	targetRate := gap / (l.requestSeconds(mostLoaded)/l.effectiveSlots(l.servers[mostLoaded]) + l.requestSeconds(leastLoaded)/l.effectiveSlots(l.servers[leastLoaded]))
	best, index := PlacedRange{}, -1
	for n, r := range ranges {
		if r.Owner != mostLoaded || r.Next != 0 {
			continue
		}
		from, to, ok := l.shortestRun(r, targetRate)
		if ok && (index < 0 || to-from < best.To-best.From) {
			best, index = PlacedRange{Session: leastLoaded, From: from, To: to}, n
		}
	}
	if index < 0 && l.utilization(mostLoaded) >= spreadThreshold*mean {
		return l.chooseLargestRange(ranges, mostLoaded, leastLoaded, targetRate)
	}
	return best, index
}

// isOverloaded reports whether a server has so much more load than the others that ranges
// should move away from it.
func (l *rangeLoads) isOverloaded(session uint64) bool {
	_, _, mean := l.extremes()
	return l.utilization(session) >= max(minUtilization, rebalanceThreshold*mean)
}

// chooseHotKeyMove chooses the move of a key that alone exceeds the capacity of its
// owner to a faster server, and returns the index of the range that it is part of,
// -1 when there is none. Splitting the range would not help with such a key.
func (l *rangeLoads) chooseHotKeyMove(ranges []Range) (PlacedRange, int) {
	mostLoaded, _, _ := l.extremes()
	fastest := l.fastest()
	if mostLoaded == 0 || fastest == 0 {
		return PlacedRange{}, -1
	}
	completionInterval := l.completionInterval(mostLoaded)
	if l.completionInterval(fastest) > fasterRatio*completionInterval {
		return PlacedRange{}, -1
	}
	for n, r := range ranges {
		if r.Owner != mostLoaded || r.Next != 0 {
			continue
		}
		for key := r.From; key <= r.To; key++ {
			if l.arrivals[key]*completionInterval > 1 {
				return PlacedRange{Session: fastest, From: key, To: key}, n
			}
		}
	}
	return PlacedRange{}, -1
}

// chooseLargestRange chooses the whole range with the highest rate up to the
// target, for load that is spread over many ranges.
func (l *rangeLoads) chooseLargestRange(ranges []Range, mostLoaded, leastLoaded uint64, targetRate float64) (PlacedRange, int) {
	best, index, most := PlacedRange{}, -1, 0.0
	for n, r := range ranges {
		if r.Owner != mostLoaded || r.Next != 0 {
			continue
		}
		if rate := l.rate(r.From, r.To); rate > most && rate <= targetRate {
			best, index, most = PlacedRange{Session: leastLoaded, From: r.From, To: r.To}, n, rate
		}
	}
	return best, index
}

// shortestRun finds the shortest run of keys in a range that carries enough of the
// target rate, and not much more.
func (l *rangeLoads) shortestRun(r Range, targetRate float64) (from, to uint32, ok bool) {
	least, most := minMoveFraction*targetRate, maxMoveFraction*targetRate
	sum, start := 0.0, r.From
	for key := r.From; key <= r.To; key++ {
		sum += l.arrivals[key]
		for start < key && sum-l.arrivals[start] >= least {
			sum -= l.arrivals[start]
			start++
		}
		if sum >= least && sum <= most && sum > 0 && (!ok || key-start < to-from) {
			from, to, ok = start, key, true
		}
	}
	return from, to, ok
}
