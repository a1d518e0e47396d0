package elector

import (
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// View is the state of an Elector as shown to its users.
type View struct {
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
	Peers   []PeerView
}

// PeerView is the leader's view of one other replica.
type PeerView struct {
	Name  string
	Match uint64
	Heard timer.Instant
}

// View returns the current state.
func (e *Elector) View() View {
	view := View{
		Role:    e.role,
		Term:    e.hardState.Term,
		Leading: e.Leading(),
		Since:   e.leaderSince,
		Commit:  e.commit,
		Last:    e.log.last(),
		Group:   e.group(),
	}
	if leader, ok := e.group().Find(e.leader); ok {
		view.Leader = leader.Member
	}
	for _, name := range e.peerNames() {
		p := e.peers[name]
		view.Peers = append(view.Peers, PeerView{Name: name, Match: p.match, Heard: p.lastContact})
	}
	return view
}

// Quorum returns when the leader sent the newest message that a majority has
// answered, for readers that check the confirmation at a later time.
func (e *Elector) Quorum(now timer.Instant) timer.Instant {
	age := e.quorumAge(now, timer.Instant.Since)
	return now.Add(-age)
}
