package disrupter

import "time"

// uplink is the outgoing link of a VM. It sends the data of all connections in the order in
// which it was written.
type uplink struct {
	// rate is in bytes per second.
	rate   float64
	idleAt time.Time
}

// SetRate limits the data that the VM called name sends to other VMs, in bytes per second;
// 0 means no limit.
func (s *SimulatedNetwork) SetRate(name string, rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rate == 0 {
		delete(s.uplinks, name)
		return
	}
	s.uplinks[name] = &uplink{rate: rate}
}

// transmit returns how long size bytes need to leave the VM that sends them.
func (s *SimulatedNetwork) transmit(dir direction, size int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	link := s.uplinks[dir.from]
	if link == nil || dir.from == dir.to {
		return 0
	}
	now := time.Now()
	if link.idleAt.Before(now) {
		link.idleAt = now
	}
	link.idleAt = link.idleAt.Add(time.Duration(float64(size) / link.rate * float64(time.Second)))
	return link.idleAt.Sub(now)
}
