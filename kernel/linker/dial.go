package linker

import (
	"context"
	"net"
	"time"

	"marigoldhill/kernel/networker"
)

// redialTime is how long an opening packet may be without an answer before the
// next is sent. The operating system sends it again after a whole second, so a VM
// that was dark a moment ago would be reached that much later.
const redialTime = 200 * time.Millisecond

// connect opens a connection, with another try beside those under way each
// redialTime. The first that succeeds is used. One that is refused ends them all:
// the VM is there and nobody listens.
func connect(ctx context.Context, network networker.Network, address string) (net.Conn, error) {
	type opened struct {
		conn net.Conn
		err  error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan opened)
	try := func() {
		conn, err := network.Dial(ctx, address)
		select {
		case results <- opened{conn, err}:
		case <-ctx.Done():
			if conn != nil {
				_ = conn.Close()
			}
		}
	}
	go try()
	ticker := time.NewTicker(redialTime)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			go try()
		case result := <-results:
			return result.conn, result.err
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}
