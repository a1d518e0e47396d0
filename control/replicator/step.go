package replicator

import (
	"marigoldhill/control/elector"
	"marigoldhill/control/journaler"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/timer"
)

// step steps the elector and carries out the effects.
func (r *Replica) step(event elector.Event) {
	if r.ctx.Err() != nil {
		return
	}
	effects := r.core.Step(timer.Now(), event)
	before := r.view
	r.view = r.core.View()
	r.counters.count(effects.Refusals)
	if effects.Fatal != nil {
		r.fail(effects.Fatal)
		return
	}
	r.send(effects.Before)
	r.store(effects)
	if !r.install(effects) {
		return
	}
	r.settle(effects.Proposed)
	r.apply(effects.Committed)
	r.notice(before)
	r.snapshotIfDue()
}

// store queues the writes of a step, and the messages that wait for them.
func (r *Replica) store(effects elector.Effects) {
	r.writer.enqueue(journaler.Write{
		Snapshot: effects.Snapshot,
		Install:  effects.Install,
		Tail:     effects.Tail,
		Save:     effects.Save,
		Entries:  effects.Append,
	}, effects.Write)
	r.send(r.writer.hold(effects.After, effects.Write))
}

// written takes note of a finished write.
func (r *Replica) written(result writeResult) {
	if result.err != nil {
		r.fail(result.err)
		return
	}
	r.counters.syncs.Inc()
	r.send(r.writer.finished(result.number))
	r.step(elector.Synced{Write: result.number})
}

// install restores the machine from a snapshot of the leader.
func (r *Replica) install(effects elector.Effects) bool {
	if !effects.Install {
		return true
	}
	snapshot := effects.Snapshot
	if err := r.options.Machine.Restore(snapshot.Index, snapshot.Data); err != nil {
		r.fail(Error.New("restoring the snapshot at %d: %w", snapshot.Index, err))
		return false
	}
	r.applied = snapshot.Index
	r.entries = 0
	r.bytes = 0
	r.counters.installs.Inc()
	r.options.Log.Emit(logger.SnapshotInstalled, "index", snapshot.Index, "bytes", len(snapshot.Data))
	return true
}

// settle notes at which index proposals stand, or answers those that were not
// accepted.
func (r *Replica) settle(proposed []elector.Proposed) {
	for _, p := range proposed {
		if p.Err != nil {
			r.counters.rejected(p.Err)
		}
		r.waiters.settle(p)
	}
}

// apply applies committed entries in order.
func (r *Replica) apply(entries []elector.Entry) {
	for _, entry := range entries {
		var result any
		if entry.Kind == elector.EntryCommand {
			result = r.options.Machine.Apply(entry.Index, entry.Data)
		}
		r.applied = entry.Index
		r.entries++
		r.bytes += len(entry.Data)
		r.waiters.applied(entry, result)
	}
}

// notice logs changes of leadership and answers those whose proposals may be
// lost with it.
func (r *Replica) notice(before elector.View) {
	if before.Role == elector.Leader && (r.view.Role != elector.Leader || r.view.Term != before.Term) {
		r.waiters.failPlaced(Error.New("%w: leadership was lost", ErrUnknownResult))
		r.options.Log.Emit(logger.LeaderLost, "term", before.Term)
	}
	if before.Role != elector.Leader && r.view.Role == elector.Leader {
		r.counters.elections.Inc()
		r.options.Log.Emit(logger.LeaderElected, "term", r.view.Term)
	}
}

// snapshotIfDue takes a snapshot of the machine when enough was applied since
// the last one.
func (r *Replica) snapshotIfDue() {
	if r.entries < r.options.SnapshotEntries && r.bytes < SnapshotBytes {
		return
	}
	r.entries = 0
	r.bytes = 0
	data, err := r.options.Machine.Snapshot()
	if err != nil {
		r.fail(Error.New("taking a snapshot at %d: %w", r.applied, err))
		return
	}
	r.counters.snapshots.Inc()
	r.step(elector.Compact{Index: r.applied, Data: data})
}

// standingAt is the standing at now.
func (r *Replica) standingAt(now timer.Instant) Standing {
	view := r.view
	standing := Standing{
		Name:      r.options.Member.Name,
		Leading:   view.Leading,
		Confirmed: r.core.Confirmed(now),
		Since:     view.Since,
		Term:      view.Term,
		Leader:    view.Leader,
		Commit:    view.Commit,
		Applied:   r.applied,
		Members:   view.Group.Plain(),
	}
	if view.Role != elector.Leader {
		return standing
	}
	standing.Progress = make(map[string]Progress, len(view.Peers)+1)
	standing.Progress[standing.Name] = Progress{Match: view.Last, Heard: now}
	for _, peer := range view.Peers {
		standing.Progress[peer.Name] = Progress{Match: peer.Match, Heard: peer.Heard}
	}
	return standing
}

// publish makes the standing visible to other goroutines.
func (r *Replica) publish(now timer.Instant) {
	r.view = r.core.View()
	latest := &published{standing: r.standingAt(now)}
	if latest.standing.Leading {
		latest.quorum = r.core.Quorum(now)
	}
	r.standing.Store(latest)
}
