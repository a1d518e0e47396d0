package throttler

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// drawPeriod is how long a request with the same fingerprint gets the same result.
	drawPeriod = 500 * time.Millisecond
	// returnBonus multiplies the fraction for a request that was refused before.
	returnBonus = 2
	// maxTargets bounds the servers that a Gate remembers.
	maxTargets = 4096
)

// Request is a request that an entry router is about to send to a server.
type Request struct {
	// Session is the session of the router of the server.
	Session uint64
	Rank    int
	// Fingerprint identifies requests for the same work.
	Fingerprint string
	// Returns means that the request was refused before and was told when to return.
	Returns bool
}

type target struct {
	session uint64
	rank    int
}

type targetState struct {
	fraction   float64
	retryAfter time.Duration
	updated    time.Duration
}

// Gate holds the newest fractions of all servers. It is safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	targets map[target]targetState
}

// NewGate returns a Gate that lets all requests pass.
func NewGate() *Gate {
	return &Gate{targets: make(map[target]targetState)}
}

// Update records the fraction that a response carried, and the delay after which the
// refused request should be retried, 0 if it was not refused.
func (g *Gate) Update(now time.Duration, session uint64, rank int, fraction float64, retryAfter time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := target{session: session, rank: rank}
	if fraction <= 0 || fraction >= 1 {
		delete(g.targets, key)
		return
	}
	if len(g.targets) >= maxTargets {
		g.prune(now)
	}
	state := g.targets[key]
	if retryAfter > 0 {
		state.retryAfter = retryAfter
	}
	state.fraction, state.updated = fraction, now
	g.targets[key] = state
}

// prune removes what no longer has an effect, and everything if that is not enough.
func (g *Gate) prune(now time.Duration) {
	for key, state := range g.targets {
		if now-state.updated >= decayTime {
			delete(g.targets, key)
		}
	}
	if len(g.targets) >= maxTargets {
		clear(g.targets)
	}
}

// Check reports whether a request is refused here, and the delay after which it should be
// retried.
func (g *Gate) Check(now time.Duration, request Request) (retryAfter time.Duration, refused bool) {
	g.mu.Lock()
	state, known := g.targets[target{session: request.Session, rank: request.Rank}]
	g.mu.Unlock()
	if !known {
		return 0, false
	}
	age := min(float64(now-state.updated)/float64(decayTime), 1)
	fraction := state.fraction + (1-state.fraction)*age
	if request.Returns {
		fraction *= returnBonus
	}
	return state.retryAfter, draw(now, request.Fingerprint) >= fraction
}

// draw returns a number from 0 to 1 that is the same for a fingerprint within a period.
func draw(now time.Duration, fingerprint string) float64 {
	digest := xxhash.New()
	// Writes to a digest never fail.
	_, _ = digest.WriteString(fingerprint)
	period := uint64(now / drawPeriod)
	_, _ = digest.Write([]byte{byte(period), byte(period >> 8), byte(period >> 16), byte(period >> 24)})
	return float64(digest.Sum64()) / float64(math.MaxUint64)
}
