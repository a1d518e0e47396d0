package supervisor

import (
	"fmt"
	"reflect"

	"marigoldhill/control/assigner"
	"marigoldhill/control/replicator"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// onHeartbeat opens or renews a session.
func (s *Supervisor) onHeartbeat(now timer.Instant, raftStatus replicator.RaftStatus, heartbeat *messenger.Heartbeat) (*messenger.HeartbeatResponse, [][]byte) {
	response := &messenger.HeartbeatResponse{Session: heartbeat.Session, Sequence: heartbeat.Sequence}
	s.dropInvalidServer(heartbeat)
	batch := newBatch(s.pending, now)
	response.Status = s.acceptHeartbeat(now, raftStatus, heartbeat, response, batch)
	s.counters.onHeartbeat(response.Status)
	return response, batch.commands
}

// dropInvalidServer removes a server from a heartbeat that cannot be one, so that its row
// reaches no other process.
func (s *Supervisor) dropInvalidServer(heartbeat *messenger.Heartbeat) {
	if heartbeat.Server == nil {
		return
	}
	if problem := heartbeat.Server.Check(); problem != "" {
		s.options.Log.Emit(logger.AnnouncementIgnored, "router", heartbeat.Router, "server", heartbeat.Server.Name, "cause", problem)
		heartbeat.Server, heartbeat.State = nil, messenger.ServerAbsent
	}
}

// acceptHeartbeat returns the status of the response to a heartbeat, and proposes
// the commands that the heartbeat requires.
func (s *Supervisor) acceptHeartbeat(now timer.Instant, raftStatus replicator.RaftStatus, heartbeat *messenger.Heartbeat, response *messenger.HeartbeatResponse, batch *batch) messenger.HeartbeatStatus {
	if !raftStatus.Leading {
		response.Leader = raftStatus.Leader.Address
		return messenger.HeartbeatRedirect
	}
	session, status := s.findSession(heartbeat, batch)
	if session == nil {
		return status
	}
	number := session.Row.Session
	response.Session = number
	router := s.routerState(number)
	if router.closing {
		return messenger.HeartbeatExpired
	}
	if heartbeat.Unanswered > messenger.MaxUnanswered {
		return messenger.HeartbeatUnacknowledged
	}
	s.noteHeartbeat(now, router, session, heartbeat)
	if router.update(heartbeat) {
		s.addShardLoads(router, heartbeat)
		s.addRangeLoads(now, number, heartbeat)
		received := *heartbeat
		received.Leaving = heartbeat.Leaving || router.isExcluded(now)
		s.proposeReported(session, &received, batch)
	}
	if router.closing {
		return messenger.HeartbeatExpired
	}
	if heartbeat.Session == 0 && (batch.has(freeSubject(number)) || batch.has(releaseSubject(number))) {
		// The table still contains what this heartbeat reports as free.
		return messenger.HeartbeatWait
	}
	if !raftStatus.Confirmed {
		return messenger.HeartbeatUnconfirmed
	}
	response.Delta, response.More = s.state.Delta(heartbeat.Revision, assigner.MaxDeltaRows)
	response.Members = changedMembers(raftStatus.Members, heartbeat)
	return messenger.HeartbeatRenewed
}

// sessionProcess is a process of a router that had a session.
type sessionProcess struct {
	session  uint64
	instance uint64
}

// findSession returns the session that a heartbeat renews, or the status of the
// response when there is none.
func (s *Supervisor) findSession(heartbeat *messenger.Heartbeat, batch *batch) (*assigner.Session, messenger.HeartbeatStatus) {
	if heartbeat.Session != 0 {
		session := s.state.Session(heartbeat.Session)
		if session == nil || session.Instance != heartbeat.Instance || s.isReplaced(session, heartbeat) {
			return nil, messenger.HeartbeatExpired
		}
		return session, ""
	}
	session := s.state.SessionOf(heartbeat.Router)
	if session == nil {
		batch.add("open/"+heartbeat.Router, assigner.Command{Open: newOpen(heartbeat)})
		return nil, messenger.HeartbeatWait
	}
	if s.isReplaced(session, heartbeat) {
		return nil, messenger.HeartbeatWait
	}
	if session.Instance != heartbeat.Instance {
		if isSuccessor(session, heartbeat) {
			s.proposeAdopt(session, heartbeat, batch)
		}
		return nil, messenger.HeartbeatWait
	}
	number := session.Row.Session
	if batch.has(freeSubject(number)) || batch.has(releaseSubject(number)) {
		// The router may no longer know what it reported as free or released, and the
		// table still contains it.
		return nil, messenger.HeartbeatWait
	}
	return session, ""
}

// releaseSubject is the subject of the command that releases the shards that a router
// reported as released.
func releaseSubject(session uint64) string {
	return fmt.Sprintf("release/%d", session)
}

// freeSubject is the subject of the command that frees the ranges that a router reported
// as free.
func freeSubject(session uint64) string {
	return fmt.Sprintf("free/%d", session)
}

// isReplaced reports whether a heartbeat comes from an instance whose session another one
// adopts or has adopted. It was sent before that one took over.
func (s *Supervisor) isReplaced(session *assigner.Session, heartbeat *messenger.Heartbeat) bool {
	return s.replaced[sessionProcess{session: session.Row.Session, instance: heartbeat.Instance}]
}

// proposeAdopt proposes that the sender of a heartbeat adopts the session. From then
// on the process that has it is ignored: the keys that it reports as free, or the
// session that it closes, could be in use by its successor when that is committed.
func (s *Supervisor) proposeAdopt(session *assigner.Session, heartbeat *messenger.Heartbeat, batch *batch) {
	number := session.Row.Session
	s.replaced[sessionProcess{session: number, instance: session.Instance}] = true
	proposed := batch.add("adopt/"+heartbeat.Router, assigner.Command{Adopt: &assigner.Adopt{
		Session:  number,
		Instance: heartbeat.Instance,
	}})
	if proposed {
		s.logTakeover(session, heartbeat)
	}
}

// isSuccessor reports whether a heartbeat comes from the process that replaced the
// one with the session. Two processes cannot listen at one address, so the earlier
// one has ended, and what it granted to the backend server is still accounted for
// under the session.
func isSuccessor(session *assigner.Session, heartbeat *messenger.Heartbeat) bool {
	return heartbeat.Sole && heartbeat.Routed && session.Routed && session.Row.Address == heartbeat.Address
}

// changedMembers returns the addresses of the control group, or nil when the router
// already has them.
func changedMembers(members []messenger.Member, heartbeat *messenger.Heartbeat) []string {
	if !heartbeat.Routed {
		return nil
	}
	addresses := make([]string, 0, len(members))
	for _, member := range members {
		addresses = append(addresses, member.Address)
	}
	if messenger.HashAddresses(addresses) == heartbeat.Members {
		return nil
	}
	return addresses
}

func newOpen(heartbeat *messenger.Heartbeat) *assigner.Open {
	return &assigner.Open{
		Router:   heartbeat.Router,
		Instance: heartbeat.Instance,
		Address:  heartbeat.Address,
		Domain:   heartbeat.Domain,
		Region:   heartbeat.Region,
		Server:   heartbeat.Server,
		Leaving:  isLeaving(heartbeat),
		Routed:   heartbeat.Routed,

		Withdrawn: heartbeat.State == messenger.ServerLeaving,
	}
}

// isLeaving reports whether the router or its backend server is leaving and gives
// its shards away.
func isLeaving(heartbeat *messenger.Heartbeat) bool {
	return heartbeat.Leaving || heartbeat.State == messenger.ServerLeaving
}

// update records what a heartbeat reports, unless a later one was received before
// it.
func (r *routerState) update(heartbeat *messenger.Heartbeat) bool {
	if heartbeat.Instance != r.instance {
		// A new process of the router resumes its session and restarts the
		// numbering of its heartbeats.
		r.instance, r.sequence = heartbeat.Instance, 0
	}
	if heartbeat.Sequence <= r.sequence {
		return false
	}
	r.sequence = heartbeat.Sequence
	r.state = heartbeat.State
	r.revision = heartbeat.Revision
	r.queue = heartbeat.Queue
	r.stalled = heartbeat.Stalled
	r.unreachable = heartbeat.Unreached
	return true
}

// proposeReported proposes the commands that the reports in a heartbeat require.
func (s *Supervisor) proposeReported(session *assigner.Session, heartbeat *messenger.Heartbeat, batch *batch) {
	number := session.Row.Session
	if needsUpdate(session, heartbeat) {
		batch.add(fmt.Sprintf("update/%d", number), assigner.Command{Update: newUpdate(number, heartbeat)})
	}
	if joined := filter(heartbeat.Copied, session.IsJoining); len(joined) > 0 {
		batch.add(fmt.Sprintf("copied/%d", number), assigner.Command{Copied: &assigner.Copied{Session: number, Joined: joined}})
	}
	isRecovering := func(ref messenger.ShardRef) bool { return s.state.IsRecovering(number, ref) }
	if shards := filter(heartbeat.Recovered, isRecovering); len(shards) > 0 {
		batch.add(fmt.Sprintf("recovered/%d", number), assigner.Command{Recovered: &assigner.Recovered{Session: number, Shards: shards}})
	}
	owns := func(ref messenger.ShardRef) bool { return s.state.Owns(number, ref) }
	if shards := filter(heartbeat.Released, owns); len(shards) > 0 {
		batch.add(releaseSubject(number), assigner.Command{Release: &assigner.Release{Session: number, Shards: shards}})
	}
	ownsRange := func(ref messenger.RangeRef) bool { return s.state.OwnsRange(number, ref) }
	if freed := filter(heartbeat.Freed, ownsRange); len(freed) > 0 {
		if batch.add(freeSubject(number), assigner.Command{ReleaseRanges: &assigner.ReleaseRanges{Session: number, Ranges: freed}}) {
			s.logFreed(session, heartbeat, freed)
			s.counters.onFreed(heartbeat.State, len(freed))
		}
	}
	if heartbeat.Close && !s.ownsRanges(number) {
		s.routerState(number).closing = batch.add(fmt.Sprintf("close/%d", number), assigner.Command{Close: &assigner.Close{Sessions: []uint64{number}}})
	}
}

// filter returns the values that match, so that reports that routers repeat after
// they were committed are not proposed again.
func filter[T any](values []T, match func(T) bool) []T {
	var kept []T
	for _, value := range values {
		if match(value) {
			kept = append(kept, value)
		}
	}
	return kept
}

func needsUpdate(session *assigner.Session, heartbeat *messenger.Heartbeat) bool {
	row := &session.Row
	return row.Address != heartbeat.Address || row.Domain != heartbeat.Domain || row.Region != heartbeat.Region ||
		session.Stopping != isLeaving(heartbeat) || isWithdrawing(session, heartbeat) || !reflect.DeepEqual(row.Server, heartbeat.Server)
}

// isWithdrawing reports whether a heartbeat reports that the server leaves and the session
// does not show it yet, such as when the router stops at the same time.
func isWithdrawing(session *assigner.Session, heartbeat *messenger.Heartbeat) bool {
	return heartbeat.State == messenger.ServerLeaving && !session.Row.Withdrawn && heartbeat.Server != nil && heartbeat.Server.Born != 0
}

func newUpdate(number uint64, heartbeat *messenger.Heartbeat) *assigner.Update {
	return &assigner.Update{
		Session: number,
		Address: heartbeat.Address,
		Domain:  heartbeat.Domain,
		Region:  heartbeat.Region,
		Server:  heartbeat.Server,
		Leaving: isLeaving(heartbeat),

		Withdrawn: heartbeat.State == messenger.ServerLeaving,
	}
}
