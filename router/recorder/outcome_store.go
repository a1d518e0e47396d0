package recorder

import (
	"sync"
	"time"

	"marigoldhill/kernel/hasher"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// OutcomeRetention is the minimum time for which the outcome of a request can be queried by
// its number, and for which an abandoned number is refused.
const OutcomeRetention = 15 * time.Second

// requestState is the final state of a request.
type requestState uint8

const (
	stateDone requestState = iota + 1
	stateRefused
	stateUnknown
	// stateStale means that the outcome was queried before the request arrived. The
	// number is abandoned.
	stateStale
)

// OutcomeStore stores the outcomes of requests by their numbers, for entry routers that
// lost a response. Its methods are safe for concurrent use.
//
// Finished requests are stored in two generations, under a 64-bit hash of the number,
// so that each takes a few bytes and old ones are dropped at no cost.
type OutcomeStore struct {
	mu        sync.Mutex
	running   map[string]int
	current   generation
	previous  generation
	rotatedAt timer.Instant
}

// generation holds the requests that finished in one period.
type generation struct {
	states map[uint64]requestState
	// answers holds the full responses of some of them.
	answers map[uint64]messenger.OutcomeResponse
}

func newGeneration() generation {
	return generation{
		states:  make(map[uint64]requestState),
		answers: make(map[uint64]messenger.OutcomeResponse),
	}
}

// NewOutcomeStore returns an empty OutcomeStore.
func NewOutcomeStore() *OutcomeStore {
	return &OutcomeStore{
		running:  make(map[string]int),
		current:  newGeneration(),
		previous: newGeneration(),
	}
}

// Begin registers a running request; the caller must call End when it has finished. It
// returns false if the request must not run: its number was abandoned, or it is not
// idempotent and has run before.
func (n *OutcomeStore) Begin(now timer.Instant, number string, idempotent bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rotate(now)
	known := n.lookup(number)
	if known == stateStale {
		return false
	}
	ranBefore := known == stateDone || known == stateUnknown || n.running[number] > 0
	if ranBefore && !idempotent {
		return false
	}
	n.running[number]++
	return true
}

// End stores the outcome of a request. The response to a completed idempotent request is
// not stored, since the request can be run again.
func (n *OutcomeStore) End(now timer.Instant, number string, answer messenger.OutcomeResponse, idempotent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rotate(now)
	n.running[number]--
	if n.running[number] <= 0 {
		delete(n.running, number)
	}
	hash := hasher.Sum([]byte(number))
	n.current.states[hash] = stateOf(answer.Outcome)
	if !idempotent || answer.Outcome != messenger.OutcomeDone {
		n.current.answers[hash] = answer
	}
}

func stateOf(outcome messenger.Outcome) requestState {
	switch outcome {
	case messenger.OutcomeDone:
		return stateDone
	case messenger.OutcomeRefused:
		return stateRefused
	}
	return stateUnknown
}

// Query returns the outcome of a request that was sent age ago. The number of a
// request that never arrived is abandoned: the request will be refused.
func (n *OutcomeStore) Query(now timer.Instant, number string, age time.Duration) messenger.OutcomeResponse {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rotate(now)
	if n.running[number] > 0 {
		return messenger.OutcomeResponse{Outcome: messenger.OutcomeRunning}
	}
	hash := hasher.Sum([]byte(number))
	for _, generation := range []generation{n.current, n.previous} {
		if answer, ok := generation.answers[hash]; ok {
			return answer
		}
	}
	switch {
	case n.lookup(number) == stateDone || n.lookup(number) == stateUnknown:
		return messenger.OutcomeResponse{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonLost}
	case age >= OutcomeRetention:
		return messenger.OutcomeResponse{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonLost}
	}
	n.current.states[hash] = stateStale
	return messenger.OutcomeResponse{Outcome: messenger.OutcomeRefused, Reason: messenger.ReasonStale}
}

func (n *OutcomeStore) lookup(number string) requestState {
	hash := hasher.Sum([]byte(number))
	if known, ok := n.current.states[hash]; ok {
		return known
	}
	return n.previous.states[hash]
}

// rotate starts a new generation once the current one is OutcomeRetention old.
func (n *OutcomeStore) rotate(now timer.Instant) {
	if now.Mono-n.rotatedAt.Mono < OutcomeRetention {
		return
	}
	n.rotatedAt = now
	n.previous = n.current
	n.current = newGeneration()
}
