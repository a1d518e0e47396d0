package supervisor

import (
	"time"

	"marigoldhill/control/assigner"
	"marigoldhill/control/balancer"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

const (
	// foundTime is how long a service without any owner of ranges waits after
	// the newest of its servers came. Servers that start together announce
	// themselves within a heartbeat of theirs, about a second; the first grant
	// of a key is the only one that costs no move.
	foundTime = 1500 * time.Millisecond
	// demandInterval is the time between two weighings of the load on ranges.
	demandInterval = 500 * time.Millisecond
	// demandWindow is the time constant of the mean load on keys. A hot key is
	// seen within two reports.
	demandWindow = time.Second
	// settleMoves is the time after moves of a service in which no more start, so
	// that their effect is measured first: a move takes two heartbeats.
	settleMoves = 800 * time.Millisecond
)

// demand is what the leader knows of the load on the ranges of a service.
type demand struct {
	// arrivals is the mean number of requests a second for each key.
	arrivals []float64
	// came is when the newest server came, servers how many there were then.
	came    timer.Instant
	servers int
	weighed timer.Instant
	moved   timer.Instant
}

// demandOf returns what is kept for the ranges of a service.
func (s *Supervisor) demandOf(service string) *demand {
	known := s.demands[service]
	if known == nil {
		known = &demand{arrivals: make([]float64, messenger.LastKey+1)}
		s.demands[service] = known
	}
	return known
}

// takeWork adds the work that a router with ranges reports.
func (s *Supervisor) takeWork(now timer.Instant, number uint64, beat *messenger.Heartbeat) {
	report := beat.Work
	if report == nil || report.Span <= 0 || beat.Server == nil || s.state.Ranges(beat.Server.Service) == nil {
		return
	}
	known := s.router(number)
	if known.born != beat.Server.Born {
		known.pace, known.conduct, known.born = pace{}, conduct{}, beat.Server.Born
	}
	known.pace.add(report)
	known.conduct.add(now, report)
	load := s.demandOf(beat.Server.Service)
	weight := min(report.Span.Seconds()/demandWindow.Seconds(), 1)
	for _, part := range report.Loads {
		if part.From > part.To || part.To > messenger.LastKey {
			continue
		}
		rate := float64(part.Arrivals) / report.Span.Seconds() / float64(part.To-part.From+1)
		for key := part.From; key <= part.To; key++ {
			load.arrivals[key] += weight * (rate - load.arrivals[key])
		}
	}
}

// pace is the mean time that a backend server takes for a request.
type pace struct {
	seconds float64
}

// paceRequests is how many requests count for half of the mean pace.
const paceRequests = 50

func (p *pace) add(report *messenger.RangeReport) {
	if report.Finished == 0 {
		return
	}
	mean := report.Busy.Seconds() / float64(report.Finished)
	if p.seconds == 0 {
		p.seconds = mean
		return
	}
	part := float64(report.Finished) / (float64(report.Finished) + paceRequests)
	p.seconds += part * (mean - p.seconds)
}

// conduct is how often a backend server failed its requests lately.
type conduct struct {
	share float64
	// told is when requests last spoke for or against the server.
	told timer.Instant
}

const (
	// conductRequests is how many requests count for half of the share of failures.
	conductRequests = 12
	// conductTime is how long failures count when no requests come any more, since
	// a server without keys shows no better conduct.
	conductTime = 8 * time.Second
)

func (c *conduct) add(now timer.Instant, report *messenger.RangeReport) {
	if report.Judged == 0 {
		return
	}
	before := c.failing(now)
	part := float64(report.Judged) / (float64(report.Judged) + conductRequests)
	c.share = before + part*(float64(report.Failed)/float64(report.Judged)-before)
	c.told = now
}

// failing is the share of failures, which fades while nothing is heard.
func (c *conduct) failing(now timer.Instant) float64 {
	if c.share == 0 {
		return 0
	}
	return c.share * max(1-now.Since(c.told).Seconds()/conductTime.Seconds(), 0)
}

// placeRanges grants free ranges, empties leaving servers and balances the load.
func (s *Supervisor) placeRanges(now timer.Instant, batch *batch) {
	if !s.hasGathered(now) {
		return
	}
	for _, r := range s.state.AllRanges() {
		s.placeService(now, r, batch)
	}
}

func (s *Supervisor) placeService(now timer.Instant, r *assigner.Ranges, batch *batch) {
	known := s.demandOf(r.Service)
	holders := s.holders(now, r)
	takers := 0
	for _, holder := range holders {
		if holder.Accepts {
			takers++
		}
	}
	if takers > known.servers {
		known.came = now
	}
	known.servers = takers
	subject := "ranges/" + r.Service
	if takers == 0 || batch.has(subject) {
		return
	}
	keys := rangesOf(r)
	if isFresh(keys) {
		if now.Since(known.came) >= foundTime {
			s.grantRanges(r, balancer.PlaceInitial(holders), "placed by slots", subject, batch)
		}
		return
	}
	if grants := balancer.PlaceFree(keys, holders, known.arrivals); len(grants) > 0 {
		s.grantRanges(r, grants, "free", subject, batch)
		return
	}
	if moves := balancer.Drain(keys, holders, known.arrivals); len(moves) > 0 {
		s.moveRanges(r, moves, "server leaves", subject, batch)
		return
	}
	if moves := balancer.EjectFailing(keys, holders, known.arrivals); len(moves) > 0 {
		s.moveRanges(r, moves, "server fails its requests", subject, batch)
		return
	}
	if now.Since(known.weighed) < demandInterval || now.Since(known.moved) < settleMoves {
		return
	}
	known.weighed = now
	if moves := balancer.Rebalance(keys, holders, known.arrivals); len(moves) > 0 {
		known.moved = now
		s.moveRanges(r, moves, "load", subject, batch)
	}
}

// rangesOf lists the ownership of the keys of a service.
func rangesOf(r *assigner.Ranges) []balancer.Range {
	var ranges []balancer.Range
	for _, piece := range r.Pieces() {
		entry := balancer.Range{From: piece.From, To: piece.To, Owner: piece.Value.Owner}
		if piece.Value.Phase == messenger.PhaseMoving {
			entry.Next = piece.Value.Next
		}
		ranges = append(ranges, entry)
	}
	return ranges
}

// isFresh reports whether no key was ever granted.
func isFresh(ranges []balancer.Range) bool {
	return len(ranges) == 1 && ranges[0].Owner == 0
}

// holders lists the sessions of a service that own ranges or may get some.
func (s *Supervisor) holders(now timer.Instant, r *assigner.Ranges) []balancer.RangeServer {
	var holders []balancer.RangeServer
	for _, session := range s.state.Sessions() {
		if session.Service() != r.Service || !session.Routed {
			continue
		}
		number := session.Row.Session
		known := s.routers[number]
		holder := balancer.RangeServer{
			Session:  number,
			Domain:   session.Row.Domain,
			Slots:    session.Row.Server.Slots,
			Accepts:  !session.Row.Leaving && s.isReady(number),
			Draining: session.Row.Leaving,
		}
		if known != nil {
			holder.RequestSeconds = known.pace.seconds
			holder.FailureRate = known.conduct.failing(now)
		}
		holders = append(holders, holder)
	}
	return holders
}

func (s *Supervisor) grantRanges(r *assigner.Ranges, placed []balancer.PlacedRange, why, subject string, batch *batch) {
	batch.add(subject, assigner.Command{GrantRanges: &assigner.GrantRanges{
		Service: r.Service, Placements: placementsOf(placed), Why: why,
	}})
}

func (s *Supervisor) moveRanges(r *assigner.Ranges, placed []balancer.PlacedRange, why, subject string, batch *batch) {
	batch.add(subject, assigner.Command{MoveRanges: &assigner.MoveRanges{
		Service: r.Service, Placements: placementsOf(placed), Why: why,
	}})
}

func placementsOf(placed []balancer.PlacedRange) []assigner.RangePlacement {
	var placements []assigner.RangePlacement
	for _, p := range placed {
		placements = append(placements, assigner.RangePlacement{Session: p.Session, From: p.From, To: p.To})
	}
	return placements
}
