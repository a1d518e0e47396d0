package isolator

import "time"

const (
	// maxCompletions is the number of completed requests that are remembered.
	maxCompletions = 2048
	// completionLifetime is how long a completed request is not a suspect.
	completionLifetime = time.Minute
)

// completions remembers the fingerprints of the requests that a backend server completed
// lately. It forgets the oldest one when it is full.
type completions struct {
	at    map[string]time.Time
	order []string
	next  int
}

func newCompletions() *completions {
	return &completions{at: make(map[string]time.Time)}
}

func (c *completions) add(now time.Time, fingerprint string) {
	_, known := c.at[fingerprint]
	c.at[fingerprint] = now
	switch {
	case known:
	case len(c.order) < maxCompletions:
		c.order = append(c.order, fingerprint)
	default:
		delete(c.at, c.order[c.next])
		c.order[c.next] = fingerprint
		c.next = (c.next + 1) % maxCompletions
	}
}

func (c *completions) contains(now time.Time, fingerprint string) bool {
	at, known := c.at[fingerprint]
	return known && now.Sub(at) < completionLifetime
}
