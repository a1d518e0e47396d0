package linker

import (
	"context"
	"errors"
	"slices"
	"time"
)

// failingTime is how long a failure counts after the last try.
const failingTime = 2 * time.Second

// Failing lists the addresses that cannot be reached: the last try to open a
// link failed, or a link fell silent and none was opened since.
func (p *Pool) Failing() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var addresses []string
	for address, a := range p.links {
		if a.isFailing() {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

func (a *attempt) isFailing() bool {
	select {
	case <-a.done:
	default:
		return a.again
	}
	if a.err != nil {
		return time.Since(a.failed) < failingTime
	}
	return a.link.isSilent()
}

// isSilent reports whether the link ended lately because nothing was heard.
func (l *Link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return errors.Is(context.Cause(l.ctx), ErrSilent) && time.Since(l.ended) < failingTime
}
