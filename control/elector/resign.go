package elector

import (
	"cmp"
	"slices"
	"time"

	"marigoldhill/kernel/messenger"
)

// resignStagger is the time between the elections that followers start after
// their leader resigned, so that their votes do not split.
const resignStagger = 60 * time.Millisecond

// resign steps down and notifies the followers. If the leader has lost only its
// inbound traffic, the followers still receive its heartbeats; without the
// notification they would have to wait for their election timeouts as well.
func (e *Elector) resign() {
	// The follower with the longest log campaigns first, since it can win.
	names := e.peerNames()
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(e.peers[b].match, e.peers[a].match)
	})
	e.becomeFollower(e.hardState.Term, "")
	for rank, name := range names {
		e.send(name, Message{Resign: &Resign{Rank: rank}})
	}
}

// receiveResign stops withholding votes for a leader that has stepped down. The
// leader became a follower before it sent the message and cannot lead in this
// term again, so nothing that it sends later can renew its leadership.
func (e *Elector) receiveResign(message Message) {
	if message.Term != e.hardState.Term || message.From != e.leader {
		return
	}
	e.becomeFollower(e.hardState.Term, "")
	e.leaderContact = e.now.Add(-messenger.MinElectionTimeout)
	e.deadline = e.now.Mono + time.Duration(message.Resign.Rank)*resignStagger
}
