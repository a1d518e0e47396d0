package balancer

// coldRequestSeconds is the time for a request at which all slots of a cold server together
// serve just its ColdRate, 0 for other servers.
func (s *RangeServer) coldRequestSeconds() float64 {
	if s.ColdRate <= 0 {
		return 0
	}
	return float64(max(s.Slots, 1)) / s.ColdRate
}

// mayGet reports whether a server may get ranges. One with a ColdRate gets none while a
// warm one may: it would refuse most of their requests. [PlaceInitial] does not call this:
// servers that start together get warm one after the other, and the first one would get all
// keys.
func (l *rangeLoads) mayGet(server *RangeServer) bool {
	return server.Accepts && (server.ColdRate == 0 || l.warm == 0)
}
