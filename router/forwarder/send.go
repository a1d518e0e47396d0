package forwarder

import (
	"context"
	"errors"
	"io"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/executor"
	"marigoldhill/router/locator"
	"marigoldhill/router/sanitizer"
)

// errNumberMismatch is returned for an answer with the number of another request.
var errNumberMismatch = errors.New("answer carries the number of another request")

// send sends the request to the router that owns its key.
func (c *call) send(ctx context.Context, place locator.Place) executor.Answer {
	stream, err := c.forwarder.options.Opener.Open(ctx, place.Owner.Address, messenger.KindForward)
	if err != nil {
		return c.unsentAnswer(ctx)
	}
	c.sentAt = timer.Now()
	exchange := &exchange{stream: stream, request: c.request, body: c.body}
	answer, err := exchange.run()
	if err == nil {
		return answer
	}
	stream.Close()
	if errors.Is(err, errNumberMismatch) {
		c.forwarder.counters.mismatched.Inc()
	}
	if !exchange.mayRun() {
		return c.unsentAnswer(ctx)
	}
	return c.queryOutcome(ctx, place)
}

// unsentAnswer returns the answer to a request that the owner cannot have run.
func (c *call) unsentAnswer(ctx context.Context) executor.Answer {
	if ctx.Err() != nil {
		return refusedAnswer(c.request, unsentReason(ctx))
	}
	return refusedAnswer(c.request, messenger.ReasonUnreachable)
}

// exchange is one attempt to send a request, over a stream of its own.
type exchange struct {
	stream  *linker.Stream
	request *messenger.Request
	body    *replayBody
	// endSent is true once the last frame of a buffered request may have been
	// handed to the link.
	endSent bool
	// bodyDone is closed when the sending of a large body has ended; nil for a
	// buffered body.
	bodyDone chan struct{}
}

// mayRun reports whether the owner may have received enough to run the request;
// see the package comment. For a large body this is assumed as soon as its
// sending has begun.
func (e *exchange) mayRun() bool {
	return e.endSent || e.bodyDone != nil
}

// run sends the request and waits for the header of the answer.
func (e *exchange) run() (executor.Answer, error) {
	err := e.sendRequest()
	var response messenger.Response
	// An owner may refuse before it has read the body, so there may be an answer
	// although sending failed.
	if receiveErr := e.stream.Receive(&response); receiveErr != nil {
		return executor.Answer{}, errors.Join(err, receiveErr)
	}
	if response.Number != e.request.Number {
		return executor.Answer{}, errNumberMismatch
	}
	if response.Outcome == messenger.OutcomeDone {
		if err := sanitizer.CheckRelayed(response.Status, response.Header); err != nil {
			return executor.Answer{}, Error.New("receiving the answer: %w", err)
		}
		return executor.Answer{Response: response, Body: e.answerBody()}, nil
	}
	if err := e.expectEnd(); err != nil {
		return executor.Answer{}, err
	}
	return executor.Answer{Response: response}, nil
}

// sendRequest sends the request with its body. A large body is sent by a goroutine
// of its own, since the owner may answer before it has received all of it.
func (e *exchange) sendRequest() error {
	if err := e.stream.Send(e.request); err != nil {
		return err
	}
	if !e.body.complete {
		e.bodyDone = make(chan struct{})
		go e.sendLargeBody()
		return nil
	}
	if _, err := e.stream.Write(e.body.prefix); err != nil {
		return Error.New("sending the body: %w", err)
	}
	e.endSent = true
	return e.stream.CloseWrite()
}

func (e *exchange) sendLargeBody() {
	defer close(e.bodyDone)
	if _, err := io.Copy(e.stream, e.body.reader()); err != nil {
		// Resets the stream, so that the owner does not take the part for a complete
		// body.
		e.stream.Close()
		return
	}
	_ = e.stream.CloseWrite()
}

// expectEnd checks that an answer without a body was received completely, and
// closes the stream.
func (e *exchange) expectEnd() error {
	defer e.stream.Close()
	rest, err := io.Copy(io.Discard, e.stream)
	if err != nil {
		return Error.New("receiving the end of the answer: %w", err)
	}
	if rest > 0 {
		return Error.New("%d bytes after an answer without a body: %w", rest, linker.ErrProtocolViolation)
	}
	return nil
}

func (e *exchange) answerBody() io.ReadCloser {
	return answerBody{e.stream}
}

// answerBody is the body of an answer, read from its stream.
type answerBody struct {
	stream *linker.Stream
}

func (b answerBody) Read(data []byte) (int, error) {
	return b.stream.Read(data)
}

func (b answerBody) Close() error {
	b.stream.Close()
	return nil
}
