package linker

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"marigoldhill/kernel/framer"
	"marigoldhill/kernel/limiter"
	"marigoldhill/kernel/networker"
)

// acceptRetryDelay is the time between two attempts to accept a connection after a failure.
const acceptRetryDelay = 20 * time.Millisecond

// Server accepts links on one address.
type Server struct {
	listener net.Listener
	options  Options

	mu     sync.Mutex
	links  map[*Link]struct{}
	closed bool
	tasks  sync.WaitGroup
}

// Listen opens a listener on address and serves the links that peers open.
func Listen(network networker.Network, address string, options Options) (*Server, error) {
	listener, err := network.Listen(address)
	if err != nil {
		return nil, Error.New("opening the listener: %w", err)
	}
	server := &Server{listener: listener, options: options, links: make(map[*Link]struct{})}
	server.tasks.Go(server.acceptLoop)
	return server, nil
}

// Address returns the address of the listener, with the port that was assigned.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Drain waits for each link that is open now until no stream is open on it and the
// peer has received all data sent before, or until ctx is done. New streams are
// still served. It returns the number of links on which streams were still open.
func (s *Server) Drain(ctx context.Context) (busy int) {
	s.mu.Lock()
	var tasks sync.WaitGroup
	var busyLinks atomic.Int64
	for link := range s.links {
		tasks.Go(func() {
			link.drain(ctx)
			if link.hasOpenStreams() {
				busyLinks.Add(1)
			}
		})
	}
	s.mu.Unlock()
	tasks.Wait()
	return int(busyLinks.Load())
}

// Close closes the listener and all links and waits for their handlers to return.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	links := s.links
	s.links = make(map[*Link]struct{})
	s.mu.Unlock()
	err := s.listener.Close()
	for link := range links {
		link.Close()
	}
	s.tasks.Wait()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return Error.New("closing the listener: %w", err)
	}
	return nil
}

func (s *Server) acceptLoop() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The process has no descriptor left, or the peer is gone already.
			s.options.count("accept_failures", "network")
			if s.isClosedAfter(acceptRetryDelay) {
				return
			}
			continue
		}
		account, err := s.options.open(conn)
		if err != nil {
			_ = conn.Close()
			continue
		}
		s.tasks.Go(func() { s.serve(conn, account) })
	}
}

// isClosedAfter waits, and reports whether the server was closed.
func (s *Server) isClosedAfter(delay time.Duration) bool {
	time.Sleep(delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// handshakeWithin performs the handshake of a connection that a peer opened. account is that
// of the connection until then, nil without a budget.
func (l *Link) handshakeWithin(account *limiter.Account) error {
	if account == nil {
		return l.handshake()
	}
	defer account.Close()
	if err := account.Reserve(framer.MaxPayloadBytes); err != nil {
		return Error.New("before the handshake: %w", err)
	}
	return l.handshake()
}

// open returns the account of a new connection, nil without a budget.
func (o *Options) open(conn net.Conn) (*limiter.Account, error) {
	if o.Budget == nil {
		return nil, nil
	}
	return o.Budget.Open(func() { _ = conn.Close() })
}

func (s *Server) serve(conn net.Conn, account *limiter.Account) {
	link := newLink(conn, s.options, false)
	if err := link.handshakeWithin(account); err != nil {
		_ = conn.Close()
		return
	}
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		_ = conn.Close()
		return
	}
	s.links[link] = struct{}{}
	s.mu.Unlock()
	link.run()
	link.tasks.Wait()
	s.mu.Lock()
	delete(s.links, link)
	s.mu.Unlock()
}
