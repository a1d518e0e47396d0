package replicator

import (
	"context"
	"sync"
	"time"

	"marigoldhill/control/elector"
	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
)

const (
	// maxQueue is how many messages wait for a peer; older ones are dropped.
	maxQueue = 256
	// dialTime bounds the opening of a stream to a peer.
	dialTime = time.Second
	// redialTime is the wait after a stream to a peer ended.
	redialTime = 50 * time.Millisecond
)

// envelope is what goes over a stream of KindReplica.
type envelope struct {
	// Address is where the sender listens.
	Address  string
	Messages []elector.Message
}

// sender sends messages to one peer.
type sender struct {
	opener   linker.Opener
	own      string
	address  string
	counters *counters
	ctx      context.Context
	stop     context.CancelFunc
	wake     chan struct{}

	mu    sync.Mutex
	queue []elector.Message
}

// send hands messages to the senders of their receivers.
func (r *Replica) send(messages []elector.Message) {
	for _, message := range messages {
		if s := r.senderOf(message.To); s != nil {
			s.push(message)
		}
	}
}

// senderOf returns the sender for a peer, or nil when its address is not known.
func (r *Replica) senderOf(name string) *sender {
	address := r.addresses[name]
	if member, ok := r.view.Group.Find(name); ok {
		address = member.Address
	}
	s, ok := r.senders[name]
	if ok && s.address == address {
		return s
	}
	if ok {
		s.stop()
		delete(r.senders, name)
	}
	if address == "" {
		return nil
	}
	s = r.newSender(address)
	r.senders[name] = s
	return s
}

func (r *Replica) newSender(address string) *sender {
	s := &sender{
		opener:   r.options.Opener,
		own:      r.options.Member.Address,
		address:  address,
		counters: &r.counters,
		wake:     make(chan struct{}, 1),
	}
	s.ctx, s.stop = context.WithCancel(r.ctx)
	r.tasks.Go(s.run)
	return s
}

// push queues a message and drops the oldest when there are too many.
func (s *sender) push(message elector.Message) {
	s.mu.Lock()
	s.queue = append(s.queue, message)
	if len(s.queue) > maxQueue {
		s.queue = s.queue[1:]
		s.counters.dropped.Inc()
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *sender) pop() []elector.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	messages := s.queue
	s.queue = nil
	return messages
}

// run sends what is queued, over one stream as long as it lasts.
func (s *sender) run() {
	var stream *linker.Stream
	for {
		select {
		case <-s.wake:
		case <-s.ctx.Done():
			if stream != nil {
				stream.Close()
			}
			return
		}
		var err error
		if stream, err = s.sendAll(stream, s.pop()); err != nil {
			s.counters.sendFailures.Inc()
			stream = nil
			s.pause()
		}
	}
}

// sendAll sends messages over the stream, or a new one when it is nil.
func (s *sender) sendAll(stream *linker.Stream, messages []elector.Message) (*linker.Stream, error) {
	if len(messages) == 0 {
		return stream, nil
	}
	if stream == nil {
		opened, err := s.open()
		if err != nil {
			return nil, err
		}
		stream = opened
	}
	if err := stream.Send(&envelope{Address: s.own, Messages: messages}); err != nil {
		stream.Close()
		return nil, Error.New("sending to %s: %w", s.address, err)
	}
	return stream, nil
}

// open opens a stream within dialTime; the stream itself lives on.
func (s *sender) open() (*linker.Stream, error) {
	ctx, cancel := context.WithCancel(s.ctx)
	limit := time.AfterFunc(dialTime, cancel)
	stream, err := s.opener.Open(ctx, s.address, messenger.KindReplica)
	if err != nil || !limit.Stop() {
		cancel()
		return nil, Error.New("opening a stream to %s: %w", s.address, err)
	}
	context.AfterFunc(stream.Context(), cancel)
	return stream, nil
}

func (s *sender) pause() {
	select {
	case <-time.After(redialTime):
	case <-s.ctx.Done():
	}
}

// Handle serves a stream of KindReplica that another replica opened.
func (r *Replica) Handle(ctx context.Context, link *linker.Link, stream *linker.Stream) {
	peer := link.Peer()
	if peer.Role != messenger.RoleControl {
		r.counters.refused("role")
		return
	}
	for {
		var letter envelope
		if err := stream.Receive(&letter); err != nil {
			return
		}
		for _, message := range letter.Messages {
			if message.From != peer.Name || message.To != r.options.Member.Name {
				r.counters.refused("address")
				return
			}
			if err := r.submit(ctx, messageInput{address: letter.Address, message: message}); err != nil {
				return
			}
		}
	}
}
