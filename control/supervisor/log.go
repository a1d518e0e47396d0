package supervisor

import (
	"fmt"
	"time"

	"marigoldhill/control/assigner"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/splitter"
	"marigoldhill/kernel/timer"
)

const (
	// maxLoggedRanges is the maximum number of ranges listed in a line.
	maxLoggedRanges = 128
	// maxDecisionLines is the maximum number of lines for one decision, which can
	// concern all routers of a cluster. One more line has the number of the others.
	maxDecisionLines = 128
)

// logEvents logs the events of the command at index, on the leader only.
func (s *Supervisor) logEvents(index uint64) {
	if !s.leading {
		return
	}
	for _, event := range s.state.Events(index - 1) {
		s.options.Log.Emit(logger.Lookup(event.Number), "subject", event.Subject, "text", event.Text, "revision", event.Revision)
	}
}

// logTakeover logs that the session of a router is to go to another process of it.
func (s *Supervisor) logTakeover(session *assigner.Session, heartbeat *messenger.Heartbeat) {
	s.options.Log.Emit(logger.SessionTakeover, "session", session.Row.Session, "router", session.Row.Router,
		"address", heartbeat.Address, "instance", heartbeat.Instance, "previous", session.Instance)
}

// logExpired logs which sessions are to be closed, and for how long each was silent
// by both clocks, as the two can differ.
func (s *Supervisor) logExpired(now timer.Instant, expired []uint64) {
	graceMonotonic, graceWall := elapsed(now, s.graceStart)
	for n, number := range expired {
		if n == maxDecisionLines {
			s.options.Log.Emit(logger.ExpiredSessionClosing, "more", len(expired)-n)
			return
		}
		row := &s.state.Session(number).Row
		router := s.routerState(number)
		monotonic, wall := elapsed(now, router.received)
		server, born := serverOf(row.Server)
		s.options.Log.Emit(logger.ExpiredSessionClosing, "session", number, "router", row.Router, "server", server, "born", born,
			"silent_monotonic", monotonic.String(), "silent_wall", wall.String(), "grace_monotonic", graceMonotonic.String(), "grace_wall", graceWall.String(),
			"sequence", router.sequence, "revision", router.revision)
	}
}

// logFreed logs the ranges that a router reported as free, with the server that it
// reported with them. The grants may have been to an earlier start of it.
func (s *Supervisor) logFreed(session *assigner.Session, heartbeat *messenger.Heartbeat, freed []messenger.RangeRef) {
	server, born := serverOf(heartbeat.Server)
	var ranges []string
	keys := 0
	for n, ref := range freed {
		keys += int(ref.To-ref.From) + 1
		if n < maxLoggedRanges {
			life := s.state.Ranges(ref.Service).Find(ref.From).Value.Life
			ranges = append(ranges, fmt.Sprintf("%d-%d fence %d born %d", ref.From, ref.To, ref.Fence, life))
		}
	}
	s.options.Log.Emit(logger.RangesReportedFree, "session", session.Row.Session, "router", session.Row.Router,
		"service", freed[0].Service, "ranges", ranges, "count", len(freed), "keys", keys,
		"server", server, "born", born, "state", heartbeat.State,
		"sequence", heartbeat.Sequence, "revision", heartbeat.Revision)
}

// logOwners logs and counts the owners that the command at index gave to ranges, on the leader
// only.
func (s *Supervisor) logOwners(index uint64, command []byte) {
	if !s.leading || s.state.Revision() != index {
		return
	}
	for _, r := range s.state.AllRanges() {
		granted := r.GrantedUnder(index)
		if len(granted) == 0 {
			continue
		}
		s.counters.rangesGranted.Add(len(granted))
		why := grantReason(command)
		grants := byOwner(granted)
		for n, grant := range grants {
			if n == maxDecisionLines {
				s.options.Log.Emit(logger.RangeOwnerChanged, "service", r.Service, "fence", index, "why", why, "more", len(grants)-n)
				break
			}
			s.logOwner(index, r.Service, why, grant)
		}
	}
}

func (s *Supervisor) logOwner(fence uint64, service, why string, granted []splitter.Piece[assigner.RangeOwnership]) {
	var ranges []string
	keys, handovers := 0, 0
	for n, piece := range granted {
		keys += int(piece.To-piece.From) + 1
		if piece.Value.Handover != "" {
			handovers++
		}
		if n < maxLoggedRanges {
			ranges = append(ranges, fmt.Sprintf("%d-%d", piece.From, piece.To))
		}
	}
	owner := granted[0].Value
	row := &s.state.Session(owner.Owner).Row
	server, _ := serverOf(row.Server)
	s.options.Log.Emit(logger.RangeOwnerChanged, "service", service, "ranges", ranges, "count", len(granted), "keys", keys,
		"session", owner.Owner, "router", row.Router, "server", server, "born", owner.Life, "fence", fence,
		"handovers", handovers, "why", why)
}

// byOwner groups pieces by their owners, in the order of the first keys.
func byOwner(pieces []splitter.Piece[assigner.RangeOwnership]) [][]splitter.Piece[assigner.RangeOwnership] {
	var groups [][]splitter.Piece[assigner.RangeOwnership]
	position := make(map[uint64]int)
	for _, piece := range pieces {
		n, known := position[piece.Value.Owner]
		if !known {
			n = len(groups)
			position[piece.Value.Owner] = n
			groups = append(groups, nil)
		}
		groups[n] = append(groups[n], piece)
	}
	return groups
}

// grantReason returns why an applied command gave ranges to owners.
func grantReason(data []byte) string {
	command, err := assigner.Decode(data)
	switch {
	case err != nil:
		return ""
	case command.GrantRanges != nil:
		return command.GrantRanges.Why
	case command.ReleaseRanges != nil:
		return fmt.Sprintf("released by session %d", command.ReleaseRanges.Session)
	}
	return ""
}

// serverOf returns the name and the start time of an announced server.
func serverOf(row *messenger.ServerRow) (name string, born int64) {
	if row == nil {
		return "", 0
	}
	return row.Name, row.Born
}

// elapsed returns the time since earlier by each clock.
func elapsed(now, earlier timer.Instant) (monotonic, wall time.Duration) {
	return now.SinceMonotonic(earlier), now.Wall - earlier.Wall
}
