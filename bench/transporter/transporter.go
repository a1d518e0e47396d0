// Package transporter makes HTTP clients that dial over a given network.
//
// # Usage
//
//	client := transporter.New(networker.TCP{}, 16)
//	answer, err := client.Do(request)
//	if errors.Is(err, transporter.ErrDial) { ... } // nothing was sent
package transporter

import (
	"context"
	"net"
	"net/http"

	"github.com/zeebo/errs"

	"marigoldhill/kernel/networker"
)

// Error is the class of all errors of this package.
var Error = errs.Class("transporter")

// ErrDial says that no connection was made, so nothing was sent.
var ErrDial = errs.New("no connection")

// New returns an HTTP client that dials over network and keeps at most idle
// unused connections to each address. Answers are not decompressed.
func New(network networker.Network, idle int) *http.Client {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		conn, err := network.Dial(ctx, address)
		if err != nil {
			return nil, Error.New("%w: %w", ErrDial, err)
		}
		return conn, nil
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: idle,
		DisableCompression:  true,
	}}
}
