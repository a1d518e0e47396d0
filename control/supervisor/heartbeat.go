package supervisor

import (
	"fmt"
	"reflect"

	"marigoldhill/control/assigner"
	"marigoldhill/control/replicator"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// heartbeat opens or renews a session.
func (s *Supervisor) heartbeat(now timer.Instant, standing replicator.Standing, beat *messenger.Heartbeat) (*messenger.HeartbeatAnswer, [][]byte) {
	answer := &messenger.HeartbeatAnswer{Session: beat.Session, Sequence: beat.Sequence}
	batch := newBatch(s.pending, now)
	answer.Status = s.judge(now, standing, beat, answer, batch)
	s.counters.heartbeat(answer.Status)
	return answer, batch.commands
}

// judge decides how a heartbeat is taken and proposes what it asks for.
func (s *Supervisor) judge(now timer.Instant, standing replicator.Standing, beat *messenger.Heartbeat, answer *messenger.HeartbeatAnswer, batch *batch) messenger.HeartbeatStatus {
	if !standing.Leading {
		answer.Leader = standing.Leader.Address
		return messenger.HeartbeatRedirect
	}
	session, status := s.find(beat, batch)
	if session == nil {
		return status
	}
	number := session.Row.Session
	answer.Session = number
	known := s.router(number)
	if known.closing {
		return messenger.HeartbeatExpired
	}
	if beat.Unanswered > messenger.UnansweredMax {
		return messenger.HeartbeatUnheard
	}
	known.heard = now
	if known.take(beat) {
		s.takeLoads(known, beat)
		s.takeWork(now, number, beat)
		heard := *beat
		heard.Leaving = beat.Leaving || known.isAvoided(now)
		s.proposeOf(session, &heard, batch)
	}
	if known.closing {
		return messenger.HeartbeatExpired
	}
	if !standing.Confirmed {
		return messenger.HeartbeatUnconfirmed
	}
	answer.Delta, answer.More = s.state.Delta(beat.Revision, assigner.DeltaRows)
	answer.Members = unknownMembers(standing.Members, beat)
	return messenger.HeartbeatAlive
}

// find returns the session that a heartbeat renews, or how the heartbeat is
// taken when there is none.
func (s *Supervisor) find(beat *messenger.Heartbeat, batch *batch) (*assigner.Session, messenger.HeartbeatStatus) {
	if beat.Session != 0 {
		session := s.state.Session(beat.Session)
		if session == nil || session.Instance != beat.Instance {
			return nil, messenger.HeartbeatExpired
		}
		return session, ""
	}
	session := s.state.SessionOf(beat.Router)
	if session == nil {
		batch.add("open/"+beat.Router, assigner.Command{Open: openOf(beat)})
		return nil, messenger.HeartbeatWait
	}
	if session.Instance != beat.Instance {
		if replaces(session, beat) {
			batch.add("adopt/"+beat.Router, assigner.Command{Adopt: &assigner.Adopt{
				Session:  session.Row.Session,
				Instance: beat.Instance,
			}})
		}
		return nil, messenger.HeartbeatWait
	}
	return session, ""
}

// replaces reports whether a heartbeat comes from the process that took the
// place of the one with the session. Two processes can't listen at one address,
// so the earlier one is gone, and what it granted to the backend server is still
// accounted for under the session.
func replaces(session *assigner.Session, beat *messenger.Heartbeat) bool {
	return beat.Sole && beat.Routed && session.Routed && session.Row.Address == beat.Address
}

// unknownMembers lists the addresses of the control group, unless the router
// knows them.
func unknownMembers(members []messenger.Member, beat *messenger.Heartbeat) []string {
	if !beat.Routed {
		return nil
	}
	addresses := make([]string, 0, len(members))
	for _, member := range members {
		addresses = append(addresses, member.Address)
	}
	if messenger.SumOf(addresses) == beat.Members {
		return nil
	}
	return addresses
}

func openOf(beat *messenger.Heartbeat) *assigner.Open {
	return &assigner.Open{
		Router:   beat.Router,
		Instance: beat.Instance,
		Address:  beat.Address,
		Domain:   beat.Domain,
		Region:   beat.Region,
		Server:   beat.Server,
		Leaving:  isLeaving(beat),
		Routed:   beat.Routed,
	}
}

// isLeaving reports whether the router or its backend server wants to give its
// shards away.
func isLeaving(beat *messenger.Heartbeat) bool {
	return beat.Leaving || beat.State == messenger.ServerLeaving
}

// take notes what a heartbeat says, unless a later one came before it.
func (r *router) take(beat *messenger.Heartbeat) bool {
	if beat.Instance != r.instance {
		// A new process of the router goes on with its session and numbers its
		// heartbeats anew.
		r.instance, r.sequence = beat.Instance, 0
	}
	if beat.Sequence <= r.sequence {
		return false
	}
	r.sequence = beat.Sequence
	r.state = beat.State
	r.revision = beat.Revision
	r.queue = beat.Queue
	r.stalled = beat.Stalled
	r.unreached = beat.Unreached
	return true
}

// proposeOf proposes what a heartbeat asks for.
func (s *Supervisor) proposeOf(session *assigner.Session, beat *messenger.Heartbeat, batch *batch) {
	number := session.Row.Session
	if needsUpdate(session, beat) {
		batch.add(fmt.Sprintf("update/%d", number), assigner.Command{Update: updateOf(number, beat)})
	}
	if joined := keep(beat.Copied, session.IsJoining); len(joined) > 0 {
		batch.add(fmt.Sprintf("copied/%d", number), assigner.Command{Copied: &assigner.Copied{Session: number, Joined: joined}})
	}
	isRecovering := func(ref messenger.ShardRef) bool { return s.state.IsRecovering(number, ref) }
	if shards := keep(beat.Recovered, isRecovering); len(shards) > 0 {
		batch.add(fmt.Sprintf("recovered/%d", number), assigner.Command{Recovered: &assigner.Recovered{Session: number, Shards: shards}})
	}
	owns := func(ref messenger.ShardRef) bool { return s.state.Owns(number, ref) }
	if shards := keep(beat.Released, owns); len(shards) > 0 {
		batch.add(fmt.Sprintf("release/%d", number), assigner.Command{Release: &assigner.Release{Session: number, Shards: shards}})
	}
	ownsRange := func(ref messenger.RangeRef) bool { return s.state.OwnsRange(number, ref) }
	if freed := keep(beat.Freed, ownsRange); len(freed) > 0 {
		batch.add(fmt.Sprintf("free/%d", number), assigner.Command{ReleaseRanges: &assigner.ReleaseRanges{Session: number, Ranges: freed}})
	}
	if beat.Close {
		s.router(number).closing = batch.add(fmt.Sprintf("close/%d", number), assigner.Command{Close: &assigner.Close{Sessions: []uint64{number}}})
	}
}

// keep returns the values that wanted holds for, so that what routers repeat
// after it was committed is not proposed again.
func keep[T any](values []T, wanted func(T) bool) []T {
	var kept []T
	for _, value := range values {
		if wanted(value) {
			kept = append(kept, value)
		}
	}
	return kept
}

func needsUpdate(session *assigner.Session, beat *messenger.Heartbeat) bool {
	row := &session.Row
	return row.Address != beat.Address || row.Domain != beat.Domain || row.Region != beat.Region ||
		session.Stopping != isLeaving(beat) || !reflect.DeepEqual(row.Server, beat.Server)
}

func updateOf(number uint64, beat *messenger.Heartbeat) *assigner.Update {
	return &assigner.Update{
		Session: number,
		Address: beat.Address,
		Domain:  beat.Domain,
		Region:  beat.Region,
		Server:  beat.Server,
		Leaving: isLeaving(beat),
	}
}
