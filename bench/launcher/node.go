package launcher

import (
	"context"
	"sync"

	"marigoldhill/kernel/networker"
)

// Process is a control replica or a router.
type Process interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// Node is one process that can be started, stopped, killed and started again.
type Node[P Process] struct {
	name    string
	network networker.Network
	build   func(network networker.Network) (P, error)

	mutex   sync.Mutex
	process P
	running *faultyNetwork // nil while the process does not run
	// ending is the network of a process that is being stopped, and stopped is
	// closed once it has.
	ending  *faultyNetwork
	stopped chan struct{}
}

// Name returns the name of the node.
func (n *Node[P]) Name() string { return n.name }

// Process returns the running process, or the last one.
func (n *Node[P]) Process() P {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.process
}

// Start builds the process anew and starts it.
func (n *Node[P]) Start(ctx context.Context) error {
	network := newFaultyNetwork(n.network)
	process, err := n.build(network)
	if err != nil {
		return Error.New("building %s: %w", n.name, err)
	}
	if err := process.Start(ctx); err != nil {
		return Error.New("starting %s: %w", n.name, err)
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.process, n.running = process, network
	return nil
}

// Stop stops the process in order. It does nothing when it does not run.
func (n *Node[P]) Stop(ctx context.Context) error {
	process, network := n.take()
	if network == nil {
		return nil
	}
	defer n.beginStop(network)()
	if err := process.Stop(ctx); err != nil {
		return Error.New("stopping %s: %w", n.name, err)
	}
	return nil
}

// Kill ends the process with no word to anybody: its connections are closed
// first, so that its orderly stop reaches nobody.
func (n *Node[P]) Kill() {
	process, network := n.take()
	if network == nil {
		n.killStopping()
		return
	}
	network.kill()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = process.Stop(ended)
}

// beginStop notes that a process is being stopped, until the returned function
// is called.
func (n *Node[P]) beginStop(network *faultyNetwork) (end func()) {
	stopped := make(chan struct{})
	n.mutex.Lock()
	n.ending, n.stopped = network, stopped
	n.mutex.Unlock()
	return func() {
		n.mutex.Lock()
		n.ending = nil
		n.mutex.Unlock()
		close(stopped)
	}
}

// killStopping cuts a process that is being stopped off and waits for its end.
func (n *Node[P]) killStopping() {
	n.mutex.Lock()
	network, stopped := n.ending, n.stopped
	n.mutex.Unlock()
	if network == nil {
		return
	}
	network.kill()
	<-stopped
}

// Restart kills the process and starts it again.
func (n *Node[P]) Restart(ctx context.Context) error {
	n.Kill()
	return n.Start(ctx)
}

// take returns the process and marks it as stopped.
func (n *Node[P]) take() (P, *faultyNetwork) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	network := n.running
	n.running = nil
	return n.process, network
}
