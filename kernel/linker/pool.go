package linker

import (
	"context"
	"errors"
	"sync"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
)

// Pool keeps one link to each address and dials a new one when it ended. Its
// methods are safe for concurrent use.
type Pool struct {
	network networker.Network
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	dials   sync.WaitGroup

	mu    sync.Mutex
	links map[string]*attempt
}

// attempt is one try to open a link, which all who want it share. Its fields may
// be read once done is closed.
type attempt struct {
	done   chan struct{}
	link   *Link
	err    error
	failed time.Time
	// again says that the try before this one failed, too.
	again bool
}

// NewPool returns a Pool that dials with options.
func NewPool(network networker.Network, options Options) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		network: network,
		options: options,
		ctx:     ctx,
		cancel:  cancel,
		links:   make(map[string]*attempt),
	}
}

// Open opens a stream to address. An error that wraps ErrDial means that
// nothing was sent.
func (p *Pool) Open(ctx context.Context, address string, kind messenger.Kind) (*Stream, error) {
	link, err := p.get(ctx, address)
	if err != nil {
		return nil, err
	}
	stream, err := link.Open(ctx, kind)
	if err != nil {
		return nil, Error.New("%w: %w", ErrDial, err)
	}
	return stream, nil
}

// get returns the link to address, or waits for one that is being opened.
func (p *Pool) get(ctx context.Context, address string) (*Link, error) {
	a, err := p.attempt(address)
	if err != nil {
		return nil, err
	}
	select {
	case <-a.done:
	case <-ctx.Done():
		return nil, Error.New("%w: %w", ErrDial, context.Cause(ctx))
	}
	return a.link, a.err
}

// attempt returns the newest try to open a link to address, a new one when
// that was in vain or its link has ended.
func (p *Pool) attempt(address string) (*attempt, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return nil, Error.New("%w: pool: %w", ErrDial, ErrClosed)
	}
	before, ok := p.links[address]
	if ok && before.isFresh() {
		return before, nil
	}
	a := &attempt{done: make(chan struct{}), again: ok && before.isFailing()}
	p.links[address] = a
	p.dials.Go(func() { p.dial(address, a) })
	return a, nil
}

// isFresh reports whether an attempt still stands: it is under way, its link
// lives, or it failed just now.
func (a *attempt) isFresh() bool {
	select {
	case <-a.done:
	default:
		return true
	}
	if a.err != nil {
		return time.Since(a.failed) < DialPause
	}
	return a.link.ctx.Err() == nil
}

// dial runs without the context of the caller that came first, since others
// wait for the same link; Dial bounds it.
func (p *Pool) dial(address string, a *attempt) {
	defer close(a.done)
	a.link, a.err = Dial(p.ctx, p.network, address, p.options)
	a.failed = time.Now()
}

// Close ends all links.
func (p *Pool) Close() {
	p.mu.Lock()
	p.cancel()
	attempts := p.links
	p.links = make(map[string]*attempt)
	p.mu.Unlock()
	p.dials.Wait()
	for _, a := range attempts {
		if a.link != nil {
			a.link.Close()
			a.link.tasks.Wait()
		}
	}
}

// Opener opens streams by address; [Pool] is one.
type Opener interface {
	Open(ctx context.Context, address string, kind messenger.Kind) (*Stream, error)
}

// Call sends one message on a stream of its own and waits for one answer.
func Call[Q, A any](ctx context.Context, opener Opener, address string, kind messenger.Kind, query *Q) (*A, error) {
	stream, err := opener.Open(ctx, address, kind)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	sending := stream.Send(query)
	if sending == nil {
		sending = stream.CloseWrite()
	}
	// A peer that has answered early leaves the stream, which resets it; its answer is
	// there all the same.
	if sending != nil && !errors.Is(sending, ErrReset) {
		return nil, sending
	}
	answer := new(A)
	if err := stream.Receive(answer); err != nil {
		return nil, err
	}
	return answer, nil
}

// Answer serves one Call: it receives the query, asks serve and sends the
// answer.
func Answer[Q, A any](stream *Stream, serve func(query *Q) (*A, error)) error {
	query := new(Q)
	if err := stream.Receive(query); err != nil {
		return err
	}
	answer, err := serve(query)
	if err != nil {
		return err
	}
	if err := stream.Send(answer); err != nil {
		return err
	}
	return stream.CloseWrite()
}
