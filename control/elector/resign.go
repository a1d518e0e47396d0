package elector

import (
	"cmp"
	"slices"
	"time"

	"marigoldhill/kernel/messenger"
)

// resignPause is the time between the elections that followers of a leader that
// resigned start, so that their votes do not split.
const resignPause = 60 * time.Millisecond

// resign steps down and tells the followers. A leader that is cut off for what
// it receives is still heard by them; without the message they would wait for
// their election time-outs as well.
func (e *Elector) resign() {
	// The one with the longest log goes first, since it can win.
	names := e.peerNames()
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(e.peers[b].match, e.peers[a].match)
	})
	e.follow(e.hard.Term, "")
	for rank, name := range names {
		e.send(name, Message{Resign: &Resign{Rank: rank}})
	}
}

// receiveResign stops withholding votes for a leader that has stepped down. It
// was a follower before it sent this and cannot lead in this term again, so
// nothing that it renewed comes later.
func (e *Elector) receiveResign(message Message) {
	if message.Term != e.hard.Term || message.From != e.leader {
		return
	}
	e.follow(e.hard.Term, "")
	e.heard = e.now.Add(-messenger.ElectionTimeMin)
	e.deadline = e.now.Mono + time.Duration(message.Resign.Rank)*resignPause
}
