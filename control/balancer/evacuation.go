package balancer

import (
	"cmp"
	"math"
	"slices"

	"marigoldhill/kernel/messenger"
)

// Evacuate plans one step of the evacuation of a failure domain: about a remaining-th of
// the load that is left there moves to the least loaded servers that accept ranges.
//
// Each range that moves makes its requests wait for the handover and delivers them to the
// new owner together. When all ranges of a domain move at once, all its requests wait at
// the same time and arrive within one heartbeat. In steps, the other servers work off the
// requests of one part before the next arrives. The hottest ranges are in different steps;
// a range with more than half of a step's load is split.
//
// Ranges of draining servers are left to [Drain]. Nothing moves while no server accepts
// ranges.
func Evacuate(ranges []Range, servers []RangeServer, arrivals []float64, domain string, remaining int) []PlacedRange {
	leaving := make(map[uint64]bool)
	for _, server := range servers {
		leaving[server.Session] = server.Domain == domain && !server.Draining
	}
	staying := selectRanges(ranges, func(r Range) bool { return r.Next == 0 && leaving[r.Owner] })
	if len(staying) == 0 {
		return nil
	}
	l := newRangeLoads(ranges, servers, arrivals)
	return l.place(l.firstPart(staying, max(remaining, 1)))
}

// firstPart divides ranges into parts of about equal load and returns the part with the
// hottest range.
func (l *rangeLoads) firstPart(ranges []Range, count int) []Range {
	total := 0.0
	for _, r := range ranges {
		total += l.weight(r)
	}
	type weighted struct {
		Range
		weight float64
	}
	var pieces []weighted
	for _, r := range ranges {
		for _, piece := range l.split(r, int(math.Ceil(l.weight(r)/total*float64(2*count)))) {
			pieces = append(pieces, weighted{piece, l.weight(piece)})
		}
	}
	slices.SortStableFunc(pieces, func(a, b weighted) int { return cmp.Compare(b.weight, a.weight) })
	sums := make([]float64, count)
	var first []Range
	for _, piece := range pieces {
		lightest := 0
		for n := range sums {
			if sums[n] < sums[lightest] {
				lightest = n
			}
		}
		sums[lightest] += piece.weight
		if lightest == 0 {
			first = append(first, piece.Range)
		}
	}
	return first
}

// weight is the load of a range in slots. Keys without requests count a little, so that
// idle ranges are spread over the steps, too.
func (l *rangeLoads) weight(r Range) float64 {
	return l.rate(r.From, r.To)*l.requestSeconds(r.Owner) + baseKeyLoad*float64(r.To-r.From+1)/(messenger.LastKey+1)
}
