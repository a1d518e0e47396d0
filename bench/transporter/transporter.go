// Package transporter creates HTTP clients that dial through a given network.
//
// # Usage
//
//	client := transporter.New(networker.TCP{}, 16)
//	response, err := client.Do(request)
//	if errors.Is(err, transporter.ErrNotConnected) { ... } // nothing was sent
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

// ErrNotConnected is returned if no connection could be opened, so nothing was sent.
var ErrNotConnected = errs.New("no connection")

// New returns an HTTP client that dials through network and keeps at most maxIdle
// idle connections to each address. It does not decompress responses.
func New(network networker.Network, maxIdle int) *http.Client {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		conn, err := network.Dial(ctx, address)
		if err != nil {
			return nil, Error.New("%w: %w", ErrNotConnected, err)
		}
		return conn, nil
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdle,
		DisableCompression:  true,
	}}
}
