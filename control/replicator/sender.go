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
	// maxQueuedMessages is the size of the queue for a peer. If it is full, the
	// oldest message is dropped.
	maxQueuedMessages = 256
	// dialTimeout limits the time to open a stream to a peer.
	dialTimeout = time.Second
	// redialDelay is the delay after a failed attempt to connect or send.
	redialDelay = 50 * time.Millisecond
)

// messageBatch is the unit of transfer on a stream of KindReplica.
type messageBatch struct {
	// Address is the listen address of the sender.
	Address  string
	Messages []elector.Message
}

// sender queues and sends messages to one peer.
type sender struct {
	opener       linker.Opener
	localAddress string
	address      string
	counters     *counters
	ctx          context.Context
	stop         context.CancelFunc
	wake         chan struct{}

	mu    sync.Mutex
	queue []elector.Message
}

// send queues messages at the senders of their receivers. Messages to peers with an
// unknown address are dropped.
func (r *Replica) send(messages []elector.Message) {
	for _, message := range messages {
		if s := r.senderOf(message.To); s != nil {
			s.push(message)
		}
	}
}

// senderOf returns the sender for a peer, or nil if the address is not known. It
// replaces the sender if the address has changed.
func (r *Replica) senderOf(name string) *sender {
	address := r.addresses[name]
	if member, ok := r.status.Group.Find(name); ok {
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
		opener:       r.options.Opener,
		localAddress: r.options.Member.Address,
		address:      address,
		counters:     &r.counters,
		wake:         make(chan struct{}, 1),
	}
	s.ctx, s.stop = context.WithCancel(r.ctx)
	r.tasks.Go(s.run)
	return s
}

// push queues a message. If the queue is full, it drops the oldest one.
func (s *sender) push(message elector.Message) {
	s.mu.Lock()
	s.queue = append(s.queue, message)
	if len(s.queue) > maxQueuedMessages {
		s.queue = s.queue[1:]
		s.counters.queueDrops.Inc()
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *sender) popAll() []elector.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	messages := s.queue
	s.queue = nil
	return messages
}

// run sends queued messages. It reuses one stream until a send fails.
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
		if stream, err = s.sendAll(stream, s.popAll()); err != nil {
			s.counters.sendFailures.Inc()
			stream = nil
			s.waitToRedial()
		}
	}
}

// sendAll sends messages over stream, or over a new one if it is nil, and returns
// the stream to use next.
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
	if err := stream.Send(&messageBatch{Address: s.localAddress, Messages: messages}); err != nil {
		stream.Close()
		return nil, Error.New("sending to %s: %w", s.address, err)
	}
	return stream, nil
}

// open opens a stream within dialTimeout. The timeout does not apply to the stream
// once it is open.
func (s *sender) open() (*linker.Stream, error) {
	ctx, cancel := context.WithCancel(s.ctx)
	limit := time.AfterFunc(dialTimeout, cancel)
	stream, err := s.opener.Open(ctx, s.address, messenger.KindReplica)
	if err != nil || !limit.Stop() {
		cancel()
		return nil, Error.New("opening a stream to %s: %w", s.address, err)
	}
	context.AfterFunc(stream.Context(), cancel)
	return stream, nil
}

func (s *sender) waitToRedial() {
	select {
	case <-time.After(redialDelay):
	case <-s.ctx.Done():
	}
}

// OnMisdirected sets a function that is called with the address of a replica that sends messages
// to another identity, which had the address of this one. It must be set before the first call of
// Handle.
func (r *Replica) OnMisdirected(report func(address string)) {
	r.onMisdirected = report
}

// Handle serves a stream of KindReplica opened by another replica. It refuses
// peers of other roles, and messages that are not from that peer to this replica.
func (r *Replica) Handle(ctx context.Context, link *linker.Link, stream *linker.Stream) {
	peer := link.Peer()
	if peer.Role != messenger.RoleControl {
		r.counters.countRefusal("role")
		return
	}
	for {
		var batch messageBatch
		if err := stream.Receive(&batch); err != nil {
			return
		}
		for _, message := range batch.Messages {
			if message.From != peer.Name || message.To != r.options.Member.Name {
				r.counters.countRefusal("address")
				if message.From == peer.Name && r.onMisdirected != nil {
					r.onMisdirected(batch.Address)
				}
				return
			}
			if err := r.submit(ctx, messageInput{address: batch.Address, evacuates: peer.Evacuates, message: message}); err != nil {
				return
			}
		}
	}
}
