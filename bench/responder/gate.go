package responder

import (
	"context"
	"sync"
)

// gate holds up whoever passes while it is closed. It stands for a frozen
// process.
type gate struct {
	mutex  sync.Mutex
	opened chan struct{} // closed while the gate is open
}

func newGate() *gate {
	opened := make(chan struct{})
	close(opened)
	return &gate{opened: opened}
}

// shut makes pass wait until open is called.
func (g *gate) shut() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if isClosed(g.opened) {
		g.opened = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !isClosed(g.opened) {
		close(g.opened)
	}
}

// pass returns once the gate is open, or when done is closed.
func (g *gate) pass(done <-chan struct{}) {
	g.mutex.Lock()
	opened := g.opened
	g.mutex.Unlock()
	select {
	case <-opened:
	case <-done:
	}
}

// passContext waits for the gate or the end of ctx.
func (g *gate) passContext(ctx context.Context) {
	g.pass(ctx.Done())
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
