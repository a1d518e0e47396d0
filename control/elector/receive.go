package elector

// receive handles a message of another replica.
func (e *Elector) receive(message Message) {
	if message.Stranger != nil {
		e.receiveStranger()
		return
	}
	if !e.checkIdentity(message) {
		return
	}
	switch {
	case message.Vote != nil:
		e.receiveVote(message.From, *message.Vote)
		return
	case message.VoteAnswer != nil:
		e.receiveVoteAnswer(message, *message.VoteAnswer)
		return
	}
	if message.Term < e.hard.Term {
		e.refuse(RefusalStaleTerm)
		e.answerStaleLeader(message)
		return
	}
	switch {
	case message.Append != nil:
		e.followLeader(message)
		e.receiveAppend(message.From, *message.Append)
	case message.Chunk != nil:
		e.followLeader(message)
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

// expected is the incarnation that is known of a member, or 0.
func (e *Elector) expected(name string) uint64 {
	member, ok := e.group().Find(name)
	if !ok {
		return 0
	}
	if member.Incarnation != 0 {
		return member.Incarnation
	}
	return e.seen[name]
}

// checkIdentity reports whether sender and receiver of a message are who the
// group knows under these names. A replica whose data folder was wiped has a new
// incarnation, so nothing that it says counts.
func (e *Elector) checkIdentity(message Message) bool {
	if message.ToIncarnation != 0 && message.ToIncarnation != e.config.Incarnation {
		e.refuse(RefusalIdentity)
		e.receiveStranger()
		return false
	}
	known := e.expected(message.From)
	if known != 0 && known != message.FromIncarnation {
		e.refuse(RefusalIdentity)
		e.out.Before = append(e.out.Before, Message{
			From:            e.config.Name,
			FromIncarnation: e.config.Incarnation,
			To:              message.From,
			Stranger:        &Stranger{},
		})
		return false
	}
	if member, ok := e.group().Find(message.From); ok && member.Incarnation == 0 {
		e.seen[message.From] = message.FromIncarnation
	}
	return true
}

// receiveStranger stops a replica that believes to be a founding member and has
// nothing stored, since the group knows it under another identity.
func (e *Elector) receiveStranger() {
	if e.log.last() == 0 && !e.config.Join {
		e.out.Fatal = Error.New("replica %s: %w", e.config.Name, ErrStranger)
	}
}

// answerStaleLeader tells a leader of an older term of the newer one.
func (e *Elector) answerStaleLeader(message Message) {
	switch {
	case message.Append != nil:
		e.sendSynced(message.From, Message{AppendAnswer: &AppendAnswer{Prev: message.Append.PrevIndex}})
	case message.Chunk != nil:
		e.sendSynced(message.From, Message{ChunkAnswer: &ChunkAnswer{Index: message.Chunk.Index}})
	}
}

// followLeader takes note of the leader of the current or a newer term.
func (e *Elector) followLeader(message Message) {
	e.follow(message.Term, message.From)
	e.heard = e.now
	e.attempts = 0
	e.waitForLeader()
}

// receiveAppend takes entries from the leader.
func (e *Elector) receiveAppend(leader string, request Append) {
	if request.PrevIndex < e.log.anchorIndex {
		e.skipCompacted(&request)
	}
	term, ok := e.log.term(request.PrevIndex)
	if !ok || term != request.PrevTerm {
		e.refuse(RefusalMismatch)
		e.send(leader, Message{AppendAnswer: &AppendAnswer{
			Prev: request.PrevIndex,
			Hint: e.hint(request),
			Sent: request.Sent,
		}})
		return
	}
	e.store(request.Entries)
	match := request.PrevIndex + uint64(len(request.Entries))
	e.commitTo(min(request.Commit, match))
	e.acknowledge(leader, match, request)
}

// skipCompacted drops what is covered by the committed, compacted part of the
// log, which agrees with each leader.
func (e *Elector) skipCompacted(request *Append) {
	skipped := min(e.log.anchorIndex-request.PrevIndex, uint64(len(request.Entries)))
	request.Entries = request.Entries[skipped:]
	request.PrevIndex += skipped
	if request.PrevIndex < e.log.anchorIndex {
		request.PrevIndex = e.log.anchorIndex
	}
	request.PrevTerm = e.log.anchorTerm
}

// hint is the highest index at which the log may agree with the leader's: the
// last one of a term no newer than the one that was refused.
func (e *Elector) hint(request Append) uint64 {
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

// store appends what is new of entries, after it removed what conflicts.
func (e *Elector) store(entries []Entry) {
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

// acknowledge answers an accepted Append: at once for what is synced already, so
// that a slow disk does not hold up the leader's confirmation, and after the sync
// for all of it.
func (e *Elector) acknowledge(leader string, match uint64, request Append) {
	synced := min(match, e.stable)
	if e.out.Save == nil {
		e.send(leader, Message{AppendAnswer: &AppendAnswer{Accepted: true, Match: synced, Sent: request.Sent}})
		if synced == match {
			return
		}
	}
	e.sendSynced(leader, Message{AppendAnswer: &AppendAnswer{Accepted: true, Match: match, Sent: request.Sent}})
}
