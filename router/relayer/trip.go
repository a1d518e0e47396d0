package relayer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/router/chooser"
	"marigoldhill/router/mapper"
)

const (
	// moveTime is how long a request waits for the new owner of a key that
	// moves: a planned move takes two heartbeats.
	moveTime = 500 * time.Millisecond
	// waitPart is the part of its time that a request waits for an owner. Later
	// an answer could hardly be there in time.
	waitPart = 0.35
	// lostAfter is when a caller should come back whose key has lost its owner.
	// The lease of the lost one has to lapse first.
	lostAfter = 800 * time.Millisecond
	// headBytes is about the size of the heads of a request and its answer.
	headBytes = 600
	// homePart is the part of its aim that a request may take longer in its own
	// failure domain than elsewhere. A server takes about a third of the aim, so
	// that the answer is mostly still in time; home refuses what would be late.
	homePart = 0.8
	// busyTries is how many servers that are full a request asks.
	busyTries = 3
	// shedAfter is when a caller should come back that nobody had room for and
	// who was not told when.
	shedAfter = 150 * time.Millisecond
)

// trip is one call on its way through the entry.
type trip struct {
	entry   *Entry
	call    *Call
	route   *mapper.Route
	service string
	keyless bool
	begun   time.Time
	// limit is how long the call may take.
	limit time.Duration
	// body is the whole body when replays is true; otherwise it can be sent once.
	body    []byte
	replays bool

	// sends counts arrivals at backend servers, last is the newest server.
	sends   int
	last    string
	tried   []uint64
	busy    int
	version uint64
	// waited is how long the caller had waited before this attempt.
	waited time.Duration
	// ran says that a send may have run.
	ran bool
}

func (t *trip) left() time.Duration {
	return t.limit - time.Since(t.begun)
}

// run sends the request until it is answered or given up.
func (t *trip) run(ctx context.Context) Answer {
	var err error
	if t.body, t.replays, err = readBody(t.call); err != nil {
		return t.refuse(messenger.ReasonCanceled, 0)
	}
	for {
		routes := t.entry.options.Mapper.Load()
		if t.left() <= 0 {
			return t.giveUp(endOf(ctx))
		}
		t.version = routes.Configuration.Version
		server, reason := t.choose(routes)
		if server == nil {
			if !t.wait(ctx, routes, reason) {
				return t.refuse(reason, t.after(reason, 0))
			}
			continue
		}
		answer, again := t.send(ctx, server)
		if !again {
			return answer
		}
	}
}

// choose picks the server for the next send, or says why there is none.
func (t *trip) choose(routes *mapper.Map) (*mapper.Server, messenger.Reason) {
	if !t.keyless {
		return t.owner(routes)
	}
	servers := routes.Servers(t.service)
	candidates := make([]chooser.Candidate, 0, len(servers))
	for _, server := range servers {
		if server.Leaving {
			continue
		}
		candidates = append(candidates, chooser.Candidate{
			Session: server.Session, Domain: server.Domain, Slots: server.Row.Slots, Cold: server.Row.Cold,
		})
	}
	session := t.entry.board.Choose(t.entry.now(), candidates, chooser.Wish{
		Domain:   t.entry.options.Domain,
		Aim:      t.route.Treatment.Aim,
		Bytes:    t.entry.sizeOf(t.route.Name) + headBytes,
		Patience: time.Duration(homePart * float64(t.route.Treatment.Aim)),
		Avoid:    t.tried,
	})
	for _, server := range servers {
		if server.Session == session {
			return server, messenger.ReasonNone
		}
	}
	if t.busy > 0 {
		return nil, messenger.ReasonQueue
	}
	return nil, messenger.ReasonDown
}

func (t *trip) owner(routes *mapper.Map) (*mapper.Server, messenger.Reason) {
	if t.call.Key == messenger.NoKey {
		return nil, messenger.ReasonMalformed
	}
	server, holding := routes.Owner(t.service, uint32(t.call.Key))
	switch {
	case server == nil:
		return nil, messenger.ReasonUnowned
	case !slices.Contains(t.tried, server.Session):
		// The owner of a key that moves serves it until it has released it.
		return server, messenger.ReasonNone
	case holding.Phase == messenger.PhaseMoving:
		return nil, messenger.ReasonMoving
	}
	return nil, messenger.ReasonMisrouted
}

// awaited is what a request waits for that the owner of its key did not take.
func (t *trip) awaited(routes *mapper.Map) messenger.Reason {
	if _, holding := routes.Owner(t.service, uint32(t.call.Key)); holding.Phase == messenger.PhaseMoving {
		return messenger.ReasonMoving
	}
	return messenger.ReasonMisrouted
}

