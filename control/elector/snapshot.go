package elector

import "github.com/cespare/xxhash/v2"

// incomingSnapshot is a snapshot that is being received in chunks.
type incomingSnapshot struct {
	index uint64
	sum   uint64
	data  []byte
}

// compact stores a snapshot of the state machine and removes the entries that
// it covers, except for the last Config.TrailingEntries ones. Of those it keeps no
// more bytes than the snapshot has, which a follower gets faster than more entries.
func (e *Elector) compact(event Compact) {
	term, ok := e.log.term(event.Index)
	if !ok || event.Index > e.commit || (e.snapshot != nil && event.Index <= e.snapshot.Index) {
		return
	}
	e.snapshot = &Snapshot{
		Index: event.Index,
		Term:  term,
		Group: e.groupAtIndex(event.Index),
		Data:  event.Data,
		Sum:   xxhash.Sum64(event.Data),
	}
	e.compactGroups(event.Index)
	if event.Index > e.config.TrailingEntries {
		e.log.compact(max(event.Index-e.config.TrailingEntries, e.log.anchorIndex))
	}
	e.log.compact(e.log.indexBefore(event.Index, max(len(event.Data), ChunkBytes)))
	e.effects.Snapshot = e.snapshot
	e.effects.TrailingEntries = e.log.entries[:len(e.log.entries):len(e.log.entries)]
}

// compactGroups removes the groups that were superseded up to index.
func (e *Elector) compactGroups(index uint64) {
	group := e.groupAtIndex(index)
	kept := []groupVersion{{index: index, group: group}}
	for _, version := range e.groups {
		if version.index > index {
			kept = append(kept, version)
		}
	}
	e.groups = kept
}

// sendChunk sends the next chunk of the snapshot. Only one chunk is in flight
// at a time. A heartbeat resends it, since the chunk or its response may be lost.
func (e *Elector) sendChunk(name string, p *peer, resend bool) {
	if p.outgoing == nil {
		p.outgoing = e.snapshot
		p.offset = 0
		p.awaitingAnswer = false
	}
	if p.awaitingAnswer && !resend {
		return
	}
	p.awaitingAnswer = true
	p.chunkSent = e.now
	snapshot := p.outgoing
	end := min(p.offset+ChunkBytes, len(snapshot.Data))
	e.send(name, Message{Chunk: &Chunk{
		Index:  snapshot.Index,
		Term:   snapshot.Term,
		Group:  snapshot.Group,
		Offset: p.offset,
		Data:   snapshot.Data[p.offset:end],
		Total:  len(snapshot.Data),
		Sum:    snapshot.Sum,
		Sent:   e.now,
	}})
}

// receiveChunk handles a snapshot chunk from the leader.
func (e *Elector) receiveChunk(leader string, chunk Chunk) {
	if e.logCovers(chunk) {
		e.incoming = nil
		e.commitTo(chunk.Index)
		e.acknowledge(leader, chunk.Index, Append{Sent: chunk.Sent})
		return
	}
	if e.incoming == nil || e.incoming.index != chunk.Index || e.incoming.sum != chunk.Sum {
		e.incoming = &incomingSnapshot{index: chunk.Index, sum: chunk.Sum}
	}
	if chunk.Offset == len(e.incoming.data) {
		e.incoming.data = append(e.incoming.data, chunk.Data...)
	}
	if len(e.incoming.data) < chunk.Total {
		e.send(leader, Message{ChunkAnswer: &ChunkAnswer{
			Index:  chunk.Index,
			Offset: len(e.incoming.data),
			Sent:   chunk.Sent,
		}})
		return
	}
	e.installSnapshot(leader, chunk)
}

// logCovers reports whether the log holds everything that a snapshot does. It
// must not be replaced then, since later entries may have been acknowledged
// already.
func (e *Elector) logCovers(chunk Chunk) bool {
	term, ok := e.log.term(chunk.Index)
	return chunk.Index <= e.commit || (ok && term == chunk.Term)
}

// installSnapshot replaces the log and the state by a completely received snapshot.
func (e *Elector) installSnapshot(leader string, chunk Chunk) {
	data := e.incoming.data
	e.incoming = nil
	if len(data) != chunk.Total || xxhash.Sum64(data) != chunk.Sum {
		e.addRefusal(RefusalSnapshot)
		e.send(leader, Message{ChunkAnswer: &ChunkAnswer{Index: chunk.Index, Sent: chunk.Sent}})
		return
	}
	e.snapshot = &Snapshot{Index: chunk.Index, Term: chunk.Term, Group: chunk.Group, Data: data, Sum: chunk.Sum}
	e.log.reset(chunk.Index, chunk.Term)
	e.groups = []groupVersion{{index: chunk.Index, group: chunk.Group}}
	e.commit = chunk.Index
	e.syncedIndex = 0
	e.effects.Snapshot = e.snapshot
	e.effects.Install = true
	e.sendSynced(leader, Message{AppendAnswer: &AppendAnswer{Accepted: true, Match: chunk.Index, Sent: chunk.Sent}})
}

// receiveChunkAnswer records the progress of a snapshot transfer and sends the
// next chunk.
func (e *Elector) receiveChunkAnswer(message Message, answer ChunkAnswer) {
	p := e.respondingPeer(message)
	if p == nil {
		return
	}
	p.recordContact(answer.Sent, e.now)
	if p.outgoing == nil || p.outgoing.Index != answer.Index || p.next > e.log.anchorIndex {
		return
	}
	// A chunk that was resent is answered twice. Only one response may trigger
	// the next chunk, or each heartbeat would start another sequence of chunks.
	if answer.Offset <= p.offset && answer.Sent != p.chunkSent {
		return
	}
	p.offset = min(answer.Offset, len(p.outgoing.Data))
	p.awaitingAnswer = false
	if e.change.isCatchingUp(message.From) {
		e.recordCatchUp(p)
	}
	e.sendTo(message.From, p, false)
}
