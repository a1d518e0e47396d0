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
)

// errForeign is for an answer with the number of another request.
var errForeign = errors.New("answer belongs to another request")

// send sends the request to the router that owns its key.
func (t *trip) send(ctx context.Context, place locator.Place) executor.Answer {
	stream, err := t.forwarder.options.Opener.Open(ctx, place.Owner.Address, messenger.KindForward)
	if err != nil {
		return t.unsent(ctx)
	}
	t.sent = timer.Now()
	exchange := &exchange{stream: stream, request: t.request, body: t.body}
	answer, err := exchange.run()
	if err == nil {
		return answer
	}
	stream.Close()
	if errors.Is(err, errForeign) {
		t.forwarder.counters.mixed.Inc()
	}
	if !exchange.mayRun() {
		return t.unsent(ctx)
	}
	return t.inquire(ctx, place)
}

// unsent answers for a request that the owner cannot have run.
func (t *trip) unsent(ctx context.Context) executor.Answer {
	if ctx.Err() != nil {
		return refuse(t.request, abandonReason(ctx))
	}
	return refuse(t.request, messenger.ReasonUnreachable)
}

// exchange is one send of a request over a stream of its own.
type exchange struct {
	stream  *linker.Stream
	request *messenger.Request
	body    *replay
	// sealed says that the last frame was handed to the link.
	sealed bool
	// pumped is closed when a large body is sent no more.
	pumped chan struct{}
}

// mayRun reports whether the owner may have what it needs to run the request;
// see the package comment. A large body counts as soon as it was begun.
func (e *exchange) mayRun() bool {
	return e.sealed || e.pumped != nil
}

// run sends the request and waits for the head of the answer.
func (e *exchange) run() (executor.Answer, error) {
	err := e.push()
	var response messenger.Response
	// An owner may refuse before it has read the body, so an answer may be
	// there although the sending failed.
	if failure := e.stream.Receive(&response); failure != nil {
		return executor.Answer{}, errors.Join(err, failure)
	}
	if response.Number != e.request.Number {
		return executor.Answer{}, errForeign
	}
	if response.Outcome == messenger.OutcomeDone {
		return executor.Answer{Response: response, Body: e.content()}, nil
	}
	if err := e.finish(); err != nil {
		return executor.Answer{}, err
	}
	return executor.Answer{Response: response}, nil
}

// push sends the request with its body. A large body is sent from a goroutine
// of its own, since the owner may answer before it has all.
func (e *exchange) push() error {
	if err := e.stream.Send(e.request); err != nil {
		return err
	}
	if !e.body.whole {
		e.pumped = make(chan struct{})
		go e.pump()
		return nil
	}
	if _, err := e.stream.Write(e.body.prefix); err != nil {
		return Error.New("sending the body: %w", err)
	}
	e.sealed = true
	return e.stream.CloseWrite()
}

func (e *exchange) pump() {
	defer close(e.pumped)
	if _, err := io.Copy(e.stream, e.body.reader()); err != nil {
		// The owner must not take a part for the whole.
		e.stream.Close()
		return
	}
	_ = e.stream.CloseWrite()
}

// finish checks that an answer without a body arrived whole, and ends the
// stream.
func (e *exchange) finish() error {
	defer e.stream.Close()
	rest, err := io.Copy(io.Discard, e.stream)
	if err != nil {
		return Error.New("receiving the end: %w", err)
	}
	if rest > 0 {
		return Error.New("%d bytes after the answer: %w", rest, linker.ErrProtocol)
	}
	return nil
}

// content is the body of the answer.
func (e *exchange) content() io.ReadCloser {
	return content{e.stream}
}

type content struct {
	stream *linker.Stream
}

func (c content) Read(data []byte) (int, error) {
	return c.stream.Read(data)
}

func (c content) Close() error {
	c.stream.Close()
	return nil
}
