package replicator

import (
	"marigoldhill/control/elector"
	"marigoldhill/control/journaler"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/timer"
)

// step steps the elector and carries out its effects. It returns why a message was refused.
func (r *Replica) step(event elector.Event) []elector.Refusal {
	if r.ctx.Err() != nil {
		return nil
	}
	effects := r.consensus.Step(timer.Now(), event)
	previous := r.status
	r.status = r.consensus.Status()
	r.counters.countRefusals(effects.Refusals)
	if effects.Fatal != nil {
		r.fail(effects.Fatal)
		return effects.Refusals
	}
	r.send(effects.MessagesBeforeSync)
	r.store(effects)
	if !r.install(effects) {
		return effects.Refusals
	}
	r.handleProposed(effects.Proposed)
	r.apply(effects.Committed)
	r.handleLeadershipChange(previous)
	r.snapshotIfDue()
	return effects.Refusals
}

// store queues the writes of a step and defers the messages that depend on them.
func (r *Replica) store(effects elector.Effects) {
	r.writer.enqueue(journaler.Write{
		Snapshot:        effects.Snapshot,
		Install:         effects.Install,
		TrailingEntries: effects.TrailingEntries,
		Save:            effects.Save,
		Entries:         effects.Append,
	}, effects.Write)
	r.send(r.writer.deferUntilSynced(effects.MessagesAfterSync, effects.Write))
}

// handleWriteResult reports a finished write to the elector and sends the messages
// that were deferred until it. A failed write stops the replica.
func (r *Replica) handleWriteResult(result writeResult) {
	if result.err != nil {
		r.fail(result.err)
		return
	}
	if r.diskFull.Swap(false) {
		r.options.Log.Emit(logger.DiskWritable)
	}
	r.counters.syncs.Inc()
	r.send(r.writer.completeWrite(result.number))
	r.step(elector.Synced{Write: result.number})
}

// install restores the machine from a snapshot sent by the leader. It reports
// whether the step may continue.
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
	r.snapshotBytes = len(snapshot.Data)
	r.counters.installs.Inc()
	r.options.Log.Emit(logger.SnapshotInstalled, "index", snapshot.Index, "bytes", len(snapshot.Data))
	return true
}

// handleProposed maps accepted proposals to their log index and fails those that
// were not accepted.
func (r *Replica) handleProposed(proposed []elector.Proposed) {
	for _, p := range proposed {
		if p.Err != nil {
			r.counters.countRejection(p.Err)
		}
		r.waiters.handleProposed(p)
	}
}

// apply applies committed entries in order and completes their waiters.
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

// handleLeadershipChange logs the gain or loss of leadership. On a loss it fails the
// waiters of appended proposals, whose result is then unknown.
func (r *Replica) handleLeadershipChange(previous elector.Status) {
	if previous.Role == elector.Leader && (r.status.Role != elector.Leader || r.status.Term != previous.Term) {
		r.waiters.failAppended(Error.New("%w: leadership was lost", ErrUnknownResult))
		r.options.Log.Emit(logger.LeaderLost, "term", previous.Term)
	}
	if previous.Role != elector.Leader && r.status.Role == elector.Leader {
		r.counters.elections.Inc()
		r.options.Log.Emit(logger.LeaderElected, "term", r.status.Term)
	}
}

// snapshotIfDue takes a snapshot of the machine once enough entries or bytes have
// been applied since the last one.
func (r *Replica) snapshotIfDue() {
	if r.entries < r.options.SnapshotEntries && r.bytes < SnapshotBytes {
		return
	}
	r.takeSnapshot()
}

// snapshotForJoiner takes a snapshot before a joiner catches up, if it is smaller than the
// entries that the joiner would get instead.
func (r *Replica) snapshotForJoiner() {
	if r.bytes >= max(r.snapshotBytes, elector.ChunkBytes) {
		r.takeSnapshot()
	}
}

func (r *Replica) takeSnapshot() {
	r.entries = 0
	r.bytes = 0
	data, err := r.options.Machine.Snapshot()
	if err != nil {
		r.fail(Error.New("taking a snapshot at %d: %w", r.applied, err))
		return
	}
	r.snapshotBytes = len(data)
	r.counters.snapshots.Inc()
	r.step(elector.Compact{Index: r.applied, Data: data})
}

// raftStatusAt returns the status at a given time.
func (r *Replica) raftStatusAt(now timer.Instant) RaftStatus {
	status := r.status
	raftStatus := RaftStatus{
		Name:      r.options.Member.Name,
		Leading:   status.Leading,
		Confirmed: r.consensus.Confirmed(now),
		Since:     status.Since,
		Term:      status.Term,
		Leader:    status.Leader,
		Commit:    status.Commit,
		Applied:   r.applied,
		Members:   status.Group.MessengerMembers(),
		Lost:      status.Lost,
		InForce:   elector.Group{Members: status.InForce}.MessengerMembers(),
	}
	if status.Role != elector.Leader {
		return raftStatus
	}
	raftStatus.Progress = make(map[string]Progress, len(status.Peers)+1)
	raftStatus.Progress[raftStatus.Name] = Progress{Match: status.Last, LastContact: now}
	for _, peer := range status.Peers {
		raftStatus.Progress[peer.Name] = Progress{Match: peer.Match, LastContact: peer.LastContact, Outdated: r.outdated[peer.Name]}
	}
	return raftStatus
}

// publish makes the current status visible to other goroutines.
func (r *Replica) publish(now timer.Instant) {
	r.status = r.consensus.Status()
	current := &publishedRaftStatus{raftStatus: r.raftStatusAt(now)}
	if current.raftStatus.Leading {
		current.confirmedAt = r.consensus.LastQuorumContact(now)
	}
	r.raftStatus.Store(current)
}
