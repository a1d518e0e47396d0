package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"

	"marigoldhill/kernel/limiter"
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
		// If serving fails, the stream is reset and the entry router queries
		// the outcome of the request.
		_ = f.serve(ctx, stream)
	case messenger.KindOutcome:
		_ = linker.Respond(stream, func(query *messenger.OutcomeQuery) (*messenger.OutcomeResponse, error) {
			return f.outcome(ctx, query), nil
		})
	}
}

// serve runs one request from another router.
func (f *Forwarder) serve(ctx context.Context, stream *linker.Stream) error {
	var request messenger.Request
	reservation := limiter.Reservation{Pool: f.options.Heads}
	defer reservation.Release()
	number, err := stream.ReceiveWithin(&request, reservation.TakeMessage)
	if errors.Is(err, linker.ErrNoRoom) {
		f.counters.headRefusals.Inc()
		return sendAnswer(stream, refusedAnswer(&messenger.Request{Number: number}, messenger.ReasonQueue))
	}
	if err != nil {
		return err
	}
	if answer, ok := f.checkOwner(&request); !ok {
		return sendAnswer(stream, answer)
	}
	body, err := receiveBody(stream, request.Length)
	if err != nil {
		return err
	}
	f.counters.served.Inc()
	ctx, cancel := context.WithTimeout(ctx, request.Timeout)
	defer cancel()
	answer := f.options.Runner.Execute(ctx, &request, body)
	defer answer.Close()
	return sendAnswer(stream, answer)
}

// checkOwner returns a refusal and false unless this router owns the key of the
// request.
func (f *Forwarder) checkOwner(request *messenger.Request) (executor.Answer, bool) {
	if !f.options.Lease.IsLeaseValid(timer.Now()) {
		return refusedAnswer(request, messenger.ReasonLease), false
	}
	table := f.options.Locator.Load()
	place, _ := table.Locate(request.Service, request.Key)
	if place.Owner == nil || place.Owner.Session != f.options.Lease.Session() {
		f.counters.misrouted.Inc()
		if request.Revision > table.Revision() {
			f.options.RequestUpdate()
		}
		answer := refusedAnswer(request, messenger.ReasonMisrouted)
		answer.Response.Revision = table.Revision()
		return answer, false
	}
	return executor.Answer{}, true
}

// receiveBody reads the part of a body that must be received before the request
// may run: all of it, or more than BufferSize bytes.
func receiveBody(stream *linker.Stream, length int64) (io.Reader, error) {
	prefix, complete, err := readPrefix(stream, length)
	if err != nil {
		return nil, Error.New("receiving the body: %w", err)
	}
	if complete {
		return bytes.NewReader(prefix), nil
	}
	return io.MultiReader(bytes.NewReader(prefix), stream), nil
}

// sendAnswer sends an answer. If reading the body fails, the stream gets no last
// frame, so the entry router detects the truncation.
func sendAnswer(stream *linker.Stream, answer executor.Answer) error {
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

// outcome returns the outcome of a request. If this router has another session
// than the one that the request was sent to, it cannot rule out that the request
// ran, so the outcome is not refused.
func (f *Forwarder) outcome(ctx context.Context, query *messenger.OutcomeQuery) *messenger.OutcomeResponse {
	answer := f.options.Runner.Outcome(ctx, query)
	if answer.Outcome == messenger.OutcomeRefused && query.Session != f.options.Lease.Session() {
		return &messenger.OutcomeResponse{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonLost}
	}
	return &answer
}
