package recorder

import (
	"sync"
	"time"

	"marigoldhill/kernel/hasher"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// OutcomeRetention is the minimum time for which the outcome of a request can be queried by
// its number, [messenger.Request].Number, and for which an abandoned number is refused.
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
	// responses holds the full responses to some of them.
	responses map[uint64]messenger.OutcomeResponse
}

func newGeneration() generation {
	return generation{
		states:    make(map[uint64]requestState),
		responses: make(map[uint64]messenger.OutcomeResponse),
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
func (s *OutcomeStore) Begin(now timer.Instant, number string, idempotent bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	state := s.lookup(number)
	if state == stateStale {
		return false
	}
	ranBefore := state == stateDone || state == stateUnknown || s.running[number] > 0
	if ranBefore && !idempotent {
		return false
	}
	s.running[number]++
	return true
}

// End stores the outcome of a request. The response to a completed idempotent request is
// not stored, since the request can be run again.
func (s *OutcomeStore) End(now timer.Instant, number string, response messenger.OutcomeResponse, idempotent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	s.running[number]--
	if s.running[number] <= 0 {
		delete(s.running, number)
	}
	hash := hasher.Sum([]byte(number))
	s.current.states[hash] = stateOf(response.Outcome)
	if !idempotent || response.Outcome != messenger.OutcomeDone {
		s.current.responses[hash] = response
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

// Query returns the outcome of a request that was sent the duration age ago. The number
// of a request that never arrived is abandoned: the request will be refused.
func (s *OutcomeStore) Query(now timer.Instant, number string, age time.Duration) messenger.OutcomeResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	if s.running[number] > 0 {
		return messenger.OutcomeResponse{Outcome: messenger.OutcomeRunning}
	}
	hash := hasher.Sum([]byte(number))
	for _, generation := range []generation{s.current, s.previous} {
		if response, ok := generation.responses[hash]; ok {
			return response
		}
	}
	switch {
	case s.lookup(number) == stateDone || s.lookup(number) == stateUnknown:
		return messenger.OutcomeResponse{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonLost}
	case age >= OutcomeRetention:
		return messenger.OutcomeResponse{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonLost}
	}
	s.current.states[hash] = stateStale
	return messenger.OutcomeResponse{Outcome: messenger.OutcomeRefused, Reason: messenger.ReasonStale}
}

func (s *OutcomeStore) lookup(number string) requestState {
	hash := hasher.Sum([]byte(number))
	if state, ok := s.current.states[hash]; ok {
		return state
	}
	return s.previous.states[hash]
}

// rotate starts a new generation once the current one is OutcomeRetention old.
func (s *OutcomeStore) rotate(now timer.Instant) {
	if now.Mono-s.rotatedAt.Mono < OutcomeRetention {
		return
	}
	s.rotatedAt = now
	s.previous = s.current
	s.current = newGeneration()
}
