package linker

import (
	"context"
	"errors"
	"slices"
	"time"
)

// FailureTTL is how long an address is reported as unreachable after the last
// failure.
const FailureTTL = 2 * time.Second

// UnreachableAddresses returns the unreachable addresses, sorted. An address is
// unreachable for FailureTTL after an attempt to open a link failed or the link was
// closed by the keepalive timeout, unless a link has been opened since. While the next
// attempt is in progress, the address keeps the state that it had when that started.
func (p *Pool) UnreachableAddresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var addresses []string
	for address, a := range p.attempts {
		if a.isUnreachable() {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

func (a *dialAttempt) isUnreachable() bool {
	select {
	case <-a.done:
	default:
		return a.previousFailed
	}
	if a.err != nil {
		return !a.paused && time.Since(a.finishedAt) < FailureTTL
	}
	return a.link.timedOutRecently()
}

// timedOutRecently reports whether the link was closed by the keepalive timeout
// within the last FailureTTL.
func (l *Link) timedOutRecently() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return errors.Is(context.Cause(l.ctx), ErrKeepaliveTimeout) && time.Since(l.endedAt) < FailureTTL
}
