package balancer

import (
	"math"

	"marigoldhill/kernel/messenger"
)

const (
	// baseKeyLoad is the load, in slots, that all keys together are counted with
	// when there are no requests: enough to order idle servers, and negligible
	// beside real load.
	baseKeyLoad = 1e-3
	// defaultRequestSeconds is the time for a request that is assumed while no
	// server has finished any.
	defaultRequestSeconds = 0.1
)

// rangeLoads has the loads of servers while ranges are placed and moved.
type rangeLoads struct {
	arrivals []float64
	servers  map[uint64]*RangeServer
	// load is the number of slots in use and keys the number of keys, by session.
	load               map[uint64]float64
	keys               map[uint64]float64
	meanRequestSeconds float64
	// medianFailureRate is the baseline for the failure rates of servers, since all
	// of them fail requests when a service that they call fails.
	medianFailureRate float64
	// warm is the number of servers that may get ranges, have no ColdRate and are not
	// ejected.
	warm int
	// passedOver are the servers that no move can relieve.
	passedOver map[uint64]bool
}

func newRangeLoads(ranges []Range, servers []RangeServer, arrivals []float64) *rangeLoads {
	l := &rangeLoads{
		arrivals:           arrivals,
		servers:            make(map[uint64]*RangeServer),
		load:               make(map[uint64]float64),
		keys:               make(map[uint64]float64),
		passedOver:         make(map[uint64]bool),
		meanRequestSeconds: meanRequestSecondsOf(servers),
		medianFailureRate:  medianFailureRateOf(servers),
	}
	for n := range servers {
		l.servers[servers[n].Session] = &servers[n]
		if server := &servers[n]; server.Accepts && server.ColdRate == 0 && l.excessFailureRate(server) < ejectionThreshold {
			l.warm++
		}
	}
	for n := range ranges {
		if finalOwner := ranges[n].finalOwner(); finalOwner != 0 {
			l.addRange(finalOwner, ranges[n].From, ranges[n].To, 1)
		}
	}
	return l
}

func meanRequestSecondsOf(servers []RangeServer) float64 {
	sum, count := 0.0, 0
	for _, server := range servers {
		if server.RequestSeconds > 0 {
			sum += server.RequestSeconds
			count++
		}
	}
	if count == 0 {
		return defaultRequestSeconds
	}
	return sum / float64(count)
}

func (l *rangeLoads) requestSeconds(session uint64) float64 {
	server := l.servers[session]
	if server == nil {
		return l.meanRequestSeconds
	}
	seconds := server.RequestSeconds
	if seconds <= 0 {
		seconds = l.meanRequestSeconds
	}
	return max(seconds, server.coldRequestSeconds())
}

// rate is the number of requests per second for a range.
func (l *rangeLoads) rate(from, to uint32) float64 {
	sum := 0.0
	for key := from; key <= to; key++ {
		sum += l.arrivals[key]
	}
	return sum
}

// addRange adds a range to a session, or removes it when sign is -1.
func (l *rangeLoads) addRange(session uint64, from, to uint32, sign float64) {
	l.load[session] += sign * l.rate(from, to) * l.requestSeconds(session)
	l.keys[session] += sign * float64(to-from+1)
}

// utilization is the fraction of the effective slots of a session that is in use.
// Keys without requests count a little, so that servers without any load can be
// ordered.
func (l *rangeLoads) utilization(session uint64) float64 {
	server := l.servers[session]
	if server == nil || server.Slots <= 0 {
		return math.Inf(1)
	}
	return (l.load[session] + baseKeyLoad*l.keys[session]/(messenger.LastKey+1)) / l.effectiveSlots(server)
}

func (l *rangeLoads) effectiveSlots(server *RangeServer) float64 {
	return float64(server.Slots) * (1 - l.excessFailureRate(server))
}

// leastLoaded is the server other than except with the lowest utilization of those
// that may get ranges, 0 when there is none.
func (l *rangeLoads) leastLoaded(except uint64) uint64 {
	best := uint64(0)
	for session, server := range l.servers {
		if !l.mayGet(server) || session == except || l.excessFailureRate(server) >= ejectionThreshold {
			continue
		}
		if best == 0 || l.utilization(session) < l.utilization(best) || (l.utilization(session) == l.utilization(best) && session < best) {
			best = session
		}
	}
	return best
}

// completionInterval is the time between two finished requests of a server with all
// slots in use.
func (l *rangeLoads) completionInterval(session uint64) float64 {
	return l.requestSeconds(session) / l.effectiveSlots(l.servers[session])
}

// fastest is the server with the shortest completion interval of those that may get
// ranges, 0 when there is none.
func (l *rangeLoads) fastest() uint64 {
	best := uint64(0)
	for session, server := range l.servers {
		if !l.mayGet(server) || server.Slots <= 0 || l.excessFailureRate(server) >= ejectionThreshold {
			continue
		}
		if best == 0 || l.completionInterval(session) < l.completionInterval(best) || (l.completionInterval(session) == l.completionInterval(best) && session < best) {
			best = session
		}
	}
	return best
}

// extremes returns the most and the least loaded server, and the mean utilization, of the
// servers that are not passed over.
func (l *rangeLoads) extremes() (mostLoaded, leastLoaded uint64, mean float64) {
	leastLoaded = l.leastLoaded(0)
	sum, count := 0.0, 0
	for session, server := range l.servers {
		if !server.Accepts || l.passedOver[session] {
			continue
		}
		sum += l.utilization(session)
		count++
		if mostLoaded == 0 || l.utilization(session) > l.utilization(mostLoaded) || (l.utilization(session) == l.utilization(mostLoaded) && session < mostLoaded) {
			mostLoaded = session
		}
	}
	if count == 0 {
		return 0, 0, 0
	}
	return mostLoaded, leastLoaded, sum / float64(count)
}
