package elector

import "marigoldhill/kernel/timer"

// peer is what a leader knows of one other replica.
type peer struct {
	// match is the highest index known to be synced there.
	match uint64
	// next is the index to send next.
	next uint64
	// probing says that it is not known where the logs agree: one message at a
	// time is sent then.
	probing bool
	waiting bool
	// echo is when the leader sent the newest message that was answered.
	echo timer.Instant
	// heard is when the peer last answered.
	heard timer.Instant
	// sending is the snapshot that is being sent, of which offset bytes have
	// arrived.
	sending *Snapshot
	offset  int
	// sent is when the newest part was sent.
	sent timer.Instant
}

func newPeer(last uint64, now timer.Instant) *peer {
	return &peer{next: last + 1, probing: true, echo: now, heard: now}
}

// hear takes note of an answer to a message sent at sent. Answers may come out
// of order, so an older one changes nothing.
func (p *peer) hear(sent, now timer.Instant) {
	p.heard = now
	if sent.Mono > p.echo.Mono {
		p.echo = sent
	}
}

// accepted takes note that the peer synced all up to match.
func (p *peer) accepted(match uint64) {
	p.waiting = false
	p.probing = false
	p.match = max(p.match, match)
	p.next = max(p.next, p.match+1)
	if p.sending != nil && p.match >= p.sending.Index {
		p.sending = nil
	}
}

// refused takes note of a mismatch and reports whether to send again. One that
// is older than what the peer has accepted since is ignored.
func (p *peer) refused(answer AppendAnswer) bool {
	if answer.Prev <= p.match || (p.probing && answer.Prev != p.next-1) {
		return false
	}
	p.waiting = false
	p.probing = true
	p.next = max(p.match, min(answer.Hint, answer.Prev-1)) + 1
	return true
}

// maySend reports whether entries up to last may be sent now.
func (p *peer) maySend(last uint64) bool {
	if p.next > last {
		return false
	}
	if p.probing {
		return !p.waiting
	}
	return p.next-p.match <= maxInflight
}
