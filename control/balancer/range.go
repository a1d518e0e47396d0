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
	// failsMost is the share of failed requests from which on a server does more
	// harm than good with the keys that it holds.
	failsMost = 0.5
	// shunPart is the most servers, as a part of all, that lose their keys for
	// failing. When more fail, the cause is likely to be elsewhere.
	shunPart = 1.0 / 3
	// mostExcess bounds how far failures lower the weight of a server.
	mostExcess = 0.9
	// fasterPart is the time for a request, as a part of that at the owner, below
	// which a server is worth the move of a key that overloads its owner alone.
	fasterPart = 0.75
	// keyWeight is the load of all keys together, in slots, when nobody asks for
	// them: enough to tell idle servers apart, and nothing beside real load.
	keyWeight = 1e-3
	// defaultPace is the time for a request, in seconds, that a server is
	// credited with before it finished any.
	defaultPace = 0.1
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