// wait waits for a newer map, when the request can still be served then.
func (t *trip) wait(ctx context.Context, routes *mapper.Map, reason messenger.Reason) bool {
	switch reason {
	case messenger.ReasonUnowned, messenger.ReasonMoving, messenger.ReasonMisrouted:
	default:
		return false
	}
	limit := min(moveTime, time.Duration(waitPart*float64(t.limit))) - time.Since(t.begun)
	if limit <= 0 {
		return false
	}
	t.entry.options.Hasten()
	expiry := time.NewTimer(limit)
	defer expiry.Stop()
	hasten := time.NewTicker(hastenInterval)
	defer hasten.Stop()
	for {
		select {
		case <-routes.Next():
			// An owner that did not have the key yet may have it now.
			t.tried = nil
			return true
		case <-hasten.C:
			t.entry.options.Hasten()
			if reason == messenger.ReasonMisrouted {
				// The owner may learn of the key later than this router did, and
				// then no newer map comes.
				t.tried = nil
				return true
			}
		case <-expiry.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// hastenInterval is the time between two requests for news while a call waits.
const hastenInterval = 80 * time.Millisecond

// send sends the request to one server. With again it is to be sent once more.
func (t *trip) send(ctx context.Context, server *mapper.Server) (answer Answer, again bool) {
	if t.sends == 0 {
		t.entry.options.Budget.Sent(t.entry.now(), t.service)
	}
	t.last = server.Row.Name
	relay := t.relay()
	t.entry.board.Begin(server.Session)
	reply, body := t.deliver(ctx, server, relay)
	t.entry.board.End(t.entry.now(), server.Session, &reply.Load, isFailure(reply))
	if reply.Ran {
		t.sends++
	}
	switch reply.Outcome {
	case messenger.OutcomeDone:
		t.entry.learnSize(t.route.Name, reply.Length)
		return Answer{Outcome: reply.Outcome, Status: reply.Status, Header: reply.Header, Length: reply.Length, Body: body}, false
	case messenger.OutcomeRefused:
		return t.refused(ctx, server, reply)
	}
	t.ran = true
	return t.unknown(ctx, server, reply)
}

// isFailure reports whether an answer speaks against its server.
func isFailure(reply *messenger.RelayAnswer) bool {
	switch reply.Outcome {
	case messenger.OutcomeDone:
		return reply.Status >= http.StatusInternalServerError
	case messenger.OutcomeUnknown:
		return reply.Reason != messenger.ReasonCanceled && reply.Reason != messenger.ReasonExpired
	}
	return reply.Ran || reply.Reason == messenger.ReasonUnreachable || reply.Reason == messenger.ReasonDown
}

func (t *trip) relay() *messenger.Relay {
	treatment := &t.route.Treatment
	return &messenger.Relay{
		ID:      t.call.ID,
		Service: t.service,
		Route:   t.route.Name,
		Key:     t.key(),
		Caller:  t.entry.options.Service,
		Method:  t.call.Method,
		Target:  t.call.Target,
		Host:    t.call.Host,
		Header:  t.call.Header,
		Length:  t.call.Length,
		Rank:    treatment.Rank,
		Aim:     max(treatment.Aim-t.waited-time.Since(t.begun), 0),
		Left:    t.left(),
		Grace:   graceTime,
		Version: t.version,
	}
}

func (t *trip) key() int32 {
	if t.keyless {
		return messenger.NoKey
	}
	return t.call.Key
}

// refused handles an answer of a request that did not run.
func (t *trip) refused(ctx context.Context, server *mapper.Server, reply *messenger.RelayAnswer) (Answer, bool) {
	if t.keyless || reply.Reason != messenger.ReasonShed {
		// A server that sheds a request for its own key may take it the next time.
		t.tried = append(t.tried, server.Session)
	}
	if ctx.Err() != nil {
		return t.giveUp(endOf(ctx)), false
	}
	if reply.Ran {
		if t.mayRepeat() {
			return Answer{}, true
		}
		return t.refuse(reply.Reason, shedAfter), false
	}
	switch reply.Reason {
	case messenger.ReasonMisrouted, messenger.ReasonMoving, messenger.ReasonDraining,
		messenger.ReasonDown, messenger.ReasonUnreachable, messenger.ReasonStopping:
		if t.keyless {
			return Answer{}, true
		}
		routes := t.entry.options.Mapper.Load()
		if t.wait(ctx, routes, t.awaited(routes)) {
			return Answer{}, true
		}
	case messenger.ReasonQueue, messenger.ReasonDeadline:
		t.busy++
		if t.keyless && t.busy < busyTries && t.replays {
			return Answer{}, true
		}
	}
	return t.refuse(reply.Reason, t.after(reply.Reason, reply.RetryAfter)), false
}

// mayRepeat spends a repeat, when route and budget allow one and the body can be
// sent again.
func (t *trip) mayRepeat() bool {
	if !t.replays || t.sends >= t.route.Treatment.Attempts {
		return false
	}
	return t.entry.options.Budget.Take(t.entry.now(), t.service, t.entry.options.Mapper.Load().Routers())
}

// unknown handles a request that may have run.
func (t *trip) unknown(ctx context.Context, server *mapper.Server, reply *messenger.RelayAnswer) (Answer, bool) {
	if ctx.Err() != nil {
		return t.giveUp(endOf(ctx)), false
	}
	if !t.route.Treatment.Idempotent || !t.mayRepeat() {
		return Answer{Outcome: messenger.OutcomeUnknown, Reason: reply.Reason}, false
	}
	if t.keyless {
		t.tried = append(t.tried, server.Session)
	}
	return Answer{}, true
}

// giveUp answers a call whose time is over.
func (t *trip) giveUp(reason messenger.Reason) Answer {
	if !t.ran {
		return Answer{Outcome: messenger.OutcomeRefused, Reason: reason}
	}
	if reason == messenger.ReasonDeadline {
		reason = messenger.ReasonExpired
	}
	return Answer{Outcome: messenger.OutcomeUnknown, Reason: reason}
}

// refuse answers that the request is given up. It was not run, unless an earlier
// send may have been.
func (t *trip) refuse(reason messenger.Reason, after time.Duration) Answer {
	if t.ran {
		return Answer{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonLost}
	}
	return Answer{Outcome: messenger.OutcomeRefused, Reason: reason, RetryAfter: after}
}

// after is when a refused caller should come back.
func (t *trip) after(reason messenger.Reason, told time.Duration) time.Duration {
	switch {
	case told > 0:
		return jitter(told)
	case reason == messenger.ReasonUnreachable || reason == messenger.ReasonDown || reason == messenger.ReasonUnowned:
		return jitter(lostAfter)
	}
	return jitter(shedAfter)
}

// deliver brings a request to the router of a server, which may be this one.
func (t *trip) deliver(ctx context.Context, server *mapper.Server, relay *messenger.Relay) (*messenger.RelayAnswer, io.ReadCloser) {
	body := t.call.Body
	if t.replays {
		body = bytes.NewReader(t.body)
	}
	if server.Session == t.entry.options.Session() {
		return t.entry.options.Owner.Run(ctx, relay, body)
	}
	stream, err := t.entry.options.Opener.Open(ctx, server.Address, messenger.KindRelay)
	if err != nil {
		t.logLink(server, err)
		return refusal(messenger.ReasonUnreachable, 0), nil
	}
	reply, err := exchange(stream, relay, body, t.replays)
	if err != nil {
		stream.Close()
		t.logLink(server, err)
		if errors.Is(err, errUnsent) {
			return refusal(messenger.ReasonUnreachable, 0), nil
		}
		return &messenger.RelayAnswer{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonLost, Ran: true}, nil
	}
	if reply.Outcome != messenger.OutcomeDone {
		stream.Close()
		return reply, nil
	}
	return reply, streamBody{stream}
}

// logLink logs why a request did not come through to the router of a server.
func (t *trip) logLink(server *mapper.Server, err error) {
	t.entry.options.Log.Emit(logger.RequestFailed, "id", t.call.ID, "route", t.route.Name, "service", t.service,
		"key", t.call.Key, "version", t.version, "router", server.Router, "address", server.Address,
		"cause", "no answer of the other router", "error", err)
}

var (
	errUnsent  = errors.New("the request was not sent whole")
	errForeign = errors.New("answer belongs to another request")
)

// exchange sends a request over a stream and receives the head of its answer.
func exchange(stream *linker.Stream, relay *messenger.Relay, body io.Reader, whole bool) (*messenger.RelayAnswer, error) {
	if err := stream.Send(relay); err != nil {
		return nil, Error.New("sending the head: %w: %w", errUnsent, err)
	}
	if whole {
		_, err := io.Copy(stream, body)
		if err == nil {
			err = stream.CloseWrite()
		}
		// An owner that refuses answers before it has read the body and leaves the
		// stream, which resets it.
		if err != nil && !errors.Is(err, linker.ErrReset) {
			return nil, Error.New("sending the body: %w", err)
		}
	} else {
		go pump(stream, body)
	}
	reply := new(messenger.RelayAnswer)
	if err := stream.Receive(reply); err != nil {
		return nil, Error.New("receiving the answer: %w", err)
	}
	if reply.ID != relay.ID {
		return nil, Error.New("answer to %s: %w", reply.ID, errForeign)
	}
	return reply, nil
}

// pump sends a large body while the answer is awaited.
func pump(stream *linker.Stream, body io.Reader) {
	if _, err := io.Copy(stream, body); err != nil {
		// The owner must not take a part for the whole.
		stream.Close()
		return
	}
	_ = stream.CloseWrite()
}

// streamBody is the body of an answer from another router.
type streamBody struct {
	*linker.Stream
}

// Close implements io.Closer.
func (b streamBody) Close() error {
	b.Stream.Close()
	return nil
}
