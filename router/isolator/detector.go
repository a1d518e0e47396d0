package isolator

import (
	"context"
	"sync"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
)

const (
	// watchTimeout is how long after a broken connection the backend server is
	// checked for having died.
	watchTimeout = time.Second
	// dialInterval is the time between two connection attempts, dialTimeout the
	// timeout of each.
	dialInterval = 20 * time.Millisecond
	dialTimeout  = 200 * time.Millisecond
)

// Detector distinguishes the death of a backend server from the end of one connection:
// a dead server refuses new connections. Its methods are safe for concurrent use.
type Detector struct {
	network   networker.Network
	isolation *Isolator
	onDeath   func(rows []messenger.QuarantineRow)

	mu       sync.Mutex
	watching bool
}

// NewDetector returns a Detector that calls onDeath with the requests that were in
// flight at isolation.
func NewDetector(network networker.Network, isolation *Isolator, onDeath func(rows []messenger.QuarantineRow)) *Detector {
	return &Detector{network: network, isolation: isolation, onDeath: onDeath}
}

// ConnectionBroken must be called when a connection to the server at address has ended
// while a request ran, before that request leaves the Isolator. It starts a watch unless one is
// running.
func (d *Detector) ConnectionBroken(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.watching {
		return
	}
	d.watching = true
	go d.watch(address, d.isolation.InFlight())
}

func (d *Detector) watch(address string, rows []messenger.QuarantineRow) {
	ctx, cancel := context.WithTimeout(context.Background(), watchTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if d.refusesConnection(ctx, address) {
			d.onDeath(rows)
			break
		}
		select {
		case <-time.After(dialInterval):
		case <-ctx.Done():
		}
	}
	d.mu.Lock()
	d.watching = false
	d.mu.Unlock()
}

// refusesConnection reports whether the server refuses a new connection. A timeout is
// no refusal.
func (d *Detector) refusesConnection(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := d.network.Dial(ctx, address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return ctx.Err() == nil
}
