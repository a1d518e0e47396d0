package queuer

// SetCold bounds the requests that start within any second, as a cold backend server
// requires; 0 means no bound.
func (a *Admission) SetCold(most int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queue.window.most == most {
		return
	}
	a.queue.SetCold(most)
	a.startWaiting(a.Now())
}

// ColdTotals are cumulative counters on a cold backend server.
type ColdTotals struct {
	// Started counts the requests that started while the server was cold, Refused those
	// that were refused since the bound left no room for them.
	Started uint64
	Refused uint64
}

// ColdTotals returns a snapshot of the counters.
func (a *Admission) ColdTotals() ColdTotals {
	a.mu.Lock()
	defer a.mu.Unlock()
	return ColdTotals{Started: a.queue.coldStarts, Refused: a.coldRefused}
}

// countCold counts a refusal, if it is one for the bound of a cold server. The caller holds
// mu.
func (a *Admission) countCold(refusal *Refusal) {
	if refusal != nil && refusal.Cold {
		a.coldRefused++
	}
}

// Sending records that the request of the slot is sent to the backend server now.
func (s *Slot) Sending() {
	s.admission.mu.Lock()
	defer s.admission.mu.Unlock()
	s.admission.queue.Send(s.admission.Now(), s.entry)
}
