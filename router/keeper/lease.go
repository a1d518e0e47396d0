package keeper

import (
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// Lease is an immutable snapshot of the session and the lease of a router.
type Lease struct {
	// Session is the number of the session, 0 without one.
	Session uint64
	// RenewedAt is when the heartbeat that renewed the lease was sent; zero if the lease
	// was never renewed.
	RenewedAt timer.Instant

	duration time.Duration
	done     chan struct{}
}

func newLease(duration time.Duration) *Lease {
	return &Lease{duration: duration, done: make(chan struct{})}
}

// NewTestLease returns a lease that was renewed by a heartbeat sent at the given instant.
// It is for tests of other packages.
func NewTestLease(session uint64, sent timer.Instant) *Lease {
	return newLease(messenger.LeaseDuration).successor(session, sent)
}

// successor returns the lease that replaces l. It shares the Done channel if l is
// renewed or its state is unchanged.
func (l *Lease) successor(session uint64, sent timer.Instant) *Lease {
	if session == l.Session && sent.IsZero() == l.RenewedAt.IsZero() {
		return &Lease{Session: session, RenewedAt: sent, duration: l.duration, done: l.done}
	}
	return &Lease{Session: session, RenewedAt: sent, duration: l.duration, done: make(chan struct{})}
}

// IsLeaseValid reports whether the lease is valid at now.
func (l *Lease) IsLeaseValid(now timer.Instant) bool {
	return l.Remaining(now) > 0
}

// Remaining returns the remaining time of the lease at now, 0 if it has expired.
func (l *Lease) Remaining(now timer.Instant) time.Duration {
	if l.Session == 0 || l.RenewedAt.IsZero() {
		return 0
	}
	return max(0, l.duration-now.Since(l.RenewedAt))
}

// Done is closed when the lease ends without a renewal.
func (l *Lease) Done() <-chan struct{} {
	return l.done
}
