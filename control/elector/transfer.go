package elector

import (
	"time"

	"marigoldhill/kernel/messenger"
)

// transfer is a leadership transfer in progress. Meanwhile the leader is not
// confirmed and rejects proposals.
type transfer struct {
	id           uint64
	target       string
	campaignSent bool
	deadline     time.Duration
}

func (e *Elector) startTransfer(event Transfer) {
	if e.deferEvent(event) {
		return
	}
	err := e.checkChangeAllowed()
	if err == nil && (!e.group().Has(event.Name) || event.Name == e.config.Name) {
		err = ErrInvalidMember
	}
	if err != nil {
		e.rejectProposal(event.ID, err)
		return
	}
	e.transfer = &transfer{
		id:       event.ID,
		target:   event.Name,
		deadline: e.now.Mono + messenger.MinElectionTimeout,
	}
	e.sendTo(event.Name, e.peers[event.Name], true)
	e.advanceTransfer()
}

// advanceTransfer asks the target to campaign once it has the complete log.
func (e *Elector) advanceTransfer() {
	t := e.transfer
	if t == nil || t.campaignSent || e.peers[t.target].match < e.log.last() {
		return
	}
	t.campaignSent = true
	e.send(t.target, Message{Campaign: &Campaign{}})
}

// expireTransfer aborts a transfer that timed out. Once the target was asked to
// campaign, its vote request may arrive at any later time and votes are not
// withheld from it. The leader must therefore never be confirmed again in this
// term and steps down.
func (e *Elector) expireTransfer() {
	e.rejectProposal(e.transfer.id, ErrTransferTimeout)
	campaignSent := e.transfer.campaignSent
	e.transfer = nil
	if campaignSent {
		e.becomeFollower(e.hardState.Term, "")
	}
}
