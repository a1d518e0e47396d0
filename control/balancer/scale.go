package balancer

import (
	"math"

	"marigoldhill/kernel/messenger"
)

const (
	// keyWeight is the load of all keys together, in slots, when nobody asks for
	// them: enough to tell idle servers apart, and nothing beside real load.
	keyWeight = 1e-3
	// defaultPace is the time for a request, in seconds, that a server is
	// credited with before it finished any.
	defaultPace = 0.1
)

// scale weighs the load of servers against each other.
type scale struct {
	arrivals []float64
	holders  map[uint64]*Holder
	// load is the slots in use by session, keys its number of keys.
	load map[uint64]float64
	keys map[uint64]float64
	pace float64
	// failing is the middle share of failures. A server is judged by how far it is
	// above that: all fail alike when a service that they call does.
	failing float64
}

func newScale(ranges []Range, holders []Holder, arrivals []float64) *scale {
	s := &scale{
		arrivals: arrivals,
		holders:  make(map[uint64]*Holder),
		load:     make(map[uint64]float64),
		keys:     make(map[uint64]float64),
		pace:     meanPace(holders),
		failing:  middleFailing(holders),
	}
	for n := range holders {
		s.holders[holders[n].Session] = &holders[n]
	}
	for n := range ranges {
		if holder := ranges[n].holder(); holder != 0 {
			s.give(holder, ranges[n].From, ranges[n].To, 1)
		}
	}
	return s
}

func meanPace(holders []Holder) float64 {
	sum, count := 0.0, 0
	for _, holder := range holders {
		if holder.Pace > 0 {
			sum += holder.Pace
			count++
		}
	}
	if count == 0 {
		return defaultPace
	}
	return sum / float64(count)
}

func (s *scale) paceOf(session uint64) float64 {
	if holder := s.holders[session]; holder != nil && holder.Pace > 0 {
		return holder.Pace
	}
	return s.pace
}

// rate is the number of requests a second for a range.
func (s *scale) rate(from, to uint32) float64 {
	sum := 0.0
	for key := from; key <= to; key++ {
		sum += s.arrivals[key]
	}
	return sum
}

// give adds a range to a session, or takes it away with a sign of -1.
func (s *scale) give(session uint64, from, to uint32, sign float64) {
	s.load[session] += sign * s.rate(from, to) * s.paceOf(session)
	s.keys[session] += sign * float64(to-from+1)
}

// use is the part of the slots of a session that is in use. Slots count as far as
// their work does not fail, and keys count a little, so that servers without any
// load are told apart.
func (s *scale) use(session uint64) float64 {
	holder := s.holders[session]
	if holder == nil || holder.Slots <= 0 {
		return math.Inf(1)
	}
	return (s.load[session] + keyWeight*s.keys[session]/(messenger.LastKey+1)) / s.slotsOf(holder)
}

func (s *scale) slotsOf(holder *Holder) float64 {
	return float64(holder.Slots) * (1 - s.excess(holder))
}

// idlest is the server that is least in use of those that may get ranges, 0
// when there is none.
func (s *scale) idlest(except uint64) uint64 {
	best := uint64(0)
	for session, holder := range s.holders {
		if !holder.Takes || session == except || s.excess(holder) >= failsMost {
			continue
		}
		if best == 0 || s.use(session) < s.use(best) || (s.use(session) == s.use(best) && session < best) {
			best = session
		}
	}
	return best
}

// turn is the time in which a server with all slots in use ends one request.
func (s *scale) turn(session uint64) float64 {
	return s.paceOf(session) / s.slotsOf(s.holders[session])
}

// fastest is the server that ends requests fastest of those that may get ranges.
func (s *scale) fastest() uint64 {
	best := uint64(0)
	for session, holder := range s.holders {
		if !holder.Takes || holder.Slots <= 0 || s.excess(holder) >= failsMost {
			continue
		}
		if best == 0 || s.turn(session) < s.turn(best) || (s.turn(session) == s.turn(best) && session < best) {
			best = session
		}
	}
	return best
}

// extremes are the busiest and the idlest server, and the mean use.
func (s *scale) extremes() (busiest, idlest uint64, mean float64) {
	idlest = s.idlest(0)
	sum, count := 0.0, 0
	for session, holder := range s.holders {
		if !holder.Takes {
			continue
		}
		sum += s.use(session)
		count++
		if busiest == 0 || s.use(session) > s.use(busiest) || (s.use(session) == s.use(busiest) && session < busiest) {
			busiest = session
		}
	}
	if count == 0 {
		return 0, 0, 0
	}
	return busiest, idlest, sum / float64(count)
}
