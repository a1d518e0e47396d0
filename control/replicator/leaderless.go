package replicator

import (
	"fmt"
	"slices"
	"time"

	"marigoldhill/control/elector"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/timer"
)

// leaderlessInterval is the time without a leader after which a replica logs what it knows
// about the others, and the time between two such lines.
const leaderlessInterval = time.Second

// leaderless is what a replica knows about the others while it has no leader. It is accessed
// by the control goroutine only.
type leaderless struct {
	// since is when the leader was last known, loggedAt when the last line was logged.
	since    timer.Instant
	loggedAt timer.Instant
	// heard is when the last message of each replica arrived.
	heard map[string]timer.Instant
	// refused counts the messages refused since the leader was last known, by sender and reason.
	refused map[string]int
}

func newLeaderless(now timer.Instant) leaderless {
	return leaderless{since: now, loggedAt: now, heard: make(map[string]timer.Instant), refused: make(map[string]int)}
}

// recordMessage records a message of another replica and the reasons for which it was refused.
func (l *leaderless) recordMessage(now timer.Instant, from string, refusals []elector.Refusal) {
	l.heard[from] = now
	for _, reason := range refusals {
		l.refused[fmt.Sprintf("%s from %s", reason, from)]++
	}
}

// isDue reports whether a line is due.
func (l *leaderless) isDue(now timer.Instant, status elector.Status) bool {
	if status.Leader.Name != "" {
		l.since, l.loggedAt = now, now
		clear(l.refused)
		return false
	}
	if now.SinceMonotonic(l.loggedAt) < leaderlessInterval {
		return false
	}
	l.loggedAt = now
	return true
}

// logLeaderless logs why there may be no leader: the members, when each was last heard of,
// which have lost their disks, the votes of the last election, the messages refused, and the age of the oldest write.
func (r *Replica) logLeaderless(now timer.Instant) {
	l := &r.leaderless
	if !l.isDue(now, r.status) {
		return
	}
	writing := time.Duration(0)
	if r.writer.busy {
		writing = now.SinceMonotonic(r.writer.startedAt)
	}
	r.options.Log.Emit(logger.LeaderAbsent, "for", now.SinceMonotonic(l.since), "term", r.status.Term, "last", r.status.Last,
		"commit", r.status.Commit, "members", l.describeMembers(now, r.status), "lost", r.status.Lost, "votes", r.status.Votes,
		"refused", l.refused, "writing", writing)
}

// describeMembers returns the name of each member with the time since its last message.
func (l *leaderless) describeMembers(now timer.Instant, status elector.Status) []string {
	var described []string
	for _, member := range status.Group.Members {
		at, ok := l.heard[member.Name]
		if !ok {
			described = append(described, member.Name+" never")
			continue
		}
		described = append(described, fmt.Sprintf("%s %v", member.Name, now.SinceMonotonic(at).Truncate(time.Millisecond)))
	}
	slices.Sort(described)
	return described
}
