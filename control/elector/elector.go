// Package elector implements the Raft consensus of the control group: leader
// election, log replication and membership changes.
//
// The package does no I/O and reads no clock. [Elector.Step] handles one event
// at a given time and returns its effects: what to write and sync, which
// messages to send before and after the sync, and which entries are committed.
// The algorithm is Raft with pre-vote, check-quorum, votes withheld while a
// leader is active, membership changes of one member at a time, and leadership
// transfer. A quorum is a majority, and more members than disks that may be lost, or all
// members but a few that have lost their disks; docs/design/lost-disks.md.
//
// Timeouts use the monotonic clock, which never runs ahead of real time, so a
// step of the wall clock cannot end the time for which a follower withholds its
// vote. The leader measures the age of its own confirmation by the larger
// elapsed time of both clocks.
//
// # Usage
//
//	core := elector.New(config, stored, timer.Now())
//	effects := core.Step(timer.Now(), elector.Tick{})
//	// send effects.MessagesBeforeSync; write and sync effects.Save, effects.Append and
//	// effects.Snapshot; then send effects.MessagesAfterSync and report the sync:
//	effects = core.Step(timer.Now(), elector.Synced{Write: effects.Write})
package elector

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("elector")

// Errors with which proposals are rejected, returned in [Proposed].
var (
	// ErrNotLeader means that this replica is not the leader, or has not
	// committed an entry of its term yet. Nothing was proposed.
	ErrNotLeader = errs.New("this replica is not the leader")
	// ErrBusy means that another membership change or a leadership transfer is
	// in progress.
	ErrBusy = errs.New("another membership change or leadership transfer is in progress")
	// ErrInvalidMember means that the member to add exists already, or that the member
	// to remove or to transfer leadership to does not exist or is the leader.
	ErrInvalidMember = errs.New("member exists already, does not exist, or is the leader")
	// ErrTransferTimeout means that the leadership transfer timed out.
	ErrTransferTimeout = errs.New("leadership transfer timed out")
	// ErrCatchUpTimeout means that a new member did not catch up with the log in time.
	ErrCatchUpTimeout = errs.New("new member did not catch up with the log in time")
	// ErrTooFewMembers means that the group would have no more members than disks that
	// may be lost.
	ErrTooFewMembers = errs.New("group would have too few members to outlive lost disks")
	// ErrAdditionCanceled means that the addition of a new member was given up.
	ErrAdditionCanceled = errs.New("addition of the new member was given up")
	// ErrIncarnationMismatch means that the group has another incarnation on record for
	// the name of this replica: its data directory is new or was wiped.
	ErrIncarnationMismatch = errs.New("the group has another incarnation on record for this replica")
)

const (
	// ConfirmationTimeout is how long the response of a follower confirms the leader. It
	// is shorter than the time for which followers withhold votes, to allow for
	// clock drift.
	ConfirmationTimeout = messenger.MinElectionTimeout - 20*time.Millisecond
	// CatchUpTimeout is how long a new member may go without progress while it
	// catches up.
	CatchUpTimeout = 5 * time.Second
	// preVoteTimeoutMin and preVoteTimeoutMax bound the random time after which
	// a pre-candidate requests pre-votes again.
	preVoteTimeoutMin = 30 * time.Millisecond
	preVoteTimeoutMax = 120 * time.Millisecond
	// voteTimeoutMin and voteTimeoutMax bound the random time that a candidate
	// waits for votes.
	voteTimeoutMin = 100 * time.Millisecond
	voteTimeoutMax = 200 * time.Millisecond
	// maxAppendBytes limits the entries of one message. The first entry is sent
	// whatever its size.
	maxAppendBytes = 512 << 10
	// maxInflightEntries limits the entries sent to a follower but not
	// acknowledged yet.
	maxInflightEntries = 8192
	// ChunkBytes is the size of a snapshot chunk.
	ChunkBytes = 256 << 10
	// maxJoinLagEntries is how many entries a new member may still lack when it
	// is added.
	maxJoinLagEntries = 64
)

