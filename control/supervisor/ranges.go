package supervisor

import (
	"math"
	"time"

	"marigoldhill/control/assigner"
	"marigoldhill/control/balancer"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

const (
	// firstRangeGrantDelay is how long a service without any owned ranges waits
	// after its newest server joined. Servers that start together announce
	// themselves within one of their heartbeats, about a second, and only the first
	// grant of a key needs no move.
	firstRangeGrantDelay = 1500 * time.Millisecond
	// rebalanceInterval is the least time between two checks of the load on ranges.
	rebalanceInterval = 500 * time.Millisecond
	// demandWindow is the time constant of the mean load on keys. With it, a hot
	// key is detected within two reports.
	demandWindow = time.Second
	// moveSettleTime is the time after moves of a service in which no more start,
	// so that their effect is measured first. A move takes two heartbeats.
	moveSettleTime = 800 * time.Millisecond
)

// rangeDemand is the measured load on the ranges of a service.
type rangeDemand struct {
	// arrivals is the mean number of requests per second for each key.
	arrivals []float64
	// servers is the number of servers that accepted ranges at the last check,
	// lastJoined when it last grew.
	lastJoined  timer.Instant
	servers     int
	lastChecked timer.Instant
	lastMoved   timer.Instant
	// evacuations is the progress of evacuations, by failure domain.
	evacuations map[string]evacuationProgress
}

// demandOf returns the demand of a service, which it creates if necessary.
func (s *Supervisor) demandOf(service string) *rangeDemand {
	demand := s.demands[service]
	if demand == nil {
		demand = &rangeDemand{
			arrivals:    make([]float64, messenger.LastKey+1),
			evacuations: make(map[string]evacuationProgress),
		}
		s.demands[service] = demand
	}
	return demand
}

// addRangeLoads adds the load that a router with ranges reports.
func (s *Supervisor) addRangeLoads(now timer.Instant, number uint64, heartbeat *messenger.Heartbeat) {
	report := heartbeat.Work
	if report == nil || report.Span <= 0 || heartbeat.Server == nil || s.state.Ranges(heartbeat.Server.Service) == nil {
		return
	}
	router := s.routerState(number)
	if router.born != heartbeat.Server.Born {
		router.requestTime, router.failureRate, router.born = requestTime{}, failureRate{}, heartbeat.Server.Born
	}
	router.requestTime.add(now, report)
	router.failureRate.add(now, report)
	demand := s.demandOf(heartbeat.Server.Service)
	weight := min(report.Span.Seconds()/demandWindow.Seconds(), 1)
	for _, load := range report.Loads {
		if load.From > load.To || load.To > messenger.LastKey {
			continue
		}
		rate := float64(load.Arrivals) / report.Span.Seconds() / float64(load.To-load.From+1)
		for key := load.From; key <= load.To; key++ {
			demand.arrivals[key] += weight * (rate - demand.arrivals[key])
		}
	}
}

// requestTime is the mean time that a backend server takes for a request.
type requestTime struct {
	seconds float64
	// updated is when a report last changed it.
	updated timer.Instant
}

const (
	// requestTimeSamples is the number of requests that have half of the weight in the
	// mean time for a request.
	requestTimeSamples = 50
	// requestTimeAge is the time constant with which the mean loses weight against newer
	// requests, however few. A server that was slow has few keys, so that few requests show
	// that it is fast again.
	requestTimeAge = 10 * time.Second
)

func (t *requestTime) add(now timer.Instant, report *messenger.RangeLoadReport) {
	if report.Finished == 0 {
		return
	}
	mean := report.Busy.Seconds() / float64(report.Finished)
	if t.seconds == 0 {
		t.seconds, t.updated = mean, now
		return
	}
	weight := float64(report.Finished) / (float64(report.Finished) + requestTimeSamples)
	age := now.SinceMonotonic(t.updated).Seconds() / requestTimeAge.Seconds()
	weight = max(weight, 1-math.Exp(-age))
	t.seconds += weight * (mean - t.seconds)
	t.updated = now
}

// failureRate is the recent fraction of requests that a backend server failed.
type failureRate struct {
	rate float64
	// updated is when a report last changed the rate.
	updated timer.Instant
}

const (
	// failureRateSamples is the number of requests that have half of the weight in
	// the rate.
	failureRateSamples = 12
	// failureRateDecay is the time in which the rate decays to zero without new
	// requests. It must decay, since a server without keys gets no requests that
	// could lower it.
	failureRateDecay = 8 * time.Second
)

func (f *failureRate) add(now timer.Instant, report *messenger.RangeLoadReport) {
	if report.Judged == 0 {
		return
	}
	before := f.current(now)
	weight := float64(report.Judged) / (float64(report.Judged) + failureRateSamples)
	f.rate = before + weight*(float64(report.Failed)/float64(report.Judged)-before)
	f.updated = now
}

// current returns the rate, decayed by the time since the last report.
func (f *failureRate) current(now timer.Instant) float64 {
	if f.rate == 0 {
		return 0
	}
	return f.rate * max(1-now.Since(f.updated).Seconds()/failureRateDecay.Seconds(), 0)
}

// placeRanges grants free ranges, drains leaving servers and evacuated failure domains,
// and balances the load.
func (s *Supervisor) placeRanges(now timer.Instant, batch *batch) {
	if !s.hasRouterReports(now) {
		return
	}
	for _, r := range s.state.AllRanges() {
		s.placeServiceRanges(now, r, batch)
	}
}

func (s *Supervisor) placeServiceRanges(now timer.Instant, r *assigner.Ranges, batch *batch) {
	demand := s.demandOf(r.Service)
	rangeServers := s.rangeServers(now, r)
	accepting := 0
	for _, server := range rangeServers {
		if server.Accepts {
			accepting++
		}
	}
	if accepting > demand.servers {
		demand.lastJoined = now
	}
	demand.servers = accepting
	subject := "ranges/" + r.Service
	if accepting == 0 || batch.has(subject) {
		return
	}
	ranges := rangesOf(r)
	if neverGranted(ranges) {
		if now.Since(demand.lastJoined) >= firstRangeGrantDelay {
			s.grantRanges(r, balancer.PlaceInitial(rangeServers), "placed by slots", subject, batch)
		}
		return
	}
	if grants := balancer.PlaceFree(ranges, rangeServers, demand.arrivals); len(grants) > 0 {
		s.grantRanges(r, grants, "free", subject, batch)
		return
	}
	if moves := balancer.Drain(ranges, rangeServers, demand.arrivals); len(moves) > 0 {
		s.moveRanges(r, moves, "server leaves", subject, batch)
		return
	}
	if s.evacuateRanges(now, r, ranges, rangeServers, subject, batch) {
		return
	}
	if moves := balancer.EjectFailing(ranges, rangeServers, demand.arrivals); len(moves) > 0 {
		s.moveRanges(r, moves, "server fails its requests", subject, batch)
		return
	}
	if now.Since(demand.lastChecked) < rebalanceInterval || now.Since(demand.lastMoved) < moveSettleTime {
		return
	}
	demand.lastChecked = now
	if moves := balancer.Rebalance(ranges, rangeServers, demand.arrivals); len(moves) > 0 {
		demand.lastMoved = now
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

// ownsRanges reports whether a session owns any ranges. Such a session is not closed at
// the request of its router, which may not know of all the keys that its backend server
// holds: it may have resumed the session of an earlier process.
func (s *Supervisor) ownsRanges(session uint64) bool {
	for _, r := range s.state.AllRanges() {
		for _, piece := range r.Pieces() {
			if piece.Value.Owner == session {
				return true
			}
		}
	}
	return false
}

// neverGranted reports whether no key was ever granted.
func neverGranted(ranges []balancer.Range) bool {
	return len(ranges) == 1 && ranges[0].Owner == 0
}

// rangeServers lists the servers of a service that own ranges or may get some.
func (s *Supervisor) rangeServers(now timer.Instant, r *assigner.Ranges) []balancer.RangeServer {
	var rangeServers []balancer.RangeServer
	coldRate := 0.0
	if service := s.state.Configuration().Service(r.Service); service != nil {
		coldRate = service.ColdRate
	}
	for _, session := range s.state.Sessions() {
		if session.Service() != r.Service || !session.Routed {
			continue
		}
		number := session.Row.Session
		router := s.routers[number]
		server := balancer.RangeServer{
			Session:  number,
			Domain:   session.Row.Domain,
			Slots:    session.Row.Server.Slots,
			Accepts:  !session.Row.Leaving && s.isReady(number),
			Draining: s.state.IsDraining(session),
		}
		if session.Row.Server.Cold {
			server.ColdRate = coldRate
		}
		if router != nil {
			server.RequestSeconds = router.requestTime.seconds
			server.FailureRate = router.failureRate.current(now)
		}
		rangeServers = append(rangeServers, server)
	}
	return rangeServers
}

func (s *Supervisor) grantRanges(r *assigner.Ranges, placed []balancer.PlacedRange, reason, subject string, batch *batch) {
	batch.add(subject, assigner.Command{GrantRanges: &assigner.GrantRanges{
		Service: r.Service, Placements: placementsOf(placed), Why: reason,
	}})
}

func (s *Supervisor) moveRanges(r *assigner.Ranges, placed []balancer.PlacedRange, reason, subject string, batch *batch) {
	batch.add(subject, assigner.Command{MoveRanges: &assigner.MoveRanges{
		Service: r.Service, Placements: placementsOf(placed), Why: reason,
	}})
}

func placementsOf(placed []balancer.PlacedRange) []assigner.RangePlacement {
	var placements []assigner.RangePlacement
	for _, p := range placed {
		placements = append(placements, assigner.RangePlacement{Session: p.Session, From: p.From, To: p.To})
	}
	return placements
}
