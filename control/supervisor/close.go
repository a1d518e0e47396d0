package supervisor

import (
	"marigoldhill/control/assigner"
	"marigoldhill/kernel/timer"
)

// closeExpired closes all sessions whose leases expired, in one command.
func (s *Supervisor) closeExpired(now timer.Instant, batch *batch) {
	if batch.has("lapse") {
		return
	}
	var expired []uint64
	silence := s.expiryTime()
	for _, session := range s.state.Sessions() {
		number := session.Row.Session
		if !s.isExpired(number, now) {
			continue
		}
		expired = append(expired, number)
		router := s.routerState(number)
		router.closing = true
		silence = max(silence, now.SinceMonotonic(router.received))
	}
	if len(expired) == 0 {
		return
	}
	proposed := batch.add("lapse", assigner.Command{Close: &assigner.Close{
		Sessions: expired,
		Lapsed:   true,
		Silence:  silence.Milliseconds(),
	}})
	if proposed {
		s.logExpired(now, expired)
	}
	s.counters.expirations.Add(len(expired))
}

// routerState returns the state of a router, which it creates if necessary.
func (s *Supervisor) routerState(session uint64) *routerState {
	router := s.routers[session]
	if router == nil {
		router = &routerState{}
		s.routers[session] = router
	}
	return router
}
