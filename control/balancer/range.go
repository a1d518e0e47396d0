package balancer

import (
	"cmp"
	"math"
	"slices"

	"marigoldhill/kernel/messenger"
)

const (
	// foundParts is how many ranges each server gets at first. Busy keys lie
	// close together, so many small ranges share them out better than one; each
	// range costs its server a renewal.
	foundParts = 12
)

// Range is the ownership of a range of keys, both ends included.
type Range struct {
	From uint32
	To   uint32
	// Owner is the session that owns it, 0 when it is free.
	Owner uint64
	// Next is the session that it moves to, 0 unless it moves.
	Next uint64
}

// holder is the session that has the range once moves have ended.
func (r *Range) holder() uint64 {
	if r.Next != 0 {
		return r.Next
	}
	return r.Owner
}

// Holder is a server that owns ranges or may get some.
type Holder struct {
	Session uint64
	Domain  string
	Slots   int
	// Pace is the mean time for a request in seconds, 0 when it is not known.
	Pace float64
	// Failing is the share of its requests that it failed lately, from 0 to 1.
	Failing float64
	// Takes says that it may get ranges, Leaves that it must give all away.
	Takes  bool
	Leaves bool
}

// Placed gives a range to a session.
type Placed struct {
	Session uint64
	From    uint32
	To      uint32
}

// Found shares all keys out among servers that start together.
func Found(holders []Holder) []Placed {
	takers, slots := takersOf(holders)
	if slots == 0 {
		return nil
	}
	var placed []Placed
	keys := float64(messenger.LastKey + 1)
	next, done := uint32(0), 0.0
	for range foundParts {
		for _, taker := range takers {
			done += float64(taker.Slots) / float64(slots) / foundParts
			end := uint32(math.Round(done * keys))
			if end > next {
				placed = append(placed, Placed{Session: taker.Session, From: next, To: end - 1})
				next = end
			}
		}
	}
	return placed
}

// takersOf lists the servers that may get ranges, neighbours in different
// failure domains where that is possible, and the sum of their slots.
func takersOf(holders []Holder) ([]Holder, int) {
	byDomain := make(map[string]int)
	type ordered struct {
		holder Holder
		turn   int
	}
	var list []ordered
	slots := 0
	for _, holder := range holders {
		if !holder.Takes || holder.Slots <= 0 {
			continue
		}
		list = append(list, ordered{holder, byDomain[holder.Domain]})
		byDomain[holder.Domain]++
		slots += holder.Slots
	}
	slices.SortStableFunc(list, func(a, b ordered) int { return cmp.Compare(a.turn, b.turn) })
	takers := make([]Holder, 0, len(list))
	for _, entry := range list {
		takers = append(takers, entry.holder)
	}
	return takers, slots
}

// Fill places the ranges that have no owner. It answers the load of a lost
// server: its ranges go one by one to whoever is least in use then.
func Fill(ranges []Range, holders []Holder, arrivals []float64) []Placed {
	return place(ranges, holders, arrivals, func(r Range) bool { return r.Owner == 0 })
}

// Empty moves the ranges of servers that leave.
func Empty(ranges []Range, holders []Holder, arrivals []float64) []Placed {
	leaves := make(map[uint64]bool)
	for _, holder := range holders {
		leaves[holder.Session] = holder.Leaves
	}
	return place(ranges, holders, arrivals, func(r Range) bool { return r.Next == 0 && leaves[r.Owner] })
}

// place gives the ranges that fits holds for to the servers that are least in use.
// The leader asks at each tick, and mostly there are none; only then the load on
// all keys is summed up.
func place(ranges []Range, holders []Holder, arrivals []float64, fits func(Range) bool) []Placed {
	var wanted []Range
	for _, r := range ranges {
		if fits(r) {
			wanted = append(wanted, r)
		}
	}
	if len(wanted) == 0 {
		return nil
	}
	s := newScale(ranges, holders, arrivals)
	var placed []Placed
	for _, r := range wanted {
		for _, part := range s.divide(r) {
			target := s.idlest(r.Owner)
			if target == 0 {
				continue
			}
			s.give(target, part.From, part.To, 1)
			if last := len(placed) - 1; last >= 0 && placed[last].Session == target && placed[last].To+1 == part.From {
				placed[last].To = part.To
				continue
			}
			placed = append(placed, Placed{Session: target, From: part.From, To: part.To})
		}
	}
	return placed
}

// divide cuts a range into a few parts of equal load, at most one for each two
// servers, so that a large one does not fall to a single server.
func (s *scale) divide(r Range) []Range {
	const partKeys = 512
	count := min(int(r.To-r.From+1)/partKeys+1, max(len(s.holders)/2, 1))
	total := s.rate(r.From, r.To)
	if count < 2 || total == 0 {
		return []Range{r}
	}
	var parts []Range
	from, sum := r.From, 0.0
	for key := r.From; key <= r.To; key++ {
		sum += s.arrivals[key]
		if key == r.To || (sum >= total/float64(count) && len(parts) < count-1) {
			parts = append(parts, Range{From: from, To: key})
			from, sum = key+1, 0
		}
	}
	return parts
}
