package elector

import (
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// Status is the state of an Elector as shown to its users.
type Status struct {
	Role   Role
	Term   uint64
	Leader messenger.Member
	// Leading is set if the replica is the leader and has committed an entry of
	// its term.
	Leading bool
	Since   timer.Instant
	Commit  uint64
	Last    uint64
	Group   Group
	Peers   []PeerStatus
	// InForce are the members of all groups in force.
	InForce []Member
	// Lost are the members that have lost their disks.
	Lost []string
	// Votes are the members that voted for this replica in its present election.
	Votes []string
}

// PeerStatus is the leader's view of one other replica.
type PeerStatus struct {
	Name        string
	Match       uint64
	LastContact timer.Instant
}

// Status returns the current state.
func (e *Elector) Status() Status {
	status := Status{
		Role:    e.role,
		Term:    e.hardState.Term,
		Leading: e.Leading(),
		Since:   e.leaderSince,
		Commit:  e.commit,
		Last:    e.log.last(),
		Group:   e.group(),
		Lost:    e.lostMembers(),
		InForce: e.membersInForce(),
	}
	if leader, ok := e.group().Find(e.leader); ok {
		status.Leader = leader.Member
	}
	for _, member := range e.group().Members {
		if e.votes[member.Name] {
			status.Votes = append(status.Votes, member.Name)
		}
	}
	for _, name := range e.peerNames() {
		p := e.peers[name]
		status.Peers = append(status.Peers, PeerStatus{Name: name, Match: p.match, LastContact: p.lastContact})
	}
	return status
}

// LastQuorumContact returns when the leader sent the newest message that a quorum
// has answered, for readers that check the confirmation at a later time.
func (e *Elector) LastQuorumContact(now timer.Instant) timer.Instant {
	age := e.quorumAge(now, timer.Instant.Since)
	return now.Add(-age)
}
