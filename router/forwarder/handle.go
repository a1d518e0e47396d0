package forwarder

import (
	"bytes"
	"context"
	"io"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/executor"
)

// Handle serves a KindForward or KindOutcome stream of another router. It is a
// [linker.Handler].
func (f *Forwarder) Handle(ctx context.Context, _ *linker.Link, stream *linker.Stream) {
	switch stream.Kind() {
	case messenger.KindForward:
		// A stream that fails is reset, and its entry router asks what became
		// of the request.
		_ = f.serve(ctx, stream)
	case messenger.KindOutcome:
		_ = linker.Answer(stream, func(query *messenger.OutcomeQuery) (*messenger.OutcomeAnswer, error) {
			return f.tell(ctx, query), nil
		})
	}
}

// serve runs one request of another router.
func (f *Forwarder) serve(ctx context.Context, stream *linker.Stream) error {
	var request messenger.Request
	if err := stream.Receive(&request); err != nil {
		return err
	}
	if answer, ok := f.judge(&request); !ok {
		return reply(stream, answer)
	}
	body, err := intake(stream, request.Length)
	if err != nil {
		return err
	}
	f.counters.served.Inc()
	ctx, cancel := context.WithTimeout(ctx, request.Timeout)
	defer cancel()
	answer := f.options.Runner.Execute(ctx, &request, body)
	defer answer.Close()
	return reply(stream, answer)
}

// judge refuses a request whose key this router does not own.
func (f *Forwarder) judge(request *messenger.Request) (executor.Answer, bool) {
	if !f.options.Lease.Alive(timer.Now()) {
		return refuse(request, messenger.ReasonLease), false
	}
	table := f.options.Locator.Load()
	place, _ := table.Locate(request.Service, request.Key)
	if place.Owner == nil || place.Owner.Session != f.options.Lease.Session() {
		f.counters.misrouted.Inc()
		if request.Revision > table.Revision() {
			f.options.Hasten()
		}
		answer := refuse(request, messenger.ReasonMisrouted)
		answer.Response.Revision = table.Revision()
		return answer, false
	}
	return executor.Answer{}, true
}

// intake reads the body that a request needs before it may run: all of it, or
// more than BufferSize bytes.
func intake(stream *linker.Stream, length int64) (io.Reader, error) {
	prefix, whole, err := readPrefix(stream, length)
	if err != nil {
		return nil, Error.New("receiving the body: %w", err)
	}
	if whole {
		return bytes.NewReader(prefix), nil
	}
	return io.MultiReader(bytes.NewReader(prefix), stream), nil
}

// reply sends an answer. A body that is cut short leaves the stream without its
// last frame.
func reply(stream *linker.Stream, answer executor.Answer) error {
	if err := stream.Send(&answer.Response); err != nil {
		return err
	}
	if answer.Body != nil {
		if _, err := io.Copy(stream, answer.Body); err != nil {
			return Error.New("sending the answer: %w", err)
		}
	}
	return stream.CloseWrite()
}

// tell answers what became of a request. A router with another session than the
// one that the request was sent to cannot say that it was not run.
func (f *Forwarder) tell(ctx context.Context, query *messenger.OutcomeQuery) *messenger.OutcomeAnswer {
	answer := f.options.Runner.Outcome(ctx, query)
	if answer.Outcome == messenger.OutcomeRefused && query.Session != f.options.Lease.Session() {
		return &messenger.OutcomeAnswer{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonLost}
	}
	return &answer
}
