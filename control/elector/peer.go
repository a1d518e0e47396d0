package elector

import "marigoldhill/kernel/timer"

// peer is the state that a leader keeps for one other replica.
type peer struct {
	// match is the highest index known to be synced by the peer.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// probing is set while the index at which the logs match is unknown.
	// Messages are then sent one at a time.
	probing        bool
	awaitingAnswer bool
	// ackedSent is when the leader sent the newest message that the peer has
	// answered.
	ackedSent timer.Instant
	// lastContact is when the peer last answered.
	lastContact timer.Instant
	// outgoing is the snapshot that is being sent. The peer has received offset
	// bytes of it.
	outgoing *Snapshot
	offset   int
	// chunkSent is when the newest chunk was sent.
	chunkSent timer.Instant
}

func newPeer(last uint64, now timer.Instant) *peer {
	return &peer{next: last + 1, probing: true, ackedSent: now, lastContact: now}
}

// recordContact records a response to a message sent at sent. Responses may be
// reordered, so an older one does not set ackedSent back.
func (p *peer) recordContact(sent, now timer.Instant) {
	p.lastContact = now
	if sent.Mono > p.ackedSent.Mono {
		p.ackedSent = sent
	}
}

// recordAccepted records that the peer has synced all entries up to match.
func (p *peer) recordAccepted(match uint64) {
	p.awaitingAnswer = false
	p.probing = false
	p.match = max(p.match, match)
	p.next = max(p.next, p.match+1)
	if p.outgoing != nil && p.match >= p.outgoing.Index {
		p.outgoing = nil
	}
}

// recordRefused records a log mismatch and reports whether to send again. A
// mismatch that is older than what the peer has accepted since is ignored.
func (p *peer) recordRefused(answer AppendAnswer) bool {
	if answer.Prev <= p.match || (p.probing && answer.Prev != p.next-1) {
		return false
	}
	p.awaitingAnswer = false
	p.probing = true
	p.next = max(p.match, min(answer.Hint, answer.Prev-1)) + 1
	return true
}

// canSend reports whether entries up to last may be sent now.
func (p *peer) canSend(last uint64) bool {
	if p.next > last {
		return false
	}
	if p.probing {
		return !p.awaitingAnswer
	}
	return p.next-p.match <= maxInflightEntries
}
