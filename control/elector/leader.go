package elector

import (
	"cmp"
	"slices"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// becomeLeader makes a candidate with enough votes the leader.
func (e *Elector) becomeLeader() {
	e.role = Leader
	e.leader = e.config.Name
	e.leaderSince = e.now
	e.committedInTerm = false
	e.votes = nil
	e.peers = make(map[string]*peer)
	e.syncPeers()
	e.appendEntry(EntryEmpty, nil)
	e.nextHeartbeat = e.now.Mono + messenger.LeaderHeartbeatInterval
	e.replicate(true)
}

// endLeadership aborts the change and the transfer in progress and drops the
// state that only a leader has.
func (e *Elector) endLeadership() {
	if e.change != nil && e.change.id != 0 && e.change.index == 0 {
		e.rejectProposal(e.change.id, ErrNotLeader)
	}
	if e.transfer != nil {
		e.effects.Proposed = append(e.effects.Proposed, Proposed{ID: e.transfer.id})
	}
	e.peers = nil
	e.change = nil
	e.transfer = nil
	e.committedInTerm = false
	e.handleDeferred()
}

// syncPeers updates the peers to the members of the current group and the
// joiner.
func (e *Elector) syncPeers() {
	for _, member := range e.membersInForce() {
		if member.Name != e.config.Name && e.peers[member.Name] == nil {
			e.peers[member.Name] = newPeer(e.log.last(), e.now)
		}
	}
	for name := range e.peers {
		if !e.isMemberInForce(name) && !e.change.isCatchingUp(name) {
			delete(e.peers, name)
		}
	}
}

func (e *Elector) appendEntry(kind EntryKind, data []byte) uint64 {
	index := e.log.last() + 1
	e.append([]Entry{{Index: index, Term: e.hardState.Term, Kind: kind, Data: data}})
	return index
}

// propose appends commands to the log, or rejects them if this replica is not a
// ready leader or is transferring leadership.
func (e *Elector) propose(event Propose) {
	if e.role != Leader || !e.committedInTerm || e.transfer != nil {
		for _, command := range event.Commands {
			e.rejectProposal(command.ID, ErrNotLeader)
		}
		return
	}
	for _, command := range event.Commands {
		index := e.appendEntry(EntryCommand, command.Data)
		e.effects.Proposed = append(e.effects.Proposed, Proposed{ID: command.ID, Index: index, Term: e.hardState.Term})
	}
	e.replicate(false)
}

func (e *Elector) rejectProposal(id uint64, reason error) {
	e.effects.Proposed = append(e.effects.Proposed, Proposed{ID: id, Err: Error.New("%w", reason)})
}

// tickLeader sends heartbeats, checks the timeouts of a leader, and steps down
// if it has lost contact with a quorum.
func (e *Elector) tickLeader() {
	if e.quorumAge(e.now, monotonicElapsed) >= messenger.MaxElectionTimeout {
		e.resign()
		return
	}
	if e.transfer != nil && e.now.Mono >= e.transfer.deadline {
		e.expireTransfer()
	}
	if e.role != Leader {
		return
	}
	e.expireChange()
	e.recordIncarnations()
	e.confirmGroup()
	if e.now.Mono < e.nextHeartbeat {
		return
	}
	e.nextHeartbeat = e.now.Mono + messenger.LeaderHeartbeatInterval
	e.replicate(true)
}

// monotonicElapsed returns the time between two instants on the monotonic clock
// alone.
func monotonicElapsed(now, earlier timer.Instant) time.Duration {
	return now.Mono - earlier.Mono
}

// quorumAge returns the time, measured by elapsed, since the leader sent the
// newest message that a quorum has answered.
func (e *Elector) quorumAge(now timer.Instant, elapsed func(now, earlier timer.Instant) time.Duration) time.Duration {
	ages := map[string]time.Duration{e.config.Name: 0}
	for name, p := range e.peers {
		ages[name] = elapsed(now, p.ackedSent)
	}
	return quorumValue(e, ages, cmp.Compare[time.Duration], unconfirmedAge)
}

// Confirmed reports whether at now this replica leads, a quorum has confirmed
// it within ConfirmationTimeout by both clocks, and no transfer is in progress.
func (e *Elector) Confirmed(now timer.Instant) bool {
	if !e.Leading() || e.transfer != nil {
		return false
	}
	return e.quorumAge(now, timer.Instant.Since) < ConfirmationTimeout
}

// Leading reports whether this replica is the leader and has committed an entry
// of its term.
func (e *Elector) Leading() bool {
	return e.role == Leader && e.committedInTerm
}

// receiveAppendAnswer updates the progress of a follower.
func (e *Elector) receiveAppendAnswer(message Message, answer AppendAnswer) {
	p := e.respondingPeer(message)
	if p == nil {
		return
	}
	p.recordContact(answer.Sent, e.now)
	if !answer.Accepted {
		if p.recordRefused(answer) {
			e.sendTo(message.From, p, true)
		}
		return
	}
	p.recordAccepted(answer.Match)
	e.advanceCommit()
	if p.next > e.log.anchorIndex {
		e.sendTo(message.From, p, false)
	}
	e.advanceChange(message.From, message.FromIncarnation, p)
	e.advanceTransfer()
}

// respondingPeer returns the peer that sent a response, or nil if this replica
// does not lead or has no such peer.
func (e *Elector) respondingPeer(message Message) *peer {
	if message.Term > e.hardState.Term {
		e.becomeFollower(message.Term, "")
		return nil
	}
	if e.role != Leader {
		return nil
	}
	return e.peers[message.From]
}

// advanceCommit commits the entries that a quorum has synced. This replica
// counts only for what it has synced itself.
func (e *Elector) advanceCommit() {
	matches := map[string]uint64{e.config.Name: e.syncedIndex}
	for name, p := range e.peers {
		matches[name] = p.match
	}
	index := quorumValue(e, matches, func(a, b uint64) int { return cmp.Compare(b, a) }, 0)
	if term, ok := e.log.term(index); !ok || term != e.hardState.Term || index <= e.commit {
		return
	}
	e.commitTo(index)
	e.committedInTerm = true
	e.syncPeers()
	e.recordIncarnations()
	e.finishChange()
}

// replicate sends each peer what it lacks. If heartbeat is set, a peer that
// lacks nothing gets an empty message.
func (e *Elector) replicate(heartbeat bool) {
	for _, name := range e.peerNames() {
		e.sendTo(name, e.peers[name], heartbeat)
	}
}

// peerNames returns the names of the peers, sorted.
func (e *Elector) peerNames() []string {
	names := make([]string, 0, len(e.peers))
	for name := range e.peers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// sendTo sends a peer the entries or the snapshot chunk that it lacks. If
// heartbeat is set, a peer that lacks nothing gets an empty message.
func (e *Elector) sendTo(name string, p *peer, heartbeat bool) {
	if p.next <= e.log.anchorIndex {
		e.sendChunk(name, p, heartbeat)
		return
	}
	for p.canSend(e.log.last()) {
		e.sendEntries(name, p)
		heartbeat = false
		if p.probing {
			return
		}
	}
	if heartbeat {
		e.sendEntries(name, p)
	}
}

// sendEntries sends the next entries, or none if the peer has all of them or
// the limit of unacknowledged entries is reached.
func (e *Elector) sendEntries(name string, p *peer) {
	previous := p.next - 1
	term, _ := e.log.term(previous)
	request := &Append{PrevIndex: previous, PrevTerm: term, Commit: e.commit, Sent: e.now}
	if p.canSend(e.log.last()) {
		request.Entries = e.batch(p.next)
	}
	if !p.probing {
		p.next += uint64(len(request.Entries))
	}
	p.awaitingAnswer = true
	e.send(name, Message{Append: request})
}

// batch returns the entries from first on that fit into one message.
func (e *Elector) batch(first uint64) []Entry {
	entries := e.log.slice(first, e.log.last())
	bytes := 0
	for i, entry := range entries {
		bytes += len(entry.Data)
		if bytes > maxAppendBytes && i > 0 {
			return entries[:i:i]
		}
	}
	return entries[:len(entries):len(entries)]
}
