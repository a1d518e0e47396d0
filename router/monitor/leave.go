package monitor

import (
	"context"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

const (
	// recordTimeout is how long a server waits until the control group has recorded that
	// it leaves. It is below the second after which a server gives up a call.
	recordTimeout = 900 * time.Millisecond
	// recordPollInterval is the time between two calls of Options.RequestUpdate meanwhile.
	recordPollInterval = 80 * time.Millisecond
	// lateWindow is how late an announcement may arrive.
	lateWindow = 30 * time.Second
)

// Record is what the control group has recorded of the backend server of this router.
type Record struct {
	// Row is nil if it has none.
	Row *messenger.ServerRow
	// Withdrawn is set if the start of Row has said that it leaves.
	Withdrawn bool
	// IsKept is false if the control group keeps no such record, as its version is older.
	IsKept bool
}

// withdrawal is the withdrawal of a server that has not announced itself to this process.
type withdrawal struct {
	// name is empty if the server did not give it.
	name       string
	receivedAt timer.Instant
}

// isCalled reports whether row is a server called name. An empty name is that of any.
func isCalled(row *messenger.ServerRow, name string) bool {
	return name == "" || row.Name == name
}

// covers reports whether an announcement comes from the start that was withdrawn: it arrives
// soon after the withdrawal, and that start began before it.
func (w *withdrawal) covers(now timer.Instant, row *messenger.ServerRow) bool {
	return w != nil && isCalled(row, w.name) && now.SinceMonotonic(w.receivedAt) < lateWindow &&
		row.Born <= w.receivedAt.Wall.Milliseconds()
}

// Withdraw marks the server called name as leaving and ignores further
// announcements of its current incarnation. An empty name is that of any server.
func (a *Monitor) Withdraw(now timer.Instant, name string) {
	a.mu.Lock()
	before := a.view.Load()
	if before.Row == nil && a.record.Row != nil && isCalled(a.record.Row, name) {
		a.withdrawnBorn = a.record.Row.Born
		a.publish(before, &View{State: messenger.ServerLeaving, Row: a.record.Row, LeavingSince: now})
		return
	}
	if before.Row == nil {
		a.early = &withdrawal{name: name, receivedAt: now}
		a.mu.Unlock()
		return
	}
	if !isCalled(before.Row, name) {
		a.mu.Unlock()
		return
	}
	a.withdrawnBorn = before.Row.Born
	after := *before
	after.State = messenger.ServerLeaving
	if before.State != messenger.ServerLeaving {
		after.LeavingSince = now
	}
	a.publish(before, &after)
}

// Leave marks a start of a server as leaving, as it said in a response. Unlike after
// Withdraw, its announcements still count.
func (a *Monitor) Leave(now timer.Instant, row *messenger.ServerRow) {
	a.mu.Lock()
	before := a.view.Load()
	if before.Row == nil || before.Row.Start() != row.Start() || before.State != messenger.ServerReady {
		a.mu.Unlock()
		return
	}
	after := *before
	after.State = messenger.ServerLeaving
	after.LeavingSince = now
	a.publish(before, &after)
}

// SetRecord takes over what the control group has recorded. A start that said to an earlier
// process of this router that it leaves goes on leaving.
func (a *Monitor) SetRecord(now timer.Instant, record Record) {
	a.mu.Lock()
	if record.Row == nil || record.Row.URL != a.options.Address {
		// A process that has received no announcement reports no server. What an earlier
		// one reported is still known.
		record.Row, record.Withdrawn = a.record.Row, a.record.Withdrawn
	}
	if record != a.record || !a.hasRecord {
		a.record, a.hasRecord = record, true
		close(a.recordChanged)
		a.recordChanged = make(chan struct{})
	}
	before := a.view.Load()
	withdrawn := record.Withdrawn
	if record.Row != nil && before.Row == nil && a.early.covers(now, record.Row) {
		a.withdrawnBorn = record.Row.Born
		withdrawn = true
	}
	if !withdrawn || !lacksLeave(before, record.Row) {
		a.mu.Unlock()
		return
	}
	after := &View{State: messenger.ServerLeaving, Row: record.Row, LeavingSince: now}
	if before.Row != nil && before.Row.Start() == record.Row.Start() {
		after.Row = before.Row
	}
	a.publish(before, after)
}

// lacksLeave reports whether a view does not show yet that the start of row leaves.
func lacksLeave(view *View, row *messenger.ServerRow) bool {
	switch {
	case view.Row == nil || view.Row.Born < row.Born:
		return true
	case view.Row.Start() != row.Start():
		return false
	}
	return view.State == messenger.ServerReady || view.State == messenger.ServerFrozen
}

// AwaitRecord waits until the control group has recorded that the server called name leaves,
// so that a later process of this router knows it too. A leave must not be acknowledged
// before.
func (a *Monitor) AwaitRecord(ctx context.Context, name string) error {
	if a.options.RequestUpdate == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	ticker := time.NewTicker(recordPollInterval)
	defer ticker.Stop()
	for {
		recorded, changed := a.isLeaveRecorded(name)
		if recorded {
			return nil
		}
		a.options.RequestUpdate()
		select {
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
			return Error.New("waiting for the record that %s leaves: %w", name, context.Cause(ctx))
		}
	}
}

// isLeaveRecorded also returns a channel that is closed when the record has changed.
func (a *Monitor) isLeaveRecorded(name string) (recorded bool, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	changed = a.recordChanged
	view := a.view.Load()
	row := view.Row
	switch {
	case !a.hasRecord:
		return false, changed
	case !a.record.IsKept:
		return true, changed
	case row == nil:
		// Neither this process nor the control group knows the server: nobody sends
		// requests to it.
		return a.record.Row == nil || !isCalled(a.record.Row, name), changed
	case !isCalled(row, name) || row.Born == 0 || view.State != messenger.ServerLeaving:
		// The call came late, or from a server whose starts cannot be told apart.
		return true, changed
	}
	return a.record.Row != nil && a.record.Row.Start() == row.Start() && a.record.Withdrawn, changed
}
