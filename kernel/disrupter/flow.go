package disrupter

import (
	"io"
	"net"
	"sync"
	"time"
)

// maxBufferedSize is the number of undelivered bytes above which writers block.
const maxBufferedSize = 1 << 20

// chunk is data that was written and not delivered yet.
type chunk struct {
	data    []byte
	readyAt time.Time
}

// flow is one direction of a connection.
type flow struct {
	simulatedNetwork *SimulatedNetwork
	dir              direction

	mu             sync.Mutex
	queue          []chunk
	size           int
	endErr         error // returned to the reader after all queued data
	abortErr       error // returned to both ends at once
	blackholed     bool
	frameInspector *inspector

	dataArrived   chan struct{}
	spaceFreed    chan struct{}
	readDeadline  *deadline
	writeDeadline *deadline
}

func newFlow(simulatedNetwork *SimulatedNetwork, dir direction, shared *streamKinds) *flow {
	return &flow{
		simulatedNetwork: simulatedNetwork,
		dir:              dir,
		dataArrived:      make(chan struct{}, 1),
		spaceFreed:       make(chan struct{}, 1),
		readDeadline:     newDeadline(),
		writeDeadline:    newDeadline(),
		frameInspector:   &inspector{dir: dir, streamKinds: shared},
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
		err := f.abortErr
		if err == nil && f.endErr != nil {
			err = net.ErrClosed
		}
		isFull := f.size > maxBufferedSize
		f.mu.Unlock()
		if err != nil {
			return 0, err
		}
		if !isFull {
			break
		}
		select {
		case <-f.spaceFreed:
		case <-f.writeDeadline.wait():
			return 0, errTimeout
		}
	}
	f.send(data)
	return len(data), nil
}

// send queues data for delivery. It drops the data if the direction is partitioned or
// the flow is blackholed.
func (f *flow) send(data []byte) {
	delay, arrives := f.simulatedNetwork.route(f.dir)
	if arrives {
		delay += f.simulatedNetwork.transmit(f.dir, len(data))
	}
	hook := f.simulatedNetwork.currentHook()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !arrives {
		// TCP does not deliver later bytes when earlier ones are missing.
		f.blackholed = true
	}
	if f.blackholed {
		return
	}
	for _, segment := range f.frameInspector.inspect(data, hook) {
		f.queue = append(f.queue, chunk{data: segment.data, readyAt: time.Now().Add(delay + segment.extraDelay)})
		f.size += len(segment.data)
	}
	notify(f.dataArrived)
}

func (f *flow) read(data []byte) (int, error) {
	for {
		n, wait, err := f.tryRead(data)
		if n > 0 || err != nil || len(data) == 0 {
			return n, err
		}
		if err := f.waitForData(wait); err != nil {
			return 0, err
		}
	}
}

// tryRead reads data that has arrived. If there is none, wait is the time until the
// next chunk arrives, or 0 if none is queued.
func (f *flow) tryRead(data []byte) (n int, wait time.Duration, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.abortErr != nil {
		return 0, 0, f.abortErr
	}
	if isClosed(f.readDeadline.wait()) {
		return 0, 0, errTimeout
	}
	if len(f.queue) == 0 {
		if f.endErr != nil && !f.blackholed {
			return 0, 0, f.endErr
		}
		return 0, 0, nil
	}
	if f.simulatedNetwork.isFrozen(f.dir) {
		return 0, thawPollInterval, nil
	}
	first := &f.queue[0]
	if wait := time.Until(first.readyAt); wait > 0 {
		return 0, wait, nil
	}
	n = copy(data, first.data)
	first.data = first.data[n:]
	f.size -= n
	if len(first.data) == 0 {
		f.queue = f.queue[1:]
	}
	notify(f.spaceFreed)
	return n, 0, nil
}

// waitForData blocks until a notification of new data, the end or an abort, but no
// longer than wait unless that is 0. It fails when the read deadline passes.
func (f *flow) waitForData(wait time.Duration) error {
	var elapsed <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		elapsed = timer.C
	}
	select {
	case <-f.dataArrived:
	case <-elapsed:
	case <-f.readDeadline.wait():
		return errTimeout
	}
	return nil
}

// blackhole makes the flow drop all data written from now on.
func (f *flow) blackhole() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blackholed = true
}

// closeWrite ends the flow: the reader gets cause after all queued data.
func (f *flow) closeWrite(cause error) {
	_, arrives := f.simulatedNetwork.route(f.dir)
	f.mu.Lock()
	if f.endErr == nil {
		f.endErr = cause
	}
	if !arrives {
		f.blackholed = true
	}
	f.mu.Unlock()
	notify(f.dataArrived)
	notify(f.spaceFreed)
}

// abort ends the flow at once and discards queued data. Both the reader and the
// writer get cause.
func (f *flow) abort(cause error) {
	f.mu.Lock()
	if f.abortErr == nil {
		f.abortErr = cause
	}
	f.queue = nil
	f.size = 0
	f.mu.Unlock()
	notify(f.dataArrived)
	notify(f.spaceFreed)
}

var _ io.Reader = (*conn)(nil)