// Role is the role of a replica in its term.
type Role uint8

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Config is the configuration of an Elector.
type Config struct {
	Name        string
	Incarnation uint64
	// Join is set for a replica that waits to be added to an existing group.
	Join bool
	// TrailingEntries is how many entries covered by a snapshot stay in the log,
	// so that a follower that lags slightly needs no snapshot.
	TrailingEntries uint64
	// ToleratedLosses is the number of disks that may be lost at once. Entries are committed
	// only on more disks.
	ToleratedLosses int
	Rand            *rand.Rand
}

// Elector is the Raft state of one replica. Its methods must be called from one
// goroutine.
type Elector struct {
	config    Config
	role      Role
	hardState HardState
	log       entryLog
	groups    []groupVersion
	// snapshot is the newest snapshot, as it is sent to followers.
	snapshot *Snapshot

	leader string
	commit uint64
	// leaderContact is the time of the last message from a leader, or of the
	// start of this replica.
	leaderContact timer.Instant
	// deadline is when the wait for a leader or for votes ends, on the
	// monotonic clock.
	deadline         time.Duration
	seenIncarnations map[string]uint64
	// lost are the members of the groups in force that have lost their disks.
	lost map[string]bool

	lastWrite     uint64
	pendingWrites []pendingWrite
	// syncedIndex is the highest log index synced by this replica.
	syncedIndex uint64
	incoming    *incomingSnapshot

	votes map[string]bool
	// voteWrite is the number of the write with the vote of a candidate for itself.
	voteWrite uint64
	// campaignStart is when votes were requested, on the monotonic clock.
	campaignStart  time.Duration
	forcedCampaign bool
	// preVoteAttempts counts the pre-vote rounds since the last contact with a
	// leader.
	preVoteAttempts int

	leaderSince timer.Instant
	// committedInTerm is set once the leader has committed an entry of its term.
	committedInTerm bool
	peers           map[string]*peer
	nextHeartbeat   time.Duration
	change          *change
	transfer        *transfer
	// deferred are the events that wait for the end of a change that the leader
	// started itself.
	deferred []Event

	now     timer.Instant
	effects *Effects
}

// New returns an Elector that starts from the stored state.
func New(config Config, stored Stored, now timer.Instant) *Elector {
	e := &Elector{
		config:           config,
		hardState:        stored.Hard,
		groups:           []groupVersion{{group: stored.Founders}},
		leaderContact:    now,
		now:              now,
		seenIncarnations: map[string]uint64{config.Name: config.Incarnation},
		lost:             make(map[string]bool),
	}
	if stored.Snapshot != nil {
		e.snapshot = stored.Snapshot
		e.snapshot.Sum = xxhash.Sum64(stored.Snapshot.Data)
		e.commit = stored.Snapshot.Index
		e.log.reset(stored.Snapshot.Index, stored.Snapshot.Term)
		e.groups = []groupVersion{{index: stored.Snapshot.Index, group: stored.Snapshot.Group}}
	}
	e.restoreEntries(stored.Entries)
	e.syncedIndex = e.log.last()
	e.resetElectionTimeout()
	return e
}

// restoreEntries loads the stored entries into the log. Those up to the
// snapshot are kept for followers that lag slightly.
func (e *Elector) restoreEntries(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0]
	if e.snapshot == nil || first.Index > e.snapshot.Index {
		e.log.append(entries)
	} else {
		// The term of the entry before the first stored one is unknown, so the
		// first one serves only as the anchor.
		e.log.reset(first.Index, first.Term)
		e.log.append(entries[1:])
	}
	for _, entry := range entries {
		if entry.Kind == EntryGroup && entry.Index > e.groups[0].index {
			e.groups = append(e.groups, groupVersion{index: entry.Index, group: decodeGroup(entry.Data)})
		}
	}
}

// Step handles one event and returns its effects.
func (e *Elector) Step(now timer.Instant, event Event) Effects {
	e.now = now
	e.effects = &Effects{}
	e.handle(event)
	return e.finish()
}

