package balancer

import (
	"cmp"
	"math"
	"slices"

	"marigoldhill/kernel/messenger"
)

const (
	// initialRanges is how many ranges each server gets at first. Busy keys lie
	// close together, so many small ranges distribute them better than one large
	// range. Each range costs its server a renewal.
	initialRanges = 12
)

// Range is the ownership of a range of keys, both ends included.
type Range struct {
	From uint32
	To   uint32
	// Owner is the session that owns the range, 0 when it is free.
	Owner uint64
	// Next is the session that the range moves to, 0 when it does not move.
	Next uint64
}

// finalOwner is the session that owns the range once its move has ended.
func (r *Range) finalOwner() uint64 {
	if r.Next != 0 {
		return r.Next
	}
	return r.Owner
}

// RangeServer is a server that owns ranges or may get some.
type RangeServer struct {
	Session uint64
	Domain  string
	Slots   int
	// RequestSeconds is the mean time for a request, 0 when it is unknown.
	RequestSeconds float64
	// FailureRate is the recent fraction of failed requests, from 0 to 1.
	FailureRate float64
	// Accepts reports whether it may get ranges, Draining whether all of its ranges
	// must move away.
	Accepts  bool
	Draining bool
	// ColdRate is how many requests per second the server can handle while it is cold; 0
	// if it is warm or the rate is unknown.
	ColdRate float64
}

// PlacedRange assigns a range to a session.
type PlacedRange struct {
	Session uint64
	From    uint32
	To      uint32
}

// PlaceInitial distributes all keys over servers that start together.
func PlaceInitial(servers []RangeServer) []PlacedRange {
	accepting, slots := acceptingServers(servers)
	if slots == 0 {
		return nil
	}
	var placed []PlacedRange
	keys := float64(messenger.LastKey + 1)
	next, assigned := uint32(0), 0.0
	for range initialRanges {
		for _, server := range accepting {
			assigned += float64(server.Slots) / float64(slots) / initialRanges
			end := uint32(math.Round(assigned * keys))
			if end > next {
				placed = append(placed, PlacedRange{Session: server.Session, From: next, To: end - 1})
				next = end
			}
		}
	}
	return placed
}

// acceptingServers lists the servers that accept ranges, and the sum of their
// slots. Neighbors are in different failure domains where that is possible.
func acceptingServers(servers []RangeServer) ([]RangeServer, int) {
	byDomain := make(map[string]int)
	type ordered struct {
		server      RangeServer
		domainOrder int
	}
	var list []ordered
	slots := 0
	for _, server := range servers {
		if !server.Accepts || server.Slots <= 0 {
			continue
		}
		list = append(list, ordered{server, byDomain[server.Domain]})
		byDomain[server.Domain]++
		slots += server.Slots
	}
	slices.SortStableFunc(list, func(a, b ordered) int { return cmp.Compare(a.domainOrder, b.domainOrder) })
	accepting := make([]RangeServer, 0, len(list))
	for _, entry := range list {
		accepting = append(accepting, entry.server)
	}
	return accepting, slots
}

// PlaceFree places the ranges that have no owner. It handles the loss of a server:
// its ranges go one by one to the server that is least loaded at that point.
func PlaceFree(ranges []Range, servers []RangeServer, arrivals []float64) []PlacedRange {
	return placeMatching(ranges, servers, arrivals, func(r Range) bool { return r.Owner == 0 })
}

// Drain moves the ranges of draining servers.
func Drain(ranges []Range, servers []RangeServer, arrivals []float64) []PlacedRange {
	draining := make(map[uint64]bool)
	for _, server := range servers {
		draining[server.Session] = server.Draining
	}
	return placeMatching(ranges, servers, arrivals, func(r Range) bool { return r.Next == 0 && draining[r.Owner] })
}

// placeMatching assigns the ranges that match to the least loaded servers. The
// leader calls it at each tick and mostly nothing matches; the load on all keys is
// summed up only when something does.
func placeMatching(ranges []Range, servers []RangeServer, arrivals []float64, match func(Range) bool) []PlacedRange {
	matching := selectRanges(ranges, match)
	if len(matching) == 0 {
		return nil
	}
	return newRangeLoads(ranges, servers, arrivals).place(matching)
}

func selectRanges(ranges []Range, match func(Range) bool) []Range {
	var matching []Range
	for _, r := range ranges {
		if match(r) {
			matching = append(matching, r)
		}
	}
	return matching
}

// place assigns ranges to the least loaded servers, one after the other.
func (l *rangeLoads) place(ranges []Range) []PlacedRange {
	var placed []PlacedRange
	for _, r := range ranges {
		for _, part := range l.splitByLoad(r) {
			target := l.leastLoaded(r.Owner)
			if target == 0 {
				continue
			}
			l.addRange(target, part.From, part.To, 1)
			if last := len(placed) - 1; last >= 0 && placed[last].Session == target && placed[last].To+1 == part.From {
				placed[last].To = part.To
				continue
			}
			placed = append(placed, PlacedRange{Session: target, From: part.From, To: part.To})
		}
	}
	return placed
}

// splitByLoad splits a range into a few parts of equal load, at most one for each
// two servers, so that a large range does not go to a single server.
func (l *rangeLoads) splitByLoad(r Range) []Range {
	const keysPerPart = 512
	return l.split(r, min(int(r.To-r.From+1)/keysPerPart+1, max(len(l.servers)/2, 1)))
}

// split splits a range into at most count parts of equal load.
func (l *rangeLoads) split(r Range, count int) []Range {
	total := l.rate(r.From, r.To)
	if count < 2 || total == 0 {
		return []Range{r}
	}
	var parts []Range
	from, sum := r.From, 0.0
	for key := r.From; key <= r.To; key++ {
		sum += l.arrivals[key]
		if key == r.To || (sum >= total/float64(count) && len(parts) < count-1) {
			parts = append(parts, Range{From: from, To: key, Owner: r.Owner})
			from, sum = key+1, 0
		}
	}
	return parts
}
