package elector

import (
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// View is what an Elector shows of itself.
type View struct {
	Role   Role
	Term   uint64
	Leader messenger.Member
	// Leading says that it leads and has committed an entry of its term.
	Leading bool
	Since   timer.Instant
	Commit  uint64
	Last    uint64
	Group   Group
	Peers   []PeerView
}

// PeerView is what a leader knows of one other replica.
type PeerView struct {
	Name  string
	Match uint64
	Heard timer.Instant
}

// View returns what the Elector shows of itself.
func (e *Elector) View() View {
	view := View{
		Role:    e.role,
		Term:    e.hard.Term,
		Leading: e.Leading(),
		Since:   e.since,
		Commit:  e.commit,
		Last:    e.log.last(),
		Group:   e.group(),
	}
	if leader, ok := e.group().Find(e.leader); ok {
		view.Leader = leader.Member
	}
	for _, name := range e.peerNames() {
		p := e.peers[name]
		view.Peers = append(view.Peers, PeerView{Name: name, Match: p.match, Heard: p.heard})
	}
	return view
}

// Quorum returns when the leader sent the newest message that a majority has
// answered, for a reader that judges confirmation at a later instant.
func (e *Elector) Quorum(now timer.Instant) timer.Instant {
	age := e.silence(now, timer.Instant.Since)
	return now.Add(-age)
}