func (e *Elector) handle(event Event) {
	switch event := event.(type) {
	case Tick:
		e.tick()
	case Received:
		e.receive(event.Message)
	case Synced:
		e.handleSynced(event.Write)
	case Propose:
		e.propose(event)
	case Compact:
		e.compact(event)
	case AddMember:
		e.addMember(event)
	case CancelAddition:
		e.cancelAddition(event)
	case RemoveMember:
		e.removeMember(event)
	case Transfer:
		e.startTransfer(event)
	case MemberPresent:
		e.recordPresence(event.Name)
	case DiskLost:
		e.recordLostDisk(event.Name)
	}
}

// finish numbers the write of this step, if there is one, and returns the
// effects.
func (e *Elector) finish() Effects {
	effects := e.effects
	if effects.Save != nil || len(effects.Append) > 0 || effects.Snapshot != nil {
		e.lastWrite++
		e.pendingWrites = append(e.pendingWrites, pendingWrite{number: e.lastWrite, index: e.log.last(), term: e.log.lastTerm()})
	}
	effects.Write = e.lastWrite
	return *effects
}

// tick checks the timeouts.
func (e *Elector) tick() {
	if e.role == Leader {
		e.tickLeader()
		return
	}
	if e.now.Mono < e.deadline {
		return
	}
	if !e.group().Has(e.config.Name) || e.withholdsVote(Vote{}) {
		e.resetElectionTimeout()
		return
	}
	if e.role == Candidate && !e.votes[e.config.Name] {
		return // its own vote is not synced yet
	}
	e.campaign(true)
}

// resetElectionTimeout starts a new randomized election timeout.
func (e *Elector) resetElectionTimeout() {
	e.deadline = e.now.Mono + e.randomBetween(messenger.MinElectionTimeout, messenger.MaxElectionTimeout)
}

// randomBetween returns a random time of at least shortest and less than
// longest.
func (e *Elector) randomBetween(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(e.config.Rand.Int64N(int64(longest-shortest)))
}

// becomeFollower makes this replica a follower in the term. The leader is empty
// if it is unknown.
func (e *Elector) becomeFollower(term uint64, leader string) {
	if term > e.hardState.Term {
		e.hardState = HardState{Term: term}
		e.saveHardState()
	}
	if e.role == Leader {
		e.endLeadership()
	}
	if e.role != Follower || e.leader != leader {
		e.resetElectionTimeout()
	}
	e.role = Follower
	e.leader = leader
	e.votes = nil
}

func (e *Elector) saveHardState() {
	hardState := e.hardState
	e.effects.Save = &hardState
}

// send queues a message that may be sent before the writes are synced.
func (e *Elector) send(to string, body Message) {
	e.effects.MessagesBeforeSync = append(e.effects.MessagesBeforeSync, e.addressed(to, body))
}

// sendSynced queues a message that may be sent only after all writes so far are
// synced.
func (e *Elector) sendSynced(to string, body Message) {
	e.effects.MessagesAfterSync = append(e.effects.MessagesAfterSync, e.addressed(to, body))
}

func (e *Elector) addressed(to string, body Message) Message {
	body.From = e.config.Name
	body.FromIncarnation = e.config.Incarnation
	body.To = to
	body.ToIncarnation = e.expectedIncarnation(to)
	body.Term = e.hardState.Term
	return body
}

func (e *Elector) addRefusal(reason Refusal) {
	e.effects.Refusals = append(e.effects.Refusals, reason)
}

// handleSynced records that all writes up to number are synced.
func (e *Elector) handleSynced(number uint64) {
	for len(e.pendingWrites) > 0 && e.pendingWrites[0].number <= number {
		write := e.pendingWrites[0]
		e.pendingWrites = e.pendingWrites[1:]
		if term, ok := e.log.term(write.index); ok && term == write.term {
			e.syncedIndex = max(e.syncedIndex, write.index)
		}
	}
	switch e.role {
	case Candidate:
		e.countOwnVote(number)
	case Leader:
		e.advanceCommit()
	}
}

// commitTo raises the commit index and adds the newly committed entries to the
// effects.
func (e *Elector) commitTo(index uint64) {
	index = min(index, e.log.last())
	if index <= e.commit {
		return
	}
	e.effects.Committed = append(e.effects.Committed, e.log.slice(e.commit+1, index)...)
	e.commit = index
}
