package elector

import (
	"time"

	"marigoldhill/kernel/messenger"
)

// transfer is a transfer of leadership that is under way. While it is, the
// leader is not confirmed and takes no proposals.
type transfer struct {
	id       uint64
	target   string
	sent     bool
	deadline time.Duration
}

func (e *Elector) startTransfer(event Transfer) {
	if e.defers(event) {
		return
	}
	err := e.mayChange()
	if err == nil && (!e.group().Has(event.Name) || event.Name == e.config.Name) {
		err = ErrMember
	}
	if err != nil {
		e.reject(event.ID, err)
		return
	}
	e.transfer = &transfer{
		id:       event.ID,
		target:   event.Name,
		deadline: e.now.Mono + messenger.ElectionTimeMin,
	}
	e.sendTo(event.Name, e.peers[event.Name], true)
	e.advanceTransfer()
}

// advanceTransfer tells the target to take over once it has the whole log.
func (e *Elector) advanceTransfer() {
	t := e.transfer
	if t == nil || t.sent || e.peers[t.target].match < e.log.last() {
		return
	}
	t.sent = true
	e.send(t.target, Message{Campaign: &Campaign{}})
}

// endTransfer ends a transfer that took too long. Once the target was told to
// take over, its request for votes may arrive at any later time and skips the
// wait of the voters; so the leader must never be confirmed again in this term
// and steps down.
func (e *Elector) endTransfer() {
	e.reject(e.transfer.id, ErrTransfer)
	sent := e.transfer.sent
	e.transfer = nil
	if sent {
		e.follow(e.hard.Term, "")
	}
}
