package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// The route that is added is like `availability-check` of the small sites.
	checkWork     = 160 * time.Millisecond
	checkTimeout  = time.Second
	checkAim      = 500 * time.Millisecond
	checkDeadline = 2 * time.Second
	checkInterval = 16 * time.Millisecond
	readInterval  = 50 * time.Millisecond
	// freezeTime is the dose of `node_freeze`; two machines of 19 are within its share of 0.11.
	freezeTime   = 3500 * time.Millisecond
	deskMachines = 17
	// killTime is within the dose of `node_kill`.
	killTime = 2 * time.Second
	// killedTime passes after the start that follows.
	killedTime = time.Second
	// thawedTime passes after the freeze.
	thawedTime = 8 * time.Second
	// stableWindow is `stable_window_s`; steadyTime is how long requests are counted after it.
	stableWindow = 3 * time.Second
	steadyTime   = 30 * time.Second
	// minCounted is how many requests the rule asks for.
	minCounted = 20
)

// tally counts the requests of a route and those that were served.
type tally struct {
	sent, served int
	statuses     map[int]int
}

func (t *tally) share() float64 {
	return float64(t.served) / float64(max(t.sent, 1))
}

// tallies counts the requests of each route.
type tallies struct {
	mu     sync.Mutex
	routes map[string]*tally
}

func (t *tallies) add(part string, status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.routes[part] == nil {
		t.routes[part] = &tally{statuses: make(map[int]int)}
	}
	route := t.routes[part]
	route.sent++
	route.statuses[status]++
	if status >= 200 && status < 300 {
		route.served++
	}
}

// take notes and returns the counts since the last call.
func (t *tallies) take(s *stage, when string) map[string]*tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	routes := t.routes
	t.routes = make(map[string]*tally)
	for _, part := range []string{"read", "check"} {
		if route := routes[part]; route != nil {
			s.note("%s: /%s/ %d sent, %d served, statuses %v", when, part, route.sent, route.served, route.statuses)
		}
	}
	return routes
}

// sendPart sends requests of one route to all routers until ctx ends.
func (c *cluster) sendPart(ctx context.Context, counts *tallies, part string, keyed bool, interval, deadline time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		key := -1
		if keyed {
			key = (n * keyStep * 7) % keyCount
		}
		go func() {
			status := c.get(ctx, c.routers[n%len(c.routers)], fmt.Sprintf("%s-%d", part, n), part, key, deadline)
			if ctx.Err() == nil {
				counts.add(part, status)
			}
		}()
	}
}

// playFrozen freezes the machines of both backends of a service at once.
func playFrozen(ctx context.Context, s *stage, trouble bool) (bool, error) {
	return playLoss(ctx, s, thawedTime, func(routers []*node) error {
		if !trouble {
			time.Sleep(freezeTime)
			return nil
		}
		for _, router := range routers {
			router.signal(syscall.SIGSTOP)
		}
		time.Sleep(freezeTime)
		for _, router := range routers {
			router.signal(syscall.SIGCONT)
		}
		return nil
	})
}

// playKilled kills the routers of both backends of a service at once.
func playKilled(ctx context.Context, s *stage, trouble bool) (bool, error) {
	return playLoss(ctx, s, killedTime, func(routers []*node) error {
		if !trouble {
			time.Sleep(killTime)
			return nil
		}
		for _, router := range routers {
			router.kill()
		}
		time.Sleep(killTime)
		for _, router := range routers {
			if err := router.start(); err != nil {
				return err
			}
		}
		return nil
	})
}

// playLoss adds a route to a service with two backends, and disturbs the machines of both. It
// compares what is served on that route and on the first one, in steady state.
func playLoss(ctx context.Context, s *stage, calm time.Duration, disturb func(routers []*node) error) (bool, error) {
	services := make([]string, deskMachines, deskMachines+2)
	for n := range services {
		services[n] = "desk"
	}
	c, err := startCluster(ctx, s, append(services, "records", "records")...)
	if err != nil {
		return false, err
	}
	for _, b := range c.backends {
		b.work["check"] = checkWork
	}
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	counts := &tallies{routes: make(map[string]*tally)}
	go c.sendPart(traffic, counts, "read", true, readInterval, readDeadline)
	time.Sleep(calmTime)
	added := map[string]any{"r-check": map[string]any{"host": "desk.example", "path_prefix": "/check/", "kind": "idempotent",
		"timeout_s": checkTimeout.Seconds(), "target_latency_s": checkAim.Seconds(), "priority": 2, "service": "records", "max_attempts": 2}}
	if err := s.putConfiguration(ctx, c.controls, configuration(2, added)); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	go c.sendPart(traffic, counts, "check", false, checkInterval, checkDeadline)
	time.Sleep(2 * calmTime)
	counts.take(s, "before")
	if err := disturb(c.routers[deskMachines:]); err != nil {
		return false, err
	}
	time.Sleep(calm)
	time.Sleep(stableWindow)
	counts.take(s, "meanwhile")
	time.Sleep(steadyTime)
	routes := counts.take(s, "steady state")
	first, later := routes["read"], routes["check"]
	if first == nil || later == nil || later.sent < minCounted {
		return false, fmt.Errorf("%w: too few requests", errCannotRun)
	}
	s.note("in steady state the first route served %.3f, the one that was added later %.3f", first.share(), later.share())
	return later.share() < first.share()/4, nil
}
