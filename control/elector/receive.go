package elector

import "slices"

// receive handles a message from another replica.
func (e *Elector) receive(message Message) {
	if message.Stranger != nil {
		e.receiveStranger()
		return
	}
	if !e.checkIdentity(message) {
		return
	}
	e.recordPresence(message.From)
	switch {
	case message.Vote != nil:
		e.receiveVote(message.From, *message.Vote)
		return
	case message.VoteAnswer != nil:
		e.receiveVoteAnswer(message, *message.VoteAnswer)
		return
	}
	if message.Term < e.hardState.Term {
		e.addRefusal(RefusalStaleTerm)
		e.answerStaleLeader(message)
		return
	}
	switch {
	case message.Append != nil:
		e.acceptLeader(message)
		e.receiveAppend(message.From, *message.Append)
	case message.Chunk != nil:
		e.acceptLeader(message)
		e.receiveChunk(message.From, *message.Chunk)
	case message.AppendAnswer != nil:
		e.receiveAppendAnswer(message, *message.AppendAnswer)
	case message.ChunkAnswer != nil:
		e.receiveChunkAnswer(message, *message.ChunkAnswer)
	case message.Resign != nil:
		e.receiveResign(message)
	case message.Campaign != nil:
		e.receiveCampaign(message)
	}
}

// expectedIncarnation returns the incarnation on record for a member, or 0 if
// unknown.
func (e *Elector) expectedIncarnation(name string) uint64 {
	members := e.membersInForce()
	index := slices.IndexFunc(members, func(m Member) bool { return m.Name == name })
	if index < 0 {
		return 0
	}
	member := members[index]
	if member.Incarnation != 0 {
		return member.Incarnation
	}
	return e.seenIncarnations[name]
}

// checkIdentity reports whether the sender and the receiver of a message have
// the incarnations on record for their names. A replica whose data directory was
// wiped has a new incarnation, so its messages are refused.
func (e *Elector) checkIdentity(message Message) bool {
	if message.ToIncarnation != 0 && message.ToIncarnation != e.config.Incarnation {
		e.addRefusal(RefusalIdentity)
		e.receiveStranger()
		return false
	}
	known := e.expectedIncarnation(message.From)
	if known != 0 && known != message.FromIncarnation {
		e.addRefusal(RefusalIdentity)
		e.effects.MessagesBeforeSync = append(e.effects.MessagesBeforeSync, Message{
			From:            e.config.Name,
			FromIncarnation: e.config.Incarnation,
			To:              message.From,
			Stranger:        &Stranger{},
		})
		return false
	}
	if member, ok := e.group().Find(message.From); ok && member.Incarnation == 0 {
		e.seenIncarnations[message.From] = message.FromIncarnation
	}
	return true
}

// receiveStranger stops a replica that is configured as a founding member and
// has an empty log: the group has another incarnation on record for its name.
func (e *Elector) receiveStranger() {
	if e.log.last() == 0 && !e.config.Join {
		e.effects.Fatal = Error.New("replica %s: %w", e.config.Name, ErrIncarnationMismatch)
	}
}

// answerStaleLeader notifies the leader of an older term of the current term.
func (e *Elector) answerStaleLeader(message Message) {
	switch {
	case message.Append != nil:
		e.sendSynced(message.From, Message{AppendAnswer: &AppendAnswer{Prev: message.Append.PrevIndex}})
	case message.Chunk != nil:
		e.sendSynced(message.From, Message{ChunkAnswer: &ChunkAnswer{Index: message.Chunk.Index}})
	}
}

// acceptLeader records contact with the leader of the current or a newer term.
func (e *Elector) acceptLeader(message Message) {
	e.becomeFollower(message.Term, message.From)
	e.leaderContact = e.now
	e.preVoteAttempts = 0
	e.resetElectionTimeout()
}

// receiveAppend handles entries from the leader.
func (e *Elector) receiveAppend(leader string, request Append) {
	if request.PrevIndex < e.log.anchorIndex {
		e.skipCompacted(&request)
	}
	term, ok := e.log.term(request.PrevIndex)
	if !ok || term != request.PrevTerm {
		e.addRefusal(RefusalMismatch)
		e.send(leader, Message{AppendAnswer: &AppendAnswer{
			Prev: request.PrevIndex,
			Hint: e.matchHint(request),
			Sent: request.Sent,
		}})
		return
	}
	e.storeEntries(request.Entries)
	match := request.PrevIndex + uint64(len(request.Entries))
	e.commitTo(min(request.Commit, match))
	e.acknowledge(leader, match, request)
}

// skipCompacted removes from a request what the compacted part of the log
// covers. That part is committed, so it matches the log of every leader.
func (e *Elector) skipCompacted(request *Append) {
	skipped := min(e.log.anchorIndex-request.PrevIndex, uint64(len(request.Entries)))
	request.Entries = request.Entries[skipped:]
	request.PrevIndex += skipped
	if request.PrevIndex < e.log.anchorIndex {
		request.PrevIndex = e.log.anchorIndex
	}
	request.PrevTerm = e.log.anchorTerm
}

// matchHint returns the highest index at which the log may match the leader's:
// that of the last entry whose term is no newer than the refused one.
func (e *Elector) matchHint(request Append) uint64 {
	index := min(request.PrevIndex-1, e.log.last())
	for index > e.commit {
		term, ok := e.log.term(index)
		if !ok || term <= request.PrevTerm {
			break
		}
		index--
	}
	return index
}

// storeEntries appends the new ones of the entries, after removing those that
// conflict with them.
func (e *Elector) storeEntries(entries []Entry) {
	for i, entry := range entries {
		term, ok := e.log.term(entry.Index)
		if ok && term == entry.Term {
			continue
		}
		if ok {
			e.truncate(entry.Index)
		}
		e.append(entries[i:])
		return
	}
}

// acknowledge answers an accepted Append. What is synced already is
// acknowledged immediately, so that a slow disk does not delay the leader's
// confirmation; the rest is acknowledged after the sync.
func (e *Elector) acknowledge(leader string, match uint64, request Append) {
	synced := min(match, e.syncedIndex)
	if e.effects.Save == nil {
		e.send(leader, Message{AppendAnswer: &AppendAnswer{Accepted: true, Match: synced, Sent: request.Sent}})
		if synced == match {
			return
		}
	}
	e.sendSynced(leader, Message{AppendAnswer: &AppendAnswer{Accepted: true, Match: match, Sent: request.Sent}})
}
