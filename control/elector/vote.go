package elector

import (
	"slices"

	"marigoldhill/kernel/messenger"
)

// campaign requests votes. If pre is set, it requests pre-votes first, so that
// a replica that was partitioned does not raise the term.
func (e *Elector) campaign(pre bool) {
	e.leader = ""
	e.votes = make(map[string]bool)
	e.campaignStart = e.now.Mono
	vote := Vote{Pre: pre, LastIndex: e.log.last(), LastTerm: e.log.lastTerm(), Forced: e.forcedCampaign}
	if pre {
		e.role = PreCandidate
		e.preVoteAttempts++
		e.deadline = e.now.Mono + e.randomBetween(preVoteTimeoutMin, preVoteTimeoutMax)
		vote.Term = e.hardState.Term + 1
		e.requestVotes(vote, e.send)
		e.countVote(e.config.Name, vote.Term)
		return
	}
	e.role = Candidate
	e.hardState = HardState{Term: e.hardState.Term + 1, Vote: e.config.Name}
	e.saveHardState()
	e.voteWrite = e.lastWrite + 1
	vote.Term = e.hardState.Term
	e.requestVotes(vote, e.sendSynced)
}

func (e *Elector) requestVotes(vote Vote, send func(string, Message)) {
	for _, member := range e.membersInForce() {
		if member.Name == e.config.Name {
			continue
		}
		request := vote
		send(member.Name, Message{Vote: &request})
	}
}

// countOwnVote counts the vote of a candidate for itself, once it is synced.
// The other replicas must sync their votes as well, so the wait for them grows
// with the duration of its own sync.
func (e *Elector) countOwnVote(synced uint64) {
	if synced < e.voteWrite || e.votes[e.config.Name] {
		return
	}
	syncTime := e.now.Mono - e.campaignStart
	e.deadline = e.now.Mono + 2*syncTime + e.randomBetween(voteTimeoutMin, voteTimeoutMax)
	e.countVote(e.config.Name, e.hardState.Term)
}

// receiveVote handles a vote request.
func (e *Elector) receiveVote(candidate string, vote Vote) {
	answer := VoteAnswer{Pre: vote.Pre, Term: vote.Term}
	reason, granted := e.evaluateVote(candidate, vote)
	if !granted {
		e.addRefusal(reason)
		e.sendSynced(candidate, Message{VoteAnswer: &answer})
		return
	}
	answer.Granted = true
	if vote.Pre {
		// Gives the candidate time to be elected before this replica campaigns
		// itself.
		e.deadline = max(e.deadline, e.now.Mono+preVoteTimeoutMin)
		e.send(candidate, Message{VoteAnswer: &answer})
		return
	}
	e.becomeFollower(vote.Term, "")
	e.resetElectionTimeout()
	if e.hardState.Vote != candidate {
		e.hardState.Vote = candidate
		e.saveHardState()
	}
	e.sendSynced(candidate, Message{VoteAnswer: &answer})
}

// evaluateVote decides whether a candidate gets the vote, and returns the
// reason if not.
func (e *Elector) evaluateVote(candidate string, vote Vote) (Refusal, bool) {
	if vote.Term < e.hardState.Term || (vote.Pre && vote.Term == e.hardState.Term) {
		return RefusalStaleTerm, false
	}
	if e.withholdsVote(vote) {
		return RefusalWithheld, false
	}
	if vote.Term == e.hardState.Term && e.hardState.Vote != "" && e.hardState.Vote != candidate {
		return RefusalVoted, false
	}
	if vote.Term == e.hardState.Term && e.role == Leader {
		return RefusalVoted, false
	}
	if vote.Pre && e.hasPriority(candidate, vote) {
		return RefusalPriority, false
	}
	if vote.LastTerm < e.log.lastTerm() ||
		(vote.LastTerm == e.log.lastTerm() && vote.LastIndex < e.log.last()) {
		e.adoptTerm(vote)
		return RefusalLogBehind, false
	}
	return "", true
}

// hasPriority reports whether this replica is in its first pre-vote round since
// its last contact with a leader, and precedes the candidate by name. Of two
// replicas that campaign at the same time only one continues, so that they do
// not split the votes. From the second round on this replica yields, since it
// may be cut off from voters that the other one reaches.
func (e *Elector) hasPriority(candidate string, vote Vote) bool {
	equal := vote.LastTerm == e.log.lastTerm() && vote.LastIndex == e.log.last()
	return equal && e.role == PreCandidate && e.preVoteAttempts == 1 && e.config.Name < candidate
}

// adoptTerm adopts the newer term of a candidate that does not get the vote. The
// election deadline stays unchanged.
func (e *Elector) adoptTerm(vote Vote) {
	if !vote.Pre && vote.Term > e.hardState.Term {
		deadline := e.deadline
		e.becomeFollower(vote.Term, "")
		e.deadline = deadline
	}
}

// withholdsVote reports whether votes are withheld: a leader was active within
// the shortest election timeout, or this replica started within that time, so
// that the time of its last contact with one is unknown.
func (e *Elector) withholdsVote(vote Vote) bool {
	if vote.Forced {
		return false
	}
	if e.role == Leader {
		return true
	}
	return e.now.Mono-e.leaderContact.Mono < messenger.MinElectionTimeout
}

// receiveVoteAnswer handles the response to a vote request.
func (e *Elector) receiveVoteAnswer(message Message, answer VoteAnswer) {
	if message.Term > e.hardState.Term && !answer.Granted {
		deadline := e.deadline
		e.becomeFollower(message.Term, "")
		e.deadline = min(deadline, e.now.Mono+preVoteTimeoutMax)
		return
	}
	if !answer.Granted || answer.Pre != (e.role == PreCandidate) {
		return
	}
	e.countVote(message.From, answer.Term)
}

// countVote counts a vote for this replica in the term. With enough votes, a
// pre-candidate becomes a candidate and a candidate becomes the leader.
func (e *Elector) countVote(voter string, term uint64) {
	switch {
	case e.role == PreCandidate && term == e.hardState.Term+1:
	case e.role == Candidate && term == e.hardState.Term:
	default:
		return
	}
	e.votes[voter] = true
	if !e.isElected() {
		return
	}
	if e.role == PreCandidate {
		e.campaign(false)
		return
	}
	e.becomeLeader()
}

// isElected reports whether this replica has the votes of a quorum. With an empty log it needs
// the votes of all founding members instead: otherwise a majority of wiped replicas could form a
// second group.
func (e *Elector) isElected() bool {
	voted := func(name string) bool { return e.votes[name] }
	if e.log.last() > 0 {
		return e.hasQuorum(voted)
	}
	return !slices.ContainsFunc(e.group().Members, func(m Member) bool { return !voted(m.Name) })
}

// receiveCampaign starts an election at the request of the leader.
func (e *Elector) receiveCampaign(message Message) {
	if message.Term != e.hardState.Term || message.From != e.leader || !e.group().Has(e.config.Name) {
		return
	}
	e.forcedCampaign = true
	e.campaign(false)
	e.forcedCampaign = false
}
