package isolator

import (
	"context"
	"net/url"
	"sync"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
)

const (
	// watchTime is how long after a broken connection the death of the backend
	// server is looked for.
	watchTime = time.Second
	// lookInterval is the time between two looks, lookTime bounds one.
	lookInterval = 20 * time.Millisecond
	lookTime     = 200 * time.Millisecond
)

// Detector tells the death of a backend server from the end of one connection:
// a dead one refuses new connections. Its methods are safe for concurrent use.
type Detector struct {
	network networker.Network
	gate    *Gate
	died    func(rows []messenger.QuarantineRow)

	mu       sync.Mutex
	watching bool
}

// NewDetector returns a Detector that calls died with what was in flight at a
// gate.
func NewDetector(network networker.Network, gate *Gate, died func(rows []messenger.QuarantineRow)) *Detector {
	return &Detector{network: network, gate: gate, died: died}
}

// Broken is called when a connection to the server ended while a request ran,
// before that request leaves the gate. One watch runs at a time.
func (d *Detector) Broken(server *messenger.ServerRow) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.watching {
		return
	}
	base, err := url.Parse(server.URL)
	if err != nil {
		return
	}
	d.watching = true
	go d.watch(base.Host, d.gate.Died())
}

func (d *Detector) watch(address string, rows []messenger.QuarantineRow) {
	ctx, cancel := context.WithTimeout(context.Background(), watchTime)
	defer cancel()
	for ctx.Err() == nil {
		if d.isRefused(ctx, address) {
			d.died(rows)
			break
		}
		select {
		case <-time.After(lookInterval):
		case <-ctx.Done():
		}
	}
	d.mu.Lock()
	d.watching = false
	d.mu.Unlock()
}

// isRefused reports whether the server refuses a new connection.
func (d *Detector) isRefused(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, lookTime)
	defer cancel()
	conn, err := d.network.Dial(ctx, address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return ctx.Err() == nil
}
