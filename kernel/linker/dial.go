package linker

import (
	"context"
	"net"
	"time"

	"marigoldhill/kernel/networker"
)

// redialInterval is how long a dial may be unanswered before another one is started
// beside it. The operating system retransmits a SYN only after 1 s, which would
// delay the connection to a VM that was unreachable for a moment.
const redialInterval = 200 * time.Millisecond

// dialWithRetry opens a connection. Each redialInterval it starts another dial in
// parallel with those in progress, and returns the result of the first to finish.
// That may be an error: a refused connection shows that the VM is reachable and no
// process listens, so waiting for the other dials is pointless.
func dialWithRetry(ctx context.Context, network networker.Network, address string) (net.Conn, error) {
	type dialResult struct {
		conn net.Conn
		err  error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialResult)
	dial := func() {
		conn, err := network.Dial(ctx, address)
		select {
		case results <- dialResult{conn, err}:
		case <-ctx.Done():
			if conn != nil {
				_ = conn.Close()
			}
		}
	}
	go dial()
	ticker := time.NewTicker(redialInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			go dial()
		case result := <-results:
			return result.conn, result.err
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}
