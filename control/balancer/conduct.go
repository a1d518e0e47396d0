package balancer

import (
	"slices"
)

const (
	// failsMost is the share of failed requests from which on a server does more
	// harm than good with the keys that it holds.
	failsMost = 0.5
	// shunPart is the most servers, as a part of all, that lose their keys for
	// failing. When more fail, the cause is likely to be elsewhere.
	shunPart = 1.0 / 3
	// mostExcess bounds how far failures lower the weight of a server.
	mostExcess = 0.9
)

// middleFailing is the middle share of failures of the servers that take ranges. At
// least half of them are then no worse than it, so that some can always be chosen.
func middleFailing(holders []Holder) float64 {
	var shares []float64
	for _, holder := range holders {
		if holder.Takes {
			shares = append(shares, holder.Failing)
		}
	}
	if len(shares) == 0 {
		return 0
	}
	slices.Sort(shares)
	return shares[len(shares)/2]
}

// excess is how much more often a server fails than the middle one.
func (s *scale) excess(holder *Holder) float64 {
	return min(max(holder.Failing-s.failing, 0), mostExcess)
}

// Shun moves the ranges of servers that fail most of their requests though they
// say that they are well. Nothing moves when many servers fail: whoever took the
// keys would not do better.
func Shun(ranges []Range, holders []Holder, arrivals []float64) []Placed {
	middle := middleFailing(holders)
	shunned := make(map[uint64]bool)
	takers := 0
	for _, holder := range holders {
		if !holder.Takes {
			continue
		}
		takers++
		if holder.Failing-middle >= failsMost {
			shunned[holder.Session] = true
		}
	}
	if float64(len(shunned)) > shunPart*float64(takers) {
		return nil
	}
	return place(ranges, holders, arrivals, func(r Range) bool { return r.Next == 0 && shunned[r.Owner] })
}
