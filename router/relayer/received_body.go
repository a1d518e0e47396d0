package relayer

import (
	"bytes"
	"context"
	"io"
	"time"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
	"marigoldhill/router/inviter"
	"marigoldhill/router/queuer"
)

const (
	// maxHeadBytes is how much of a large body is received before the request gets a
	// slot of the server, so that a slow caller does not hold a slot while it sends. It is
	// the whole of most bodies.
	maxHeadBytes = 256 << 10
	// maxHeldBytes bounds the memory of all such heads of one router.
	maxHeldBytes = 16 << 20
	// unknownBodyBytes is the size that is assumed for a body of unknown length.
	unknownBodyBytes = 64 << 10
)

// remoteBody is the body of a request from another router.
type remoteBody struct {
	stream *linker.Stream
	// withheld is true while the entry router waits for an invitation.
	withheld bool
}

// Read implements io.Reader.
func (b *remoteBody) Read(data []byte) (int, error) {
	return b.stream.Read(data)
}

// invite asks the entry router for the body.
func (b *remoteBody) invite() error {
	return b.answer(true)
}

// decline tells the entry router that the body will not be read, unless it was invited.
func (b *remoteBody) decline() error {
	return b.answer(false)
}

func (b *remoteBody) answer(invited bool) error {
	if !b.withheld {
		return nil
	}
	b.withheld = false
	if err := b.stream.Send(&messenger.RelayInvitation{Invited: invited}); err != nil {
		return Error.New("sending the invitation: %w", err)
	}
	return nil
}

// receive invites a large body, receives its head and extends the fingerprint of the request
// by it. Most refusals come before any of the body was sent. The result must be released.
func (o *Owner) receive(ctx context.Context, relay *messenger.Relay, job queuer.Job, body io.Reader) (*receivedBody, *messenger.RelayResponse) {
	if refused := o.options.Admission.Check(job); refused != nil {
		o.link.countRefusal(refused)
		return nil, refusedResponse(refused.Reason, refused.RetryAfter)
	}
	received := &receivedBody{owner: o, rest: body}
	received.held = maxHeadBytes
	if relay.Length >= 0 {
		received.held = min(relay.Length, maxHeadBytes)
	}
	if o.held.Add(received.held) > maxHeldBytes {
		received.release()
		return nil, refusedResponse(messenger.ReasonQueue, defaultRetryAfter)
	}
	if refusal := o.invite(ctx, relay, job, received); refusal != nil {
		received.release()
		return nil, refusal
	}
	ctx, cancel := context.WithTimeout(ctx, relay.Left)
	defer cancel()
	content, err := received.readHead(ctx)
	if err != nil {
		received.release()
		return nil, refusedResponse(contextReason(ctx), 0)
	}
	relay.Fingerprint = extendFingerprint(relay.Fingerprint, content)
	if o.options.IsQuarantined(relay.Fingerprint) {
		received.release()
		return nil, refusedResponse(messenger.ReasonQuarantine, 0)
	}
	return received, nil
}

// invite invites the body of a request from another router when the link has room for
// it. It returns a refusal if the body cannot arrive in time.
func (o *Owner) invite(ctx context.Context, relay *messenger.Relay, job queuer.Job, received *receivedBody) *messenger.RelayResponse {
	remote, ok := received.rest.(*remoteBody)
	if !ok {
		return nil
	}
	size := relay.Length
	if size < 0 {
		size = unknownBodyBytes
	}
	cost := o.options.Admission.JobCost(job)
	now := o.options.Inbound.Now()
	wait, refusal := o.options.Inbound.Reserve(now, inviter.Body{
		Bytes:    size,
		Aim:      now + min(relay.Aim, relay.Left) - cost,
		Deadline: now + relay.Left - cost,
	})
	if refusal != nil {
		return refusedResponse(messenger.ReasonQueue, refusal.RetryAfter)
	}
	received.reserved = size
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return refusedResponse(contextReason(ctx), 0)
		}
	}
	if err := remote.invite(); err != nil {
		return refusedResponse(messenger.ReasonCanceled, 0)
	}
	return nil
}

// receivedBody is a large body whose head is in memory.
type receivedBody struct {
	owner *Owner
	head  bytes.Reader
	rest  io.Reader
	// held is the part of Owner.held that this body takes.
	held int64
	// reserved is the part of the reservation of the link that was not returned yet: the
	// link charges all bytes on arrival, those of a reserved body too.
	reserved int64
}

// readHead reads up to maxHeadBytes and returns them. It stops waiting for the caller when ctx
// is done.
func (b *receivedBody) readHead(ctx context.Context) ([]byte, error) {
	type result struct {
		data []byte
		err  error
	}
	done := make(chan result, 1)
	rest, limit := b.rest, b.held
	go func() {
		data, err := io.ReadAll(io.LimitReader(rest, limit))
		done <- result{data, err}
	}()
	select {
	case read := <-done:
		if read.err != nil {
			return nil, Error.New("receiving the body: %w", read.err)
		}
		b.head.Reset(read.data)
		b.unreserve(int64(len(read.data)))
		return read.data, nil
	case <-ctx.Done():
		return nil, Error.New("waiting for the body: %w", context.Cause(ctx))
	}
}

// Read implements io.Reader.
func (b *receivedBody) Read(data []byte) (int, error) {
	if b.head.Len() > 0 {
		return b.head.Read(data)
	}
	n, err := b.rest.Read(data)
	if err != nil && err != io.EOF {
		return n, Error.New("receiving the body: %w", err)
	}
	return n, err
}

// unreserve returns size bytes of the reservation.
func (b *receivedBody) unreserve(size int64) {
	size = min(size, b.reserved)
	b.reserved -= size
	if size > 0 {
		b.owner.options.Inbound.Charge(b.owner.options.Inbound.Now(), -size)
	}
}

// release ends the account of the body.
func (b *receivedBody) release() {
	b.owner.held.Add(-b.held)
	b.held = 0
	b.unreserve(b.reserved)
}
