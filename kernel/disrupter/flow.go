package disrupter

import (
	"io"
	"net"
	"sync"
	"time"
)

// flowBuffer is how many bytes may be under way before writers wait.
const flowBuffer = 1 << 20

// chunk is a piece of data under way.
type chunk struct {
	data  []byte
	ready time.Time
}

// flow is one direction of a connection.
type flow struct {
	world *World
	way   pair

	mu       sync.Mutex
	queue    []chunk
	size     int
	finished error // what the reader gets after the queue: io.EOF
	aborted  error // what both ends get at once
	silent   bool
	frames   *inspector

	arrived    chan struct{}
	drained    chan struct{}
	readLimit  *limit
	writeLimit *limit
}

func newFlow(world *World, way pair, shared *streams) *flow {
	return &flow{
		world:      world,
		way:        way,
		arrived:    make(chan struct{}, 1),
		drained:    make(chan struct{}, 1),
		readLimit:  newLimit(),
		writeLimit: newLimit(),
		frames:     &inspector{way: way, streams: shared},
	}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (f *flow) write(data []byte) (int, error) {
	for {
		f.mu.Lock()
		failure := f.aborted
		if failure == nil && f.finished != nil {
			failure = net.ErrClosed
		}
		full := f.size > flowBuffer
		f.mu.Unlock()
		if failure != nil {
			return 0, failure
		}
		if !full {
			break
		}
		select {
		case <-f.drained:
		case <-f.writeLimit.wait():
			return 0, errTimeout
		}
	}
	f.send(data)
	return len(data), nil
}

// send puts data under way, unless it vanishes.
func (f *flow) send(data []byte) {
	delay, arrives := f.world.route(f.way)
	hook := f.world.currentHook()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !arrives {
		// TCP would not deliver later bytes without these.
		f.silent = true
	}
	if f.silent {
		return
	}
	for _, part := range f.frames.split(data, hook) {
		f.queue = append(f.queue, chunk{data: part.data, ready: time.Now().Add(delay + part.hold)})
		f.size += len(part.data)
	}
	notify(f.arrived)
}

func (f *flow) read(data []byte) (int, error) {
	for {
		n, wait, err := f.take(data)
		if n > 0 || err != nil || len(data) == 0 {
			return n, err
		}
		if err := f.await(wait); err != nil {
			return 0, err
		}
	}
}

// take takes what has arrived, or says how long the next chunk still needs.
func (f *flow) take(data []byte) (n int, wait time.Duration, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.aborted != nil {
		return 0, 0, f.aborted
	}
	if isClosed(f.readLimit.wait()) {
		return 0, 0, errTimeout
	}
	if len(f.queue) == 0 {
		if f.finished != nil && !f.silent {
			return 0, 0, f.finished
		}
		return 0, 0, nil
	}
	if f.world.isFrozen(f.way) {
		return 0, thawPoll, nil
	}
	head := &f.queue[0]
	if wait := time.Until(head.ready); wait > 0 {
		return 0, wait, nil
	}
	n = copy(data, head.data)
	head.data = head.data[n:]
	f.size -= n
	if len(head.data) == 0 {
		f.queue = f.queue[1:]
	}
	notify(f.drained)
	return n, 0, nil
}

// await waits for wait, or for news when wait is 0.
func (f *flow) await(wait time.Duration) error {
	var elapsed <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		elapsed = timer.C
	}
	select {
	case <-f.arrived:
	case <-elapsed:
	case <-f.readLimit.wait():
		return errTimeout
	}
	return nil
}

// silence makes the flow swallow all that follows.
func (f *flow) silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = true
}

// end lets the reader see the end after all data.
func (f *flow) end(cause error) {
	_, arrives := f.world.route(f.way)
	f.mu.Lock()
	if f.finished == nil {
		f.finished = cause
	}
	if !arrives {
		f.silent = true
	}
	f.mu.Unlock()
	notify(f.arrived)
	notify(f.drained)
}

// abandon ends the flow at once for both ends. The reader of a closed
// connection gets cause; the writer at the other end as well.
func (f *flow) abandon(cause error) {
	f.mu.Lock()
	if f.aborted == nil {
		f.aborted = cause
	}
	f.queue = nil
	f.size = 0
	f.mu.Unlock()
	notify(f.arrived)
	notify(f.drained)
}

var _ io.Reader = (*conn)(nil)
