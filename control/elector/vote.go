package elector

import "marigoldhill/kernel/messenger"

// campaign asks for votes. With pre it first asks whether they would be given,
// so that a replica which was cut off raises no terms.
func (e *Elector) campaign(pre bool) {
	e.leader = ""
	e.votes = make(map[string]bool)
	e.asked = e.now.Mono
	vote := Vote{Pre: pre, LastIndex: e.log.last(), LastTerm: e.log.lastTerm(), Forced: e.forced}
	if pre {
		e.role = PreCandidate
		e.attempts++
		e.deadline = e.now.Mono + e.between(preRetryMin, preRetryMax)
		vote.Term = e.hard.Term + 1
		e.askForVotes(vote, e.send)
		e.countVote(e.config.Name, vote.Term)
		return
	}
	e.role = Candidate
	e.hard = HardState{Term: e.hard.Term + 1, Vote: e.config.Name}
	e.save()
	e.voteWrite = e.writes + 1
	vote.Term = e.hard.Term
	e.askForVotes(vote, e.sendSynced)
}

func (e *Elector) askForVotes(vote Vote, send func(string, Message)) {
	for _, member := range e.group().Members {
		if member.Name == e.config.Name {
			continue
		}
		request := vote
		send(member.Name, Message{Vote: &request})
	}
}

// countOwnVote counts the vote of a candidate for itself, once it is synced. The
// others must sync theirs as well, so the wait for them grows with the time that
// it took.
func (e *Elector) countOwnVote(synced uint64) {
	if synced < e.voteWrite || e.votes[e.config.Name] {
		return
	}
	took := e.now.Mono - e.asked
	e.deadline = e.now.Mono + 2*took + e.between(retryMin, retryMax)
	e.countVote(e.config.Name, e.hard.Term)
}

// receiveVote answers a request for a vote.
func (e *Elector) receiveVote(candidate string, vote Vote) {
	answer := VoteAnswer{Pre: vote.Pre, Term: vote.Term}
	reason, granted := e.judge(candidate, vote)
	if !granted {
		e.refuse(reason)
		e.sendSynced(candidate, Message{VoteAnswer: &answer})
		return
	}
	answer.Granted = true
	if vote.Pre {
		// Gives the candidate time to be elected before a rival asks.
		e.deadline = max(e.deadline, e.now.Mono+preRetryMin)
		e.send(candidate, Message{VoteAnswer: &answer})
		return
	}
	e.follow(vote.Term, "")
	e.waitForLeader()
	if e.hard.Vote != candidate {
		e.hard.Vote = candidate
		e.save()
	}
	e.sendSynced(candidate, Message{VoteAnswer: &answer})
}

// judge decides whether a candidate gets the vote.
func (e *Elector) judge(candidate string, vote Vote) (Refusal, bool) {
	if vote.Term < e.hard.Term || (vote.Pre && vote.Term == e.hard.Term) {
		return RefusalStaleTerm, false
	}
	if e.withholds(vote) {
		return RefusalWithheld, false
	}
	if vote.Term == e.hard.Term && e.hard.Vote != "" && e.hard.Vote != candidate {
		return RefusalVoted, false
	}
	if vote.Term == e.hard.Term && e.role == Leader {
		return RefusalVoted, false
	}
	if vote.Pre && e.precedes(candidate, vote) {
		return RefusalRival, false
	}
	if vote.LastTerm < e.log.lastTerm() ||
		(vote.LastTerm == e.log.lastTerm() && vote.LastIndex < e.log.last()) {
		e.adoptTerm(vote)
		return RefusalOldLog, false
	}
	return "", true
}

// precedes reports whether this replica asks for votes itself for the first time
// since it heard a leader, and comes before candidate by name. Of two that ask at
// once only one goes on, so that they do not split the votes. From the second
// time on it gives way, since it may be cut off from voters that the other
// reaches.
func (e *Elector) precedes(candidate string, vote Vote) bool {
	equal := vote.LastTerm == e.log.lastTerm() && vote.LastIndex == e.log.last()
	return equal && e.role == PreCandidate && e.attempts == 1 && e.config.Name < candidate
}

// adoptTerm follows a newer term of a candidate that does not get the vote.
func (e *Elector) adoptTerm(vote Vote) {
	if !vote.Pre && vote.Term > e.hard.Term {
		deadline := e.deadline
		e.follow(vote.Term, "")
		e.deadline = deadline
	}
}

// withholds reports whether votes are withheld: a leader was heard within the
// shortest election time-out, or this replica started within it and does not
// know when it last heard one.
func (e *Elector) withholds(vote Vote) bool {
	if vote.Forced {
		return false
	}
	if e.role == Leader {
		return true
	}
	return e.now.Mono-e.heard.Mono < messenger.ElectionTimeMin
}

// receiveVoteAnswer counts a vote.
func (e *Elector) receiveVoteAnswer(message Message, answer VoteAnswer) {
	if message.Term > e.hard.Term && !answer.Granted {
		deadline := e.deadline
		e.follow(message.Term, "")
		e.deadline = min(deadline, e.now.Mono+preRetryMax)
		return
	}
	if !answer.Granted || answer.Pre != (e.role == PreCandidate) {
		return
	}
	e.countVote(message.From, answer.Term)
}

// countVote counts a vote for this replica in term.
func (e *Elector) countVote(voter string, term uint64) {
	switch {
	case e.role == PreCandidate && term == e.hard.Term+1:
	case e.role == Candidate && term == e.hard.Term:
	default:
		return
	}
	e.votes[voter] = true
	if e.votesCounted() < e.votesNeeded() {
		return
	}
	if e.role == PreCandidate {
		e.campaign(false)
		return
	}
	e.lead()
}

func (e *Elector) votesCounted() int {
	counted := 0
	for _, member := range e.group().Members {
		if e.votes[member.Name] {
			counted++
		}
	}
	return counted
}

// votesNeeded is a majority. A replica with an empty log needs the votes of all
// founding members instead: otherwise a majority of wiped replicas could found
// a second group.
func (e *Elector) votesNeeded() int {
	if e.log.last() == 0 {
		return len(e.group().Members)
	}
	return e.group().Majority()
}

// receiveCampaign takes over from the leader at its request.
func (e *Elector) receiveCampaign(message Message) {
	if message.Term != e.hard.Term || message.From != e.leader || !e.group().Has(e.config.Name) {
		return
	}
	e.forced = true
	e.campaign(false)
	e.forced = false
}
