package linker

import (
	"context"
	"errors"
	"sync"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
	"marigoldhill/kernel/timer"
)

// Pool keeps one link per address and dials again, on demand, when a link has
// ended. Its methods are safe for concurrent use.
type Pool struct {
	network networker.Network
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	dials   sync.WaitGroup

	mu       sync.Mutex
	attempts map[string]*dialAttempt
}

// dialAttempt is one attempt to open a link, shared by all callers that need the
// link. link, err, finishedAt and paused may be read only after done is closed.
type dialAttempt struct {
	done       chan struct{}
	link       *Link
	err        error
	finishedAt time.Time
	// paused is set if this process did not run during a part of the attempt, so that a
	// failure says nothing about the peer.
	paused bool
	// previousFailed reports whether the address was already unreachable when the
	// attempt started.
	previousFailed bool
}

// NewPool returns a Pool that dials over network with the given options.
func NewPool(network networker.Network, options Options) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		network:  network,
		options:  options,
		ctx:      ctx,
		cancel:   cancel,
		attempts: make(map[string]*dialAttempt),
	}
}

// Open opens a stream to address. An error that wraps ErrNotConnected means that
// nothing was sent.
func (p *Pool) Open(ctx context.Context, address string, kind messenger.Kind) (*Stream, error) {
	link, err := p.getLink(ctx, address)
	if err != nil {
		return nil, err
	}
	stream, err := link.Open(ctx, kind)
	if err != nil {
		return nil, Error.New("%w: %w", ErrNotConnected, err)
	}
	return stream, nil
}

// Peer returns the hello message of the process at address. An error that wraps
// ErrNotConnected means that there is no connection to it.
func (p *Pool) Peer(ctx context.Context, address string) (messenger.Hello, error) {
	link, err := p.getLink(ctx, address)
	if err != nil {
		return messenger.Hello{}, err
	}
	return link.Peer(), nil
}

// getLink returns the link to address, waiting for the dial attempt in progress if
// there is one.
func (p *Pool) getLink(ctx context.Context, address string) (*Link, error) {
	attempt, err := p.dialAttempt(address)
	if err != nil {
		return nil, err
	}
	select {
	case <-attempt.done:
	case <-ctx.Done():
		return nil, Error.New("%w: %w", ErrNotConnected, context.Cause(ctx))
	}
	return attempt.link, attempt.err
}

// dialAttempt returns the latest attempt to open a link to address. It starts a new
// one if there is none, if the latest failed more than RedialBackoff ago, or if its link
// has ended.
func (p *Pool) dialAttempt(address string) (*dialAttempt, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return nil, Error.New("%w: pool: %w", ErrNotConnected, ErrClosed)
	}
	previous, ok := p.attempts[address]
	if ok && previous.isUsable() {
		return previous, nil
	}
	attempt := &dialAttempt{done: make(chan struct{}), previousFailed: ok && previous.isUnreachable()}
	p.attempts[address] = attempt
	p.dials.Go(func() { p.dial(address, attempt) })
	return attempt, nil
}

// isUsable reports whether no new attempt is needed: this one is in progress, its
// link is open, or it failed less than RedialBackoff ago.
func (a *dialAttempt) isUsable() bool {
	select {
	case <-a.done:
	default:
		return true
	}
	if a.err != nil {
		return time.Since(a.finishedAt) < RedialBackoff
	}
	return a.link.ctx.Err() == nil
}

// dial runs one attempt. It doesn't use the context of the caller that started it,
// since other callers wait for the same link; Dial has its own timeout.
func (p *Pool) dial(address string, attempt *dialAttempt) {
	defer close(attempt.done)
	stopwatch := timer.StartStopwatch()
	attempt.link, attempt.err = Dial(p.ctx, p.network, address, p.options)
	attempt.finishedAt = time.Now()
	attempt.paused = stopwatch.Paused() > 0
}

// Close ends all links.
func (p *Pool) Close() {
	p.mu.Lock()
	p.cancel()
	previous := p.attempts
	p.attempts = make(map[string]*dialAttempt)
	p.mu.Unlock()
	p.dials.Wait()
	for _, a := range previous {
		if a.link != nil {
			a.link.Close()
			a.link.tasks.Wait()
		}
	}
}

// Opener opens streams by address. [Pool] implements it.
type Opener interface {
	Open(ctx context.Context, address string, kind messenger.Kind) (*Stream, error)
}

// Call sends one message on a new stream and waits for one response.
func Call[Q, R any](ctx context.Context, opener Opener, address string, kind messenger.Kind, query *Q) (*R, error) {
	stream, err := opener.Open(ctx, address, kind)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	sendErr := stream.Send(query)
	if sendErr == nil {
		sendErr = stream.CloseWrite()
	}
	// A peer that answers before it has read the whole query closes the stream,
	// which resets it. Its response can still be received.
	if sendErr != nil && !errors.Is(sendErr, ErrReset) {
		return nil, sendErr
	}
	response := new(R)
	if err := stream.Receive(response); err != nil {
		return nil, err
	}
	return response, nil
}

// Respond serves one [Call]: it receives the query, calls serve and sends the
// response.
func Respond[Q, R any](stream *Stream, serve func(query *Q) (*R, error)) error {
	query := new(Q)
	if err := stream.Receive(query); err != nil {
		return err
	}
	response, err := serve(query)
	if err != nil {
		return err
	}
	if err := stream.Send(response); err != nil {
		return err
	}
	return stream.CloseWrite()
}
