package elector

import (
	"slices"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// lead makes a candidate with enough votes the leader.
func (e *Elector) lead() {
	e.role = Leader
	e.leader = e.config.Name
	e.since = e.now
	e.ready = false
	e.votes = nil
	e.peers = make(map[string]*peer)
	e.syncPeers()
	e.appendOwn(EntryEmpty, nil)
	e.beat = e.now.Mono + messenger.ReplicaInterval
	e.replicate(true)
}

// abandon gives up what a leader had under way.
func (e *Elector) abandon() {
	if e.change != nil && e.change.id != 0 && e.change.index == 0 {
		e.reject(e.change.id, ErrNotLeader)
	}
	if e.transfer != nil {
		e.out.Proposed = append(e.out.Proposed, Proposed{ID: e.transfer.id})
	}
	e.peers = nil
	e.change = nil
	e.transfer = nil
	e.ready = false
	e.takeDeferred()
}

// syncPeers makes the peers those of the group in force and the member that is
// catching up.
func (e *Elector) syncPeers() {
	for _, member := range e.group().Members {
		if member.Name != e.config.Name && e.peers[member.Name] == nil {
			e.peers[member.Name] = newPeer(e.log.last(), e.now)
		}
	}
	for name := range e.peers {
		if !e.group().Has(name) && !e.change.catchesUp(name) {
			delete(e.peers, name)
		}
	}
}

func (e *Elector) appendOwn(kind EntryKind, data []byte) uint64 {
	index := e.log.last() + 1
	e.append([]Entry{{Index: index, Term: e.hard.Term, Kind: kind, Data: data}})
	return index
}

// propose appends commands.
func (e *Elector) propose(event Propose) {
	if e.role != Leader || !e.ready || e.transfer != nil {
		for _, command := range event.Commands {
			e.reject(command.ID, ErrNotLeader)
		}
		return
	}
	for _, command := range event.Commands {
		index := e.appendOwn(EntryCommand, command.Data)
		e.out.Proposed = append(e.out.Proposed, Proposed{ID: command.ID, Index: index, Term: e.hard.Term})
	}
	e.replicate(false)
}

func (e *Elector) reject(id uint64, reason error) {
	e.out.Proposed = append(e.out.Proposed, Proposed{ID: id, Err: Error.New("%w", reason)})
}

// tickLeader sends heartbeats and steps down without a majority.
func (e *Elector) tickLeader() {
	if e.silence(e.now, monotonic) >= messenger.ElectionTimeMax {
		e.resign()
		return
	}
	if e.transfer != nil && e.now.Mono >= e.transfer.deadline {
		e.endTransfer()
	}
	if e.role != Leader {
		return
	}
	e.tickChange()
	e.pinIdentities()
	if e.now.Mono < e.beat {
		return
	}
	e.beat = e.now.Mono + messenger.ReplicaInterval
	e.replicate(true)
}

// monotonic is the time between two instants by the monotonic clock alone.
func monotonic(now, earlier timer.Instant) time.Duration {
	return now.Mono - earlier.Mono
}

// silence is the time since a majority was known to follow this leader, by the
// given measure: since the sending of what it answered.
func (e *Elector) silence(now timer.Instant, since func(now, earlier timer.Instant) time.Duration) time.Duration {
	var silences []time.Duration
	for _, member := range e.group().Members {
		if member.Name == e.config.Name {
			silences = append(silences, 0)
			continue
		}
		silences = append(silences, since(now, e.peers[member.Name].echo))
	}
	slices.Sort(silences)
	return silences[min(e.group().Majority(), len(silences))-1]
}

// Confirmed reports whether at now this replica leads, a majority confirmed so
// within ConfirmTime by both clocks, and no transfer is under way.
func (e *Elector) Confirmed(now timer.Instant) bool {
	if !e.Leading() || e.transfer != nil {
		return false
	}
	return e.silence(now, timer.Instant.Since) < ConfirmTime
}

// Leading reports whether this replica leads and has committed an entry of its
// term.
func (e *Elector) Leading() bool {
	return e.role == Leader && e.ready
}

// receiveAppendAnswer takes note of how far a follower is.
func (e *Elector) receiveAppendAnswer(message Message, answer AppendAnswer) {
	p := e.answeredBy(message)
	if p == nil {
		return
	}
	p.hear(answer.Sent, e.now)
	if !answer.Accepted {
		if p.refused(answer) {
			e.sendTo(message.From, p, true)
		}
		return
	}
	p.accepted(answer.Match)
	e.advance()
	if p.next > e.log.anchorIndex {
		e.sendTo(message.From, p, false)
	}
	e.advanceChange(message.From, message.FromIncarnation, p)
	e.advanceTransfer()
}

// answeredBy returns the peer that sent an answer to this leader, or nil.
func (e *Elector) answeredBy(message Message) *peer {
	if message.Term > e.hard.Term {
		e.follow(message.Term, "")
		return nil
	}
	if e.role != Leader {
		return nil
	}
	return e.peers[message.From]
}

// advance commits what a majority has synced, counting this replica only for
// what it has synced itself.
func (e *Elector) advance() {
	var matches []uint64
	for _, member := range e.group().Members {
		if member.Name == e.config.Name {
			matches = append(matches, e.stable)
			continue
		}
		matches = append(matches, e.peers[member.Name].match)
	}
	slices.Sort(matches)
	index := matches[len(matches)-e.group().Majority()]
	if term, ok := e.log.term(index); !ok || term != e.hard.Term || index <= e.commit {
		return
	}
	e.commitTo(index)
	e.ready = true
	e.endChange()
}

// replicate sends each peer what it lacks; with beat also when that is nothing.
func (e *Elector) replicate(beat bool) {
	for _, name := range e.peerNames() {
		e.sendTo(name, e.peers[name], beat)
	}
}

// peerNames are the peers in a fixed order.
func (e *Elector) peerNames() []string {
	names := make([]string, 0, len(e.peers))
	for name := range e.peers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// sendTo sends a peer what it lacks; with beat also when that is nothing.
func (e *Elector) sendTo(name string, p *peer, beat bool) {
	if p.next <= e.log.anchorIndex {
		e.sendChunk(name, p, beat)
		return
	}
	for p.maySend(e.log.last()) {
		e.sendEntries(name, p)
		beat = false
		if p.probing {
			return
		}
	}
	if beat {
		e.sendEntries(name, p)
	}
}

// sendEntries sends the next entries, or none when the peer has all or too much
// is under way.
func (e *Elector) sendEntries(name string, p *peer) {
	previous := p.next - 1
	term, _ := e.log.term(previous)
	request := &Append{PrevIndex: previous, PrevTerm: term, Commit: e.commit, Sent: e.now}
	if p.maySend(e.log.last()) {
		request.Entries = e.batch(p.next)
	}
	if !p.probing {
		p.next += uint64(len(request.Entries))
	}
	p.waiting = true
	e.send(name, Message{Append: request})
}

// batch is the entries from first on that fit into one message.
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
