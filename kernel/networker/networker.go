// Package networker defines the interface through which processes use the
// network.
//
// Production code uses [TCP]. Tests use the in-memory network of package disrupter,
// which can inject faults: partitions, delays and connections that drop all data.
//
// # Usage
//
//	var network networker.Network = networker.TCP{}
//	listener, err := network.Listen("127.0.0.1:0")
//	conn, err := network.Dial(ctx, "127.0.0.1:7000")
package networker

import (
	"context"
	"fmt"
	"net"
)

// Network opens listeners and connections. Addresses are host:port.
type Network interface {
	// Listen opens a listener at address; port 0 picks a free port.
	Listen(address string) (net.Listener, error)
	// Dial connects to address. It gives up when ctx is done.
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// TCP is the TCP implementation of the operating system.
type TCP struct{}

// Listen implements [Network].
func (TCP) Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listening on %s: %w", address, err)
	}
	return listener, nil
}

// Dial implements [Network].
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dialing %s: %w", address, err)
	}
	return conn, nil
}
