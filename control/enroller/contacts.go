package enroller

import (
	"context"
	"slices"
	"sync"
	"time"

	"marigoldhill/kernel/timer"
)

const (
	// pollInterval is the time between two polls of the members.
	pollInterval = time.Second
	// pollPause is the time without a poll after which silence proves nothing: this replica
	// may not have run.
	pollPause = 2 * time.Second
)

// contacts is when the members were last heard of. Each replica polls the others, so that a new
// leader knows how long a member has been silent. Its methods are safe for concurrent use.
type contacts struct {
	mu sync.Mutex
	// heardAt is when a member was last heard of, or first polled, by address.
	heardAt map[string]timer.Instant
	// polledAt is when the members were last polled.
	polledAt timer.Instant
}

// begin records that the members at the given addresses are polled now.
func (c *contacts) begin(now timer.Instant, addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	paused := now.SinceMonotonic(c.polledAt) >= pollPause
	c.polledAt = now
	previous := c.heardAt
	c.heardAt = make(map[string]timer.Instant, len(addresses))
	for _, address := range addresses {
		if at, ok := previous[address]; ok && !paused {
			c.heardAt[address] = at
			continue
		}
		c.heardAt[address] = now
	}
}

// record records that the member at an address was heard of.
func (c *contacts) record(now timer.Instant, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.heardAt[address]; ok {
		c.heardAt[address] = now
	}
}

// silence returns how long the member at an address was not heard of, if that is known.
func (c *contacts) silence(now timer.Instant, address string) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.heardAt[address]
	if !ok || now.SinceMonotonic(c.polledAt) >= pollPause {
		return 0, false
	}
	return now.SinceMonotonic(at), true
}

// watchMembers begins a poll of all other members and returns the addresses of those that have to
// be asked: a leader is in contact already.
func (e *Enroller) watchMembers() []string {
	raftStatus := e.options.Replica.RaftStatus()
	var addresses []string
	for _, member := range raftStatus.Members {
		if member.Address != e.settings.Member.Address && !slices.Contains(addresses, member.Address) {
			addresses = append(addresses, member.Address)
		}
	}
	e.contacts.begin(timer.Now(), addresses)
	if leader := raftStatus.Leader; leader.Name != "" && leader.Name != raftStatus.Name {
		e.contacts.record(timer.Now(), leader.Address)
		addresses = slices.DeleteFunc(addresses, func(address string) bool { return address == leader.Address })
	}
	return addresses
}

// poll sends a request to each address. Those that respond are recorded.
func (e *Enroller) poll(ctx context.Context, addresses []string) {
	var requests sync.WaitGroup
	for _, address := range addresses {
		// One that does not respond is silent.
		requests.Go(func() { _, _ = e.sendJoin(ctx, address) })
	}
	requests.Wait()
}
