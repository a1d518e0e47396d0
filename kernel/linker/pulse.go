package linker

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"marigoldhill/kernel/timer"
)

// pulse finds out whether a connection has fallen silent. It pings only while a
// stream is open or an answer to a ping is due, so that an idle connection costs
// nothing.
type pulse struct {
	link *Link
	// reads counts the reads that brought bytes. A large frame may arrive in
	// parts for longer than SilenceTime.
	reads atomic.Uint64
	// pings counts the pings that were sent, pongs the answers. They come in
	// order.
	pings atomic.Uint64
	pongs atomic.Uint64

	mu      sync.Mutex
	clock   *time.Timer
	beating bool
	stopped bool
	// seen is what reads was at the last beat, and since when it was found
	// to have grown.
	seen  uint64
	since timer.Instant
}

// start begins to ping when a stream is opened.
func (p *pulse) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.beating || p.stopped {
		return
	}
	p.beating = true
	p.seen = p.reads.Load()
	p.since = timer.Now()
	if p.clock == nil {
		p.clock = time.AfterFunc(PingInterval, p.beat)
		return
	}
	p.clock.Reset(PingInterval)
}

// stop ends the pings of a connection that has ended.
func (p *pulse) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	if p.clock != nil {
		p.clock.Stop()
	}
}

func (p *pulse) beat() {
	busy := p.link.isBusy()
	switch p.judge(busy) {
	case beatSilent:
		p.link.options.count("closures", "silent")
		p.link.fail(Error.New("to %s: %w", p.link.peer.Name, ErrSilent))
	case beatPing:
		p.link.ping()
	}
}

// beat is what follows from a look at the connection.
type beat uint8

const (
	beatIdle beat = iota
	beatPing
	beatSilent
)

func (p *pulse) judge(busy bool) beat {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := timer.Now()
	reads := p.reads.Load()
	heard := reads != p.seen
	p.seen = reads
	switch {
	case p.stopped:
		return beatIdle
	case heard:
		p.since = now
	case now.Since(p.since) >= SilenceTime:
		return beatSilent
	}
	if heard && !busy {
		p.beating = false
		return beatIdle
	}
	p.clock.Reset(PingInterval)
	return beatPing
}

// hearing is a reader that counts reads.
type hearing struct {
	from  io.Reader
	reads *atomic.Uint64
}

// Read implements io.Reader.
func (h hearing) Read(data []byte) (int, error) {
	n, err := h.from.Read(data)
	if n > 0 {
		h.reads.Add(1)
	}
	return n, err
}
