package assigner

import (
	"fmt"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
)

// withdraw records that a start of a backend server leaves. That outlives the session of the
// router to which the server has said so: a later process of that router may receive an
// announcement that the server sent before. A server that reports no start time is not
// recorded, as its next start would be taken for this one.
func (s *State) withdraw(router string, row *messenger.ServerRow) {
	if row == nil || row.Born == 0 || s.isWithdrawn(row) {
		return
	}
	s.withdrawn[row.Start()] = true
	if dropped, ok := s.withdrawals.add(row.Start()); ok {
		delete(s.withdrawn, dropped)
	}
	s.event(logger.ServerWithdrawn, row.Name, fmt.Sprintf("start %d beside %s", row.Born, router))
}

// isWithdrawn reports whether a start of a backend server is recorded as leaving.
func (s *State) isWithdrawn(row *messenger.ServerRow) bool {
	return row != nil && s.withdrawn[row.Start()]
}
