// Package elector is the consensus of the control group: it elects a leader,
// replicates a log of entries and changes the group of members.
//
// The package does no I/O and reads no clock. [Elector.Step] takes one event
// with the time and returns effects: what to write and sync, which messages to
// send before and after the sync, which entries are committed. The algorithm is
// Raft with pre-vote, check-quorum, votes withheld after a leader was heard,
// change of one member at a time, and transfer of leadership.
//
// Timers run on the monotonic clock, which never runs ahead of real time, so a
// step of the wall clock shortens no follower's promise to withhold its vote. The
// leader judges its own confirmation by the larger elapsed time of both clocks.
//
// # Usage
//
//	core := elector.New(config, stored, timer.Now())
//	effects := core.Step(timer.Now(), elector.Tick{})
//	// send effects.Before; write and sync effects.Save, effects.Append and
//	// effects.Snapshot; then send effects.After and report the sync:
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

// Errors of proposals; they come in [Proposed].
var (
	// ErrNotLeader means that this replica does not lead, or has not committed
	// an entry of its term yet: nothing was proposed.
	ErrNotLeader = errs.New("this replica does not lead")
	// ErrBusy means that another change of members or a transfer of leadership
	// is under way.
	ErrBusy = errs.New("another change of the group is under way")
	// ErrMember means that the name is already, or not, that of a member.
	ErrMember = errs.New("change does not fit the members")
	// ErrTransfer means that leadership could not be transferred in time.
	ErrTransfer = errs.New("leadership was not transferred")
	// ErrCatchUp means that a new member did not catch up in time.
	ErrCatchUp = errs.New("new member did not catch up")
	// ErrStranger means that the group knows this replica under another
	// identity: its data folder is new or was wiped.
	ErrStranger = errs.New("the group knows this replica under another identity")
)

const (
	// ConfirmTime is how long an answer of a follower confirms the leader. It
	// is shorter than the time for which followers withhold votes, so that
	// clocks may drift apart.
	ConfirmTime = messenger.ElectionTimeMin - 20*time.Millisecond
	// CatchUpTime is how long a new member may take to catch up without any
	// progress.
	CatchUpTime = 5 * time.Second
	// preRetryMin and preRetryMax bound the random wait before a candidate asks
	// again whether it would get votes.
	preRetryMin = 30 * time.Millisecond
	preRetryMax = 120 * time.Millisecond
	// retryMin and retryMax bound the random wait for votes.
	retryMin = 100 * time.Millisecond
	retryMax = 200 * time.Millisecond
	// maxAppendBytes bounds the entries of one message, but for the first.
	maxAppendBytes = 512 << 10
	// maxInflight is how many entries may be sent ahead of their answers.
	maxInflight = 8192
	// ChunkBytes is the size of the parts in which a snapshot is sent.
	ChunkBytes = 256 << 10
	// caughtUp is how many entries a new member may lack when it is added.
	caughtUp = 64
)

// Role is the role of a replica in its term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Config names a replica and hands in its source of randomness.
type Config struct {
	Name        string
	Incarnation uint64
	// Join says that the replica waits to be added to a group.
	Join bool
	// Tail is how many entries stay in the log behind a snapshot, so that a
	// follower that is a little behind needs no snapshot.
	Tail uint64
	Rand *rand.Rand
}

// Elector is the state of one replica. Its methods must be called from one
// goroutine.
type Elector struct {
	config Config
	role   Role
	hard   HardState
	log    entryLog
	groups []groupAt
	// snapshot is the newest one, as it is sent to followers.
	snapshot *Snapshot

	leader string
	commit uint64
	// heard is when a leader was last heard, or when this replica started.
	heard timer.Instant
	// deadline ends the wait for a leader or for votes, on the monotonic clock.
	deadline time.Duration
	seen     map[string]uint64

	writes   uint64
	pending  []pendingWrite
	stable   uint64
	incoming *assembly

	votes     map[string]bool
	voteWrite uint64
	// asked is when the votes were asked for, on the monotonic clock.
	asked  time.Duration
	forced bool
	// attempts counts how often votes were asked for since a leader was heard.
	attempts int

	since    timer.Instant
	ready    bool
	peers    map[string]*peer
	beat     time.Duration
	change   *change
	transfer *transfer
	// deferred waits for the end of a change that the leader started itself.
	deferred []Event

	now timer.Instant
	out *Effects
}

// New returns the Elector of a replica that starts with what it has stored.
func New(config Config, stored Stored, now timer.Instant) *Elector {
	e := &Elector{
		config: config,
		hard:   stored.Hard,
		groups: []groupAt{{group: stored.Founders}},
		heard:  now,
		now:    now,
		seen:   map[string]uint64{config.Name: config.Incarnation},
	}
	if stored.Snapshot != nil {
		e.snapshot = stored.Snapshot
		e.snapshot.Sum = xxhash.Sum64(stored.Snapshot.Data)
		e.commit = stored.Snapshot.Index
		e.log.reset(stored.Snapshot.Index, stored.Snapshot.Term)
		e.groups = []groupAt{{index: stored.Snapshot.Index, group: stored.Snapshot.Group}}
	}
	e.restoreEntries(stored.Entries)
	e.stable = e.log.last()
	e.waitForLeader()
	return e
}

