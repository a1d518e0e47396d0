package keeper

import (
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// Lease is an immutable view of the session of a router.
type Lease struct {
	// Session is the number of the session, 0 without one.
	Session uint64
	// Sent is when the heartbeat that renewed the lease was sent; zero when the
	// lease was never renewed.
	Sent timer.Instant

	length time.Duration
	done   chan struct{}
}

func noLease(length time.Duration) *Lease {
	return &Lease{length: length, done: make(chan struct{})}
}

// Granted returns a lease that is renewed by a heartbeat sent at that instant,
// for tests of other packages.
func Granted(session uint64, sent timer.Instant) *Lease {
	return noLease(messenger.LeaseTime).next(session, sent)
}

// next is the lease that follows. It shares the Done channel when it goes on.
func (l *Lease) next(session uint64, sent timer.Instant) *Lease {
	if session == l.Session && sent.IsZero() == l.Sent.IsZero() {
		return &Lease{Session: session, Sent: sent, length: l.length, done: l.done}
	}
	return &Lease{Session: session, Sent: sent, length: l.length, done: make(chan struct{})}
}

// Alive reports whether the lease holds at now.
func (l *Lease) Alive(now timer.Instant) bool {
	return l.Left(now) > 0
}

// Left is how long the lease holds from now on, 0 when it has lapsed.
func (l *Lease) Left(now timer.Instant) time.Duration {
	if l.Session == 0 || l.Sent.IsZero() {
		return 0
	}
	return max(0, l.length-now.Since(l.Sent))
}

// Done is closed when the lease ended without a renewal.
func (l *Lease) Done() <-chan struct{} {
	return l.done
}
