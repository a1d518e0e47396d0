package linker

import (
	"context"
	"sync"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
)

// Pool keeps one link to each address and dials a new one when it ended. Its
// methods are safe for concurrent use.
type Pool struct {
	network networker.Network
	options Options

	mu     sync.Mutex
	links  map[string]*slot
	closed bool
}

// slot is the link to one address. Its turn lets one goroutine dial; it is a
// channel, so that waiting for it ends with the context.
type slot struct {
	turn chan struct{}
	link *Link
}

// NewPool returns a Pool that dials with options.
func NewPool(network networker.Network, options Options) *Pool {
	return &Pool{network: network, options: options, links: make(map[string]*slot)}
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

func (p *Pool) get(ctx context.Context, address string) (*Link, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, Error.New("%w: pool: %w", ErrDial, ErrClosed)
	}
	place, ok := p.links[address]
	if !ok {
		place = &slot{turn: make(chan struct{}, 1)}
		p.links[address] = place
	}
	p.mu.Unlock()
	return place.get(ctx, p, address)
}

func (s *slot) get(ctx context.Context, pool *Pool, address string) (*Link, error) {
	select {
	case s.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, Error.New("%w: %w", ErrDial, context.Cause(ctx))
	}
	defer func() { <-s.turn }()
	if s.link != nil && s.link.ctx.Err() == nil {
		return s.link, nil
	}
	link, err := Dial(ctx, pool.network, address, pool.options)
	if err != nil {
		return nil, err
	}
	s.link = link
	return link, nil
}

// Close ends all links.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	places := p.links
	p.links = make(map[string]*slot)
	p.mu.Unlock()
	for _, place := range places {
		place.turn <- struct{}{}
		if place.link != nil {
			place.link.Close()
			place.link.tasks.Wait()
		}
		<-place.turn
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
	if err := stream.Send(query); err != nil {
		return nil, err
	}
	if err := stream.CloseWrite(); err != nil {
		return nil, err
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
