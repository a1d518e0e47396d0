package responder

import (
	"context"
	"sync"
)

// gate blocks all calls of wait while it is paused. It simulates a process that
// is frozen.
type gate struct {
	mutex   sync.Mutex
	resumed chan struct{} // closed while the gate is not paused
}

func newGate() *gate {
	resumed := make(chan struct{})
	close(resumed)
	return &gate{resumed: resumed}
}

// pause makes wait block until resume is called.
func (g *gate) pause() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if isClosed(g.resumed) {
		g.resumed = make(chan struct{})
	}
}

func (g *gate) resume() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !isClosed(g.resumed) {
		close(g.resumed)
	}
}

// wait returns when the gate is not paused, or when done is closed.
func (g *gate) wait(done <-chan struct{}) {
	g.mutex.Lock()
	resumed := g.resumed
	g.mutex.Unlock()
	select {
	case <-resumed:
	case <-done:
	}
}

// waitContext is like wait but returns when ctx is done.
func (g *gate) waitContext(ctx context.Context) {
	g.wait(ctx.Done())
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
