package balancer

import (
	"slices"
)

const (
	// ejectionThreshold is the failure rate, in excess of the median, from which a
	// server is ejected. It then does more harm than good with the keys that it
	// owns.
	ejectionThreshold = 0.5
	// maxEjectedFraction bounds the servers that are ejected, as a fraction of all.
	// When more fail, the cause is probably elsewhere.
	maxEjectedFraction = 1.0 / 3
	// maxExcess bounds how far failures reduce the effective slots of a server.
	maxExcess = 0.9
)

// medianFailureRateOf is the median failure rate of the servers that accept ranges.
// At least half of them do not exceed it, so that there is always a server to
// choose.
func medianFailureRateOf(servers []RangeServer) float64 {
	var rates []float64
	for _, server := range servers {
		if server.Accepts {
			rates = append(rates, server.FailureRate)
		}
	}
	if len(rates) == 0 {
		return 0
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}

// excessFailureRate is how far the failure rate of a server exceeds the median.
func (l *rangeLoads) excessFailureRate(server *RangeServer) float64 {
	return min(max(server.FailureRate-l.medianFailureRate, 0), maxExcess)
}

// EjectFailing moves the ranges of servers that fail most of their requests
// although they report that they are healthy. Nothing moves when many servers fail,
// since a new owner would not do better.
func EjectFailing(ranges []Range, servers []RangeServer, arrivals []float64) []PlacedRange {
	median := medianFailureRateOf(servers)
	ejected := make(map[uint64]bool)
	accepting := 0
	for _, server := range servers {
		if !server.Accepts {
			continue
		}
		accepting++
		if server.FailureRate-median >= ejectionThreshold {
			ejected[server.Session] = true
		}
	}
	if float64(len(ejected)) > maxEjectedFraction*float64(accepting) {
		return nil
	}
	return placeMatching(ranges, servers, arrivals, func(r Range) bool { return r.Next == 0 && ejected[r.Owner] })
}
