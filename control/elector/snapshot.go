package elector

import "github.com/cespare/xxhash/v2"

// assembly is a snapshot of which parts have arrived.
type assembly struct {
	index uint64
	sum   uint64
	data  []byte
}

// compact takes a snapshot of the machine and drops the entries that it covers,
// but for a tail.
func (e *Elector) compact(event Compact) {
	term, ok := e.log.term(event.Index)
	if !ok || event.Index > e.commit || (e.snapshot != nil && event.Index <= e.snapshot.Index) {
		return
	}
	e.snapshot = &Snapshot{
		Index: event.Index,
		Term:  term,
		Group: e.groupOf(event.Index),
		Data:  event.Data,
		Sum:   xxhash.Sum64(event.Data),
	}
	e.forgetGroups(event.Index)
	if event.Index > e.config.Tail {
		e.log.compact(max(event.Index-e.config.Tail, e.log.anchorIndex))
	}
	e.out.Snapshot = e.snapshot
	e.out.Tail = e.log.entries[:len(e.log.entries):len(e.log.entries)]
}

// forgetGroups drops the groups that were replaced up to index.
func (e *Elector) forgetGroups(index uint64) {
	group := e.groupOf(index)
	kept := []groupAt{{index: index, group: group}}
	for _, at := range e.groups {
		if at.index > index {
			kept = append(kept, at)
		}
	}
	e.groups = kept
}

// sendChunk sends the next part of the snapshot: one at a time, and again at a
// heartbeat, since the part or its answer may be lost.
func (e *Elector) sendChunk(name string, p *peer, again bool) {
	if p.sending == nil {
		p.sending = e.snapshot
		p.offset = 0
		p.waiting = false
	}
	if p.waiting && !again {
		return
	}
	p.waiting = true
	p.sent = e.now
	snapshot := p.sending
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

// receiveChunk takes a part of a snapshot from the leader.
func (e *Elector) receiveChunk(leader string, chunk Chunk) {
	if e.covers(chunk) {
		e.incoming = nil
		e.commitTo(chunk.Index)
		e.acknowledge(leader, chunk.Index, Append{Sent: chunk.Sent})
		return
	}
	if e.incoming == nil || e.incoming.index != chunk.Index || e.incoming.sum != chunk.Sum {
		e.incoming = &assembly{index: chunk.Index, sum: chunk.Sum}
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
	e.install(leader, chunk)
}

// covers reports whether the log holds all that a snapshot does. It must not be
// replaced then, since later entries may have been acknowledged already.
func (e *Elector) covers(chunk Chunk) bool {
	term, ok := e.log.term(chunk.Index)
	return chunk.Index <= e.commit || (ok && term == chunk.Term)
}

// install replaces log and state by a snapshot that has arrived whole.
func (e *Elector) install(leader string, chunk Chunk) {
	data := e.incoming.data
	e.incoming = nil
	if len(data) != chunk.Total || xxhash.Sum64(data) != chunk.Sum {
		e.refuse(RefusalSnapshot)
		e.send(leader, Message{ChunkAnswer: &ChunkAnswer{Index: chunk.Index, Sent: chunk.Sent}})
		return
	}
	e.snapshot = &Snapshot{Index: chunk.Index, Term: chunk.Term, Group: chunk.Group, Data: data, Sum: chunk.Sum}
	e.log.reset(chunk.Index, chunk.Term)
	e.groups = []groupAt{{index: chunk.Index, group: chunk.Group}}
	e.commit = chunk.Index
	e.stable = 0
	e.out.Snapshot = e.snapshot
	e.out.Install = true
	e.sendSynced(leader, Message{AppendAnswer: &AppendAnswer{Accepted: true, Match: chunk.Index, Sent: chunk.Sent}})
}

// receiveChunkAnswer sends the next part.
func (e *Elector) receiveChunkAnswer(message Message, answer ChunkAnswer) {
	p := e.answeredBy(message)
	if p == nil {
		return
	}
	p.hear(answer.Sent, e.now)
	if p.sending == nil || p.sending.Index != answer.Index || p.next > e.log.anchorIndex {
		return
	}
	// A part that was sent again is answered twice. Only one answer may lead to
	// the next part, or each heartbeat would start another sequence of parts.
	if answer.Offset <= p.offset && answer.Sent != p.sent {
		return
	}
	p.offset = min(answer.Offset, len(p.sending.Data))
	p.waiting = false
	if e.change.catchesUp(message.From) {
		e.notice(p)
	}
	e.sendTo(message.From, p, false)
}
