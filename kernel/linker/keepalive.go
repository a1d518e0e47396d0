package linker

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"marigoldhill/kernel/timer"
)

// keepalive detects an unresponsive peer. It sends pings only while a stream is
// open or the response to a ping is outstanding, so that an idle connection causes no
// traffic.
type keepalive struct {
	link *Link
	// reads counts the reads that returned data. Reads are counted instead of
	// frames because a large frame may take longer than KeepaliveTimeout to arrive.
	reads atomic.Uint64
	// pings counts the pings sent, pongs the responses received. Responses arrive in
	// the order of the pings.
	pings atomic.Uint64
	pongs atomic.Uint64

	mu        sync.Mutex
	pingTimer *time.Timer
	active    bool
	stopped   bool
	// lastReads is the value of reads at the last tick, lastReadAt the time of the
	// last tick at which reads had increased, lastTickAt that of the last tick.
	lastReads  uint64
	lastReadAt timer.Instant
	lastTickAt timer.Instant
}

// start activates the pings. It is called when a stream is opened.
func (k *keepalive) start() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.active || k.stopped {
		return
	}
	k.active = true
	k.lastReads = k.reads.Load()
	k.lastReadAt = timer.Now()
	k.lastTickAt = k.lastReadAt
	if k.pingTimer == nil {
		k.pingTimer = time.AfterFunc(PingInterval, k.tick)
		return
	}
	k.pingTimer.Reset(PingInterval)
}

// stop ends the pings. A later start has no effect. It is called when the connection
// has ended.
func (k *keepalive) stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stopped = true
	if k.pingTimer != nil {
		k.pingTimer.Stop()
	}
}

func (k *keepalive) tick() {
	hasStreams := k.link.hasOpenStreams()
	switch k.nextAction(hasStreams) {
	case actionTimeout:
		k.link.options.count("closures", "silent")
		k.link.fail(Error.New("link to %s: %w", k.link.peer.Name, ErrKeepaliveTimeout))
	case actionPing:
		k.link.ping()
	}
}

// action is what a tick does.
type action uint8

const (
	actionNone action = iota
	actionPing
	actionTimeout
)

func (k *keepalive) nextAction(hasStreams bool) action {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := timer.Now()
	delayed := now.Since(k.lastTickAt) >= 2*PingInterval
	k.lastTickAt = now
	reads := k.reads.Load()
	received := reads != k.lastReads
	k.lastReads = reads
	switch {
	case k.stopped:
		return actionNone
	case received:
		k.lastReadAt = now
	case delayed:
		// This process did not run, so that it could not read what has arrived.
		k.lastReadAt = now
	case now.Since(k.lastReadAt) >= KeepaliveTimeout:
		return actionTimeout
	}
	if received && !hasStreams {
		k.active = false
		return actionNone
	}
	k.pingTimer.Reset(PingInterval)
	return actionPing
}

// countingReader counts the reads that return data.
type countingReader struct {
	source io.Reader
	reads  *atomic.Uint64
}

// Read implements io.Reader.
func (r countingReader) Read(data []byte) (int, error) {
	n, err := r.source.Read(data)
	if n > 0 {
		r.reads.Add(1)
	}
	return n, err
}
