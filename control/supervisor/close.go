package supervisor

import (
	"marigoldhill/control/assigner"
	"marigoldhill/kernel/timer"
)

// closeLapsed closes all sessions whose leases lapsed, in one command.
func (s *Supervisor) closeLapsed(now timer.Instant, batch *batch) {
	if batch.has("lapse") {
		return
	}
	var lapsed []uint64
	silence := s.lapseTime()
	for _, session := range s.state.Sessions() {
		number := session.Row.Session
		if !s.isLapsed(number, now) {
			continue
		}
		lapsed = append(lapsed, number)
		known := s.router(number)
		known.closing = true
		silence = max(silence, now.Since(known.heard))
	}
	if len(lapsed) == 0 {
		return
	}
	batch.add("lapse", assigner.Command{Close: &assigner.Close{
		Sessions: lapsed,
		Lapsed:   true,
		Silence:  silence.Milliseconds(),
	}})
	s.counters.lapses.Add(len(lapsed))
}

// router returns what is known of a router, from now on at least something.
func (s *Supervisor) router(session uint64) *router {
	known := s.routers[session]
	if known == nil {
		known = &router{}
		s.routers[session] = known
	}
	return known
}
