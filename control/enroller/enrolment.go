package enroller

import (
	"context"
	"time"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// enrolment is the enrolment of one replica.
type enrolment struct {
	joiner messenger.Member
	// term is the term of the leader that enrols it.
	term uint64
	// requestedAt is when the joiner last sent a request.
	requestedAt time.Time
	cancel      context.CancelFunc
	done        chan struct{}
}

// isGone reports whether the joiner of the enrolment is gone at an instant, at which another
// one sends a request.
func (n *enrolment) isGone(now time.Time, other messenger.Member) bool {
	return n.joiner.Address == other.Address || now.Sub(n.requestedAt) >= joinerTimeout
}

// isUnreachable reports whether a joiner has not responded to this leader for joinerTimeout. It may
// ask to join before it is ready.
func (e *Enroller) isUnreachable(joiner messenger.Member) bool {
	progress, ok := e.options.Replica.RaftStatus().Progress[joiner.Name]
	return ok && timer.Now().SinceMonotonic(progress.LastContact) >= joinerTimeout
}

// hasLostMember reports whether a member that has lost its disk is to be removed. That does not wait
// for another joiner to catch up.
func (e *Enroller) hasLostMember(joiner messenger.Member) bool {
	group := e.group()
	return len(group.Members) > group.MinSize && lostMember(group, joiner) != ""
}

// startEnrolment starts the enrolment of a joiner unless another one is in progress whose
// joiner is not gone. Another one gives way to the removal of a lost disk.
func (e *Enroller) startEnrolment(ctx context.Context, term uint64, joiner messenger.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, previous := time.Now(), e.current
	if previous != nil && previous.joiner.Name == joiner.Name {
		previous.requestedAt = now
		return
	}
	if previous != nil && !previous.isGone(now, joiner) && !e.isUnreachable(previous.joiner) && !e.hasLostMember(joiner) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	next := &enrolment{joiner: joiner, term: term, requestedAt: now, cancel: cancel, done: make(chan struct{})}
	e.current = next
	go func() {
		defer cancel()
		if previous != nil {
			previous.cancel()
			<-previous.done
		}
		e.enrol(ctx, next)
		e.endEnrolment(next)
	}()
}

func (e *Enroller) endEnrolment(ended *enrolment) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current == ended {
		e.current = nil
	}
	close(ended.done)
}

// enrol makes membership changes until the joiner is a member or has to wait.
func (e *Enroller) enrol(ctx context.Context, current *enrolment) {
	go e.watchTerm(ctx, current)
	joiner := current.joiner
	for ctx.Err() == nil {
		group := e.group()
		step := NextStep(group, joiner)
		started := time.Now()
		if step.Remove != "" || step.Add {
			e.options.Log.Emit(logger.MemberChangeStarted, "remove", step.Remove, "add", step.Add, "joiner", joiner.Name,
				"members", group.names(), "silent", group.SinceContact)
		}
		var err error
		switch {
		case step.Remove != "":
			_, err = e.options.Replica.RemoveMember(ctx, step.Remove)
			e.options.Log.Emit(logger.MemberRemoved, "member", step.Remove, "joiner", joiner.Name, "after", time.Since(started), "error", err)
		case step.Add:
			_, err = e.options.Replica.AddMember(ctx, joiner)
			e.options.Log.Emit(logger.MemberAdded, "member", joiner.Name, "address", joiner.Address, "after", time.Since(started), "error", err)
			if err != nil {
				e.cancelAddition(joiner)
			}
		default:
			return
		}
		if err != nil {
			return
		}
		// The change shows in the next status of the replica.
		if !sleep(ctx, changeInterval) {
			return
		}
	}
}

// cancelAddition ends an addition that is still in progress, which would keep others out.
func (e *Enroller) cancelAddition(joiner messenger.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	// It fails only at a replica that stops, which gives up all changes.
	_ = e.options.Replica.CancelAddition(ctx, joiner.Name)
}

// watchTerm ends an enrolment when this replica no longer leads in its term. The outcome of a
// change may be unknown then, and nothing is to be waited for.
func (e *Enroller) watchTerm(ctx context.Context, current *enrolment) {
	for sleep(ctx, changeInterval) {
		if raftStatus := e.options.Replica.RaftStatus(); !raftStatus.Leading || raftStatus.Term != current.term {
			current.cancel()
			return
		}
	}
}
