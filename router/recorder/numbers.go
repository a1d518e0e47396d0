package recorder

import (
	"sync"
	"time"

	"marigoldhill/kernel/hasher"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// NumberTime is how long the outcome of a request is found by its number at
// least, and how long a number that was given up is refused.
const NumberTime = 15 * time.Second

// fate is what became of a request.
type fate uint8

const (
	fateDone fate = iota + 1
	fateRefused
	fateUnknown
	// fateStale is that of a request that did not arrive before somebody asked.
	fateStale
)

// Numbers knows what became of requests by their numbers, for entry routers that
// lost an answer. Its methods are safe for concurrent use.
//
// Finished requests are kept in two generations, under a 64-bit hash of the
// number, so that each costs a few bytes and dropping old ones costs nothing.
type Numbers struct {
	mu      sync.Mutex
	running map[string]int
	newer   generation
	older   generation
	turned  timer.Instant
}

// generation is the requests that finished in one span of time.
type generation struct {
	fates map[uint64]fate
	// answers has more on some of them.
	answers map[uint64]messenger.OutcomeAnswer
}

func newGeneration() generation {
	return generation{
		fates:   make(map[uint64]fate),
		answers: make(map[uint64]messenger.OutcomeAnswer),
	}
}

// NewNumbers returns a Numbers that knows no request.
func NewNumbers() *Numbers {
	return &Numbers{
		running: make(map[string]int),
		newer:   newGeneration(),
		older:   newGeneration(),
	}
}

// Begin notes that a request runs, and End must follow. It returns false when
// the request must not run: its number was given up, or it is not idempotent and
// was run before.
func (n *Numbers) Begin(now timer.Instant, number string, idempotent bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.turn(now)
	known := n.find(number)
	if known == fateStale {
		return false
	}
	again := known == fateDone || known == fateUnknown || n.running[number] > 0
	if again && !idempotent {
		return false
	}
	n.running[number]++
	return true
}

// End notes what became of a request. The answer of an idempotent request is not
// kept, since it can be run again.
func (n *Numbers) End(now timer.Instant, number string, answer messenger.OutcomeAnswer, idempotent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.turn(now)
	n.running[number]--
	if n.running[number] <= 0 {
		delete(n.running, number)
	}
	hash := hasher.Sum([]byte(number))
	n.newer.fates[hash] = fateOf(answer.Outcome)
	if !idempotent || answer.Outcome != messenger.OutcomeDone {
		n.newer.answers[hash] = answer
	}
}

func fateOf(outcome messenger.Outcome) fate {
	switch outcome {
	case messenger.OutcomeDone:
		return fateDone
	case messenger.OutcomeRefused:
		return fateRefused
	}
	return fateUnknown
}

// Query tells what became of a request that was sent age ago. One that never
// arrived is given up: it will be refused.
func (n *Numbers) Query(now timer.Instant, number string, age time.Duration) messenger.OutcomeAnswer {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.turn(now)
	if n.running[number] > 0 {
		return messenger.OutcomeAnswer{Outcome: messenger.OutcomeRunning}
	}
	hash := hasher.Sum([]byte(number))
	for _, generation := range []generation{n.newer, n.older} {
		if answer, ok := generation.answers[hash]; ok {
			return answer
		}
	}
	switch {
	case n.find(number) == fateDone || n.find(number) == fateUnknown:
		return messenger.OutcomeAnswer{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonLost}
	case age >= NumberTime:
		return messenger.OutcomeAnswer{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonLost}
	}
	n.newer.fates[hash] = fateStale
	return messenger.OutcomeAnswer{Outcome: messenger.OutcomeRefused, Reason: messenger.ReasonStale}
}

func (n *Numbers) find(number string) fate {
	hash := hasher.Sum([]byte(number))
	if known, ok := n.newer.fates[hash]; ok {
		return known
	}
	return n.older.fates[hash]
}

// turn makes the newer generation the older one when it is old enough.
func (n *Numbers) turn(now timer.Instant) {
	if now.Mono-n.turned.Mono < NumberTime {
		return
	}
	n.turned = now
	n.older = n.newer
	n.newer = newGeneration()
}
