package relayer

import (
	"context"
	"errors"
	"io"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/router/mapper"
)

// deliver sends a request to the router of a server, which may be this one. waiting is the
// context until the request is passed on.
func (c *routedCall) deliver(ctx, waiting context.Context, server *mapper.Server, relay *messenger.Relay) (*messenger.RelayResponse, io.ReadCloser) {
	if server.Session == c.entry.options.Session() {
		return c.entry.options.Owner.RunLocal(ctx, relay, c.body.reader())
	}
	stream, run, err := c.open(ctx, server.Address)
	if err != nil {
		c.logLinkFailure(server, err)
		return refusedResponse(messenger.ReasonUnreachable, 0), nil
	}
	response, err := run(waiting, stream, relay, c.body)
	if err != nil {
		stream.Close()
		c.logLinkFailure(server, err)
		if errors.Is(err, errUnsent) {
			return refusedResponse(messenger.ReasonUnreachable, 0), nil
		}
		return &messenger.RelayResponse{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonLost, Ran: true}, nil
	}
	if response.Outcome != messenger.OutcomeDone {
		stream.Close()
		return response, nil
	}
	return response, streamBody{stream}
}

// open opens a stream to a router and returns the way to exchange a request over it.
func (c *routedCall) open(ctx context.Context, address string) (*linker.Stream, exchange, error) {
	kind, run := messenger.KindRelay, exchange(exchangeAtOnce)
	if !c.body.isInline() {
		peer, err := c.entry.options.Opener.Peer(ctx, address)
		if err != nil {
			return nil, nil, Error.New("connecting to the router: %w", err)
		}
		if peer.Invites {
			kind, run = messenger.KindInvitedRelay, exchangeInvited
		}
	}
	stream, err := c.entry.options.Opener.Open(ctx, address, kind)
	if err != nil {
		return nil, nil, Error.New("opening a stream: %w", err)
	}
	return stream, run, nil
}

// logLinkFailure logs why there was no answer from the router of a server.
func (c *routedCall) logLinkFailure(server *mapper.Server, err error) {
	c.entry.options.Log.Emit(logger.RequestFailed, "id", c.call.ID, "route", c.route.Name, "service", c.service,
		"key", c.call.Key, "version", c.version, "router", server.Router, "address", server.Address,
		"cause", "no answer from the router of the backend server", "error", err)
}

// streamBody is the body of an answer from another router.
type streamBody struct {
	*linker.Stream
}

// Close implements io.Closer.
func (b streamBody) Close() error {
	b.Stream.Close()
	return nil
}