// restoreEntries puts the stored entries into the log. Those up to the snapshot
// stay as a tail for followers that are a little behind.
func (e *Elector) restoreEntries(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0]
	if e.snapshot == nil || first.Index > e.snapshot.Index {
		e.log.append(entries)
	} else {
		// The term before the tail is not known, so the first entry is only an
		// anchor.
		e.log.reset(first.Index, first.Term)
		e.log.append(entries[1:])
	}
	for _, entry := range entries {
		if entry.Kind == EntryGroup && entry.Index > e.groups[0].index {
			e.groups = append(e.groups, groupAt{index: entry.Index, group: decodeGroup(entry.Data)})
		}
	}
}

// Step takes one event and returns its effects.
func (e *Elector) Step(now timer.Instant, event Event) Effects {
	e.now = now
	e.out = &Effects{}
	e.take(event)
	return e.finish()
}

func (e *Elector) take(event Event) {
	switch event := event.(type) {
	case Tick:
		e.tick()
	case Received:
		e.receive(event.Message)
	case Synced:
		e.synced(event.Write)
	case Propose:
		e.propose(event)
	case Compact:
		e.compact(event)
	case AddMember:
		e.addMember(event)
	case RemoveMember:
		e.removeMember(event)
	case Transfer:
		e.startTransfer(event)
	}
}

// finish numbers the write of this step and collects the committed entries.
func (e *Elector) finish() Effects {
	out := e.out
	if out.Save != nil || len(out.Append) > 0 || out.Snapshot != nil {
		e.writes++
		e.pending = append(e.pending, pendingWrite{number: e.writes, index: e.log.last(), term: e.log.lastTerm()})
	}
	out.Write = e.writes
	return *out
}

// tick lets time pass.
func (e *Elector) tick() {
	if e.role == Leader {
		e.tickLeader()
		return
	}
	if e.now.Mono < e.deadline {
		return
	}
	if !e.group().Has(e.config.Name) || e.withholds(Vote{}) {
		e.waitForLeader()
		return
	}
	if e.role == Candidate && !e.votes[e.config.Name] {
		return // its own vote is not synced yet
	}
	e.campaign(true)
}

// waitForLeader starts a new randomised election time-out.
func (e *Elector) waitForLeader() {
	e.deadline = e.now.Mono + e.between(messenger.ElectionTimeMin, messenger.ElectionTimeMax)
}

// between is a random time from shortest to longest.
func (e *Elector) between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(e.config.Rand.Int64N(int64(longest-shortest)))
}

// follow makes this replica a follower in term; leader may be empty.
func (e *Elector) follow(term uint64, leader string) {
	if term > e.hard.Term {
		e.hard = HardState{Term: term}
		e.save()
	}
	if e.role == Leader {
		e.abandon()
	}
	if e.role != Follower || e.leader != leader {
		e.waitForLeader()
	}
	e.role = Follower
	e.leader = leader
	e.votes = nil
}

func (e *Elector) save() {
	hard := e.hard
	e.out.Save = &hard
}

// send sends a message at once.
func (e *Elector) send(to string, body Message) {
	e.out.Before = append(e.out.Before, e.address(to, body))
}

// sendSynced sends a message after all writes so far were synced.
func (e *Elector) sendSynced(to string, body Message) {
	e.out.After = append(e.out.After, e.address(to, body))
}

func (e *Elector) address(to string, body Message) Message {
	body.From = e.config.Name
	body.FromIncarnation = e.config.Incarnation
	body.To = to
	body.ToIncarnation = e.expected(to)
	body.Term = e.hard.Term
	return body
}

func (e *Elector) refuse(reason Refusal) {
	e.out.Refusals = append(e.out.Refusals, reason)
}

// synced takes note that all writes up to number are on the disk.
func (e *Elector) synced(number uint64) {
	for len(e.pending) > 0 && e.pending[0].number <= number {
		write := e.pending[0]
		e.pending = e.pending[1:]
		if term, ok := e.log.term(write.index); ok && term == write.term {
			e.stable = max(e.stable, write.index)
		}
	}
	switch e.role {
	case Candidate:
		e.countOwnVote(number)
	case Leader:
		e.advance()
	}
}

// commitTo raises the commit index and hands the entries out.
func (e *Elector) commitTo(index uint64) {
	index = min(index, e.log.last())
	if index <= e.commit {
		return
	}
	e.out.Committed = append(e.out.Committed, e.log.slice(e.commit+1, index)...)
	e.commit = index
}
