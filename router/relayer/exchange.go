package relayer

import (
	"context"
	"errors"
	"io"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
	"marigoldhill/router/sanitizer"
)

var (
	errUnsent     = errors.New("request was not sent")
	errIDMismatch = errors.New("answer carries the ID of another request")
	errEmptyReply = errors.New("reply without a response")
)

// exchange sends a request over a stream and receives the header of its answer. An error
// that wraps errUnsent means that the request has not run. ctx limits the time until the
// request is passed on.
type exchange func(ctx context.Context, stream *linker.Stream, relay *messenger.Relay, body *requestBody) (*messenger.RelayResponse, error)

// exchangeAtOnce sends the body with the request. A body that is not replayable is sent
// while the answer is awaited.
func exchangeAtOnce(ctx context.Context, stream *linker.Stream, relay *messenger.Relay, body *requestBody) (*messenger.RelayResponse, error) {
	if body.isReplayable() {
		if _, err := body.bytesWithin(ctx); err != nil {
			return nil, Error.New("%w: %w", errUnsent, err)
		}
	}
	if err := stream.Send(relay); err != nil {
		return nil, Error.New("sending the header: %w: %w", errUnsent, err)
	}
	if !body.isReplayable() {
		sendInBackground(stream, body)
		return receiveResponse(stream, relay)
	}
	_, err := io.Copy(stream, body.reader())
	if err == nil {
		err = stream.CloseWrite()
	}
	// An owner that refuses may answer and reset the stream before it has read the
	// body. The answer can still be received.
	if err != nil && !errors.Is(err, linker.ErrReset) {
		return nil, Error.New("sending the body: %w", err)
	}
	return receiveResponse(stream, relay)
}

// exchangeInvited sends the body once the owner has invited it.
func exchangeInvited(ctx context.Context, stream *linker.Stream, relay *messenger.Relay, body *requestBody) (*messenger.RelayResponse, error) {
	if err := stream.Send(relay); err != nil {
		return nil, Error.New("sending the header: %w: %w", errUnsent, err)
	}
	var invitation messenger.RelayInvitation
	stopWatching := context.AfterFunc(ctx, stream.Close)
	err := stream.Receive(&invitation)
	if !stopWatching() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		return nil, Error.New("receiving the invitation: %w: %w", errUnsent, err)
	}
	if !invitation.Invited {
		return receiveResponse(stream, relay)
	}
	if body.isReplayable() {
		// The request has not run if the caller does not send its whole body.
		if _, err := body.bytesWithin(ctx); err != nil {
			return nil, Error.New("%w: %w", errUnsent, err)
		}
	}
	sendInBackground(stream, body)
	return receiveResponse(stream, relay)
}

func receiveResponse(stream *linker.Stream, relay *messenger.Relay) (*messenger.RelayResponse, error) {
	response, err := receiveReply(stream)
	if err != nil {
		return nil, Error.New("receiving the answer: %w", err)
	}
	if response.ID != relay.ID {
		return nil, Error.New("answer to %s: %w", response.ID, errIDMismatch)
	}
	if response.Outcome == messenger.OutcomeDone {
		if err := sanitizer.CheckRelayed(response.Status, response.Header); err != nil {
			return nil, Error.New("receiving the answer: %w", err)
		}
	}
	return response, nil
}

// usesReplies reports whether both ends of a stream use messenger.RelayReply.
func usesReplies(stream *linker.Stream) bool {
	local, peer := stream.Hellos()
	return local.Replies && peer.Replies
}

// sendReply sends a response in the form that the entry router reads.
func sendReply(stream *linker.Stream, response *messenger.RelayResponse) error {
	if usesReplies(stream) {
		return stream.Send(messenger.NewRelayReply(response))
	}
	return stream.Send(response)
}

// receiveReply receives a response in the form that the owner sends.
func receiveReply(stream *linker.Stream) (*messenger.RelayResponse, error) {
	if !usesReplies(stream) {
		response := new(messenger.RelayResponse)
		return response, stream.Receive(response)
	}
	var reply messenger.RelayReply
	if err := stream.Receive(&reply); err != nil {
		return nil, err
	}
	if reply.Response == nil {
		return nil, errEmptyReply
	}
	return reply.Unpack(), nil
}

// sendInBackground sends a body while the answer is awaited. From now on a body that is not
// replayable counts as read: the answer may come first, but then a part of the body is read
// all the same, and must not be missing at another server.
func sendInBackground(stream *linker.Stream, body *requestBody) {
	body.started.Store(true)
	go sendBody(stream, body.reader())
}

// sendBody sends a body and ends the sending direction of the stream.
func sendBody(stream *linker.Stream, body io.Reader) {
	if _, err := io.Copy(stream, body); err != nil {
		// Resets the stream, so that the owner does not take the part for a complete
		// body.
		stream.Close()
		return
	}
	_ = stream.CloseWrite()
}
