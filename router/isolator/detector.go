package isolator

import (
	"context"
	"sync"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
)

const (
	// deathSpan is the maximum time between the ends of the connections to a server that
	// has died. Those after its death was found belong to it too.
	deathSpan = 250 * time.Millisecond
	// dialTimeout limits one connection attempt.
	dialTimeout = 200 * time.Millisecond
)

// dialDelays are the times to wait before each connection attempt after a connection was
// broken. A server that accepts all of them has not died.
var dialDelays = []time.Duration{5 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond}

// Detector distinguishes the death of a backend server from the end of one connection:
// a dead server refuses new connections, or is started again. Its methods are safe for
// concurrent use.
type Detector struct {
	network   networker.Network
	isolation *Isolator
	onDeath   func(rows []messenger.QuarantineRow)

	mu       sync.Mutex
	watching bool
	// born is the start time of the server in milliseconds; 0 when unknown.
	born int64
	// restarted is set when the server was started again since the watch began.
	restarted bool
	// dials counts the connection attempts since the last broken connection.
	dials     int
	breaks    []connectionBreak
	lastDeath time.Time
}

// connectionBreak is the end of a connection while a request ran, with all requests that
// were in flight then.
type connectionBreak struct {
	at   time.Time
	rows []messenger.QuarantineRow
}

// NewDetector returns a Detector that calls onDeath with the requests that were in
// flight at isolation.
func NewDetector(network networker.Network, isolation *Isolator, onDeath func(rows []messenger.QuarantineRow)) *Detector {
	return &Detector{network: network, isolation: isolation, onDeath: onDeath}
}

// ConnectionBroken must be called when a connection to the server at address has ended
// while a request ran, before that request leaves the Isolator. It starts a watch unless
// one is running.
func (d *Detector) ConnectionBroken(address string) {
	now := time.Now()
	rows := d.isolation.InFlight()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.lastDeath.IsZero() && now.Sub(d.lastDeath) < deathSpan {
		return
	}
	d.dropBreaks(now)
	d.breaks = append(d.breaks, connectionBreak{at: now, rows: rows})
	d.dials = 0
	if !d.watching {
		d.watching, d.restarted = true, false
		go d.watch(address)
	}
}

// ServerStarted must be called with the start time of the server whenever it announces
// itself, in milliseconds.
func (d *Detector) ServerStarted(born int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.restarted = d.restarted || (d.born != 0 && born > d.born)
	d.born = max(d.born, born)
}

func (d *Detector) isRestarted() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.restarted
}

// dropBreaks drops the breaks that are too old to belong to a death at an instant. It
// requires mu to be held.
func (d *Detector) dropBreaks(now time.Time) {
	kept := d.breaks[:0]
	for _, b := range d.breaks {
		if now.Sub(b.at) < deathSpan {
			kept = append(kept, b)
		}
	}
	clear(d.breaks[len(kept):])
	d.breaks = kept
}

func (d *Detector) watch(address string) {
	for {
		delay, ok := d.nextDelay()
		if !ok {
			return
		}
		time.Sleep(delay)
		if d.isRestarted() || d.refusesConnection(address) {
			d.onDeath(d.death())
			return
		}
	}
}

// nextDelay returns the time to wait before the next connection attempt. It ends the watch
// if there is none.
func (d *Detector) nextDelay() (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dials == len(dialDelays) {
		d.watching = false
		return 0, false
	}
	d.dials++
	return dialDelays[d.dials-1], true
}

// death ends the watch and returns the requests that were in flight at the death, each
// fingerprint once.
func (d *Detector) death() []messenger.QuarantineRow {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watching = false
	d.lastDeath = time.Now()
	last := d.breaks[len(d.breaks)-1].at
	d.dropBreaks(last)
	seen := make(map[string]struct{})
	var rows []messenger.QuarantineRow
	for _, b := range d.breaks {
		for _, row := range b.rows {
			if _, ok := seen[row.Fingerprint]; !ok {
				seen[row.Fingerprint] = struct{}{}
				rows = append(rows, row)
			}
		}
	}
	d.breaks = nil
	return rows
}

// refusesConnection reports whether the server refuses a new connection. A timeout is
// no refusal.
func (d *Detector) refusesConnection(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := d.network.Dial(ctx, address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return ctx.Err() == nil
}
