package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// keyStep is the distance between the keys that are watched.
	keyStep = 512
	// watchInterval is the time between two looks at who holds the keys.
	watchInterval = 20 * time.Millisecond
	// readDeadline is how long a client waits for a read.
	readDeadline = 1500 * time.Millisecond
)

// cluster is a small deployment: three control processes, and routers with a backend each.
type cluster struct {
	stage    *stage
	controls []*node
	routers  []*node
	backends []*backend
}

var zones = []string{"hobart-a", "hobart-b", "launceston"}

// startCluster starts a deployment with a router for each of services, and waits until all keys
// of the service desk are held.
func startCluster(ctx context.Context, s *stage, services ...string) (*cluster, error) {
	c := &cluster{stage: s}
	var seeds []string
	for n := range zones {
		seeds = append(seeds, at(machineIP(n+1), s.ports.control))
	}
	for n, zone := range zones {
		c.controls = append(c.controls, s.addControl(n+1, zone, seeds, 1))
	}
	for n, service := range services {
		c.routers = append(c.routers, s.addRouter(n+11, zones[n%len(zones)], service, seeds))
	}
	for _, n := range s.nodes {
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	for n, router := range c.routers {
		b := newBackend(s, router, fmt.Sprintf("i-%d", n+1), services[n], zones[n%len(zones)])
		if err := b.start(); err != nil {
			return nil, err
		}
		c.backends = append(c.backends, b)
	}
	if err := s.putConfiguration(ctx, c.controls, configuration(1, nil)); err != nil {
		return nil, err
	}
	return c, c.awaitKeys(ctx)
}

// configuration returns a configuration of a divided service desk, with a route for reads and
// one for orders, and a service records.
func configuration(version int, more map[string]any) map[string]any {
	route := func(prefix, kind string) map[string]any {
		return map[string]any{"host": "desk.example", "path_prefix": prefix, "kind": kind, "timeout_s": 2, "target_latency_s": 0.5,
			"priority": 1, "service": "desk", "max_attempts": 2}
	}
	routes := map[string]any{"r-read": route("/read/", "idempotent"), "r-order": route("/order/", "non_idempotent")}
	for name, value := range more {
		routes[name] = value
	}
	return map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": routes,
		"services": map[string]any{
			"desk":    map[string]any{"health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false, "sharded": true, "warm_s": 2.0, "grants": "request"},
			"records": map[string]any{"health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	}
}

// awaitKeys waits until each watched key is held by one backend.
func (c *cluster) awaitKeys(ctx context.Context) error {
	for ctx.Err() == nil {
		now, held := time.Now(), 0
		for key := 0; key < keyCount; key += keyStep {
			for _, b := range c.backends {
				if b.holds(key, now) {
					held++
					break
				}
			}
		}
		if held == keyCount/keyStep {
			c.stage.note("all keys are held")
			return nil
		}
		if time.Since(c.stage.started) > 30*time.Second {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%w: not all keys are held", errCannotRun)
}

// watchOwners looks who holds the keys until ctx ends. It returns for how long two backends
// held the same key at most, and which.
func (c *cluster) watchOwners(ctx context.Context) (longest time.Duration, where string) {
	since := make(map[int]time.Time)
	for ctx.Err() == nil {
		now := time.Now()
		for key := 0; key < keyCount; key += keyStep {
			var holders []string
			for _, b := range c.backends {
				if b.holds(key, now) {
					holders = append(holders, b.id)
				}
			}
			if len(holders) < 2 {
				delete(since, key)
				continue
			}
			if since[key].IsZero() {
				since[key] = now
				c.stage.note("key %d is held by %v", key, holders)
			}
			if span := now.Sub(since[key]); span > longest {
				longest, where = span, fmt.Sprintf("key %d by %v", key, holders)
			}
		}
		time.Sleep(watchInterval)
	}
	return longest, where
}

var clientTransport = &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}

// get sends a request to a router and returns the status, 0 without an answer. part is the first
// part of the path; a key below 0 means none.
func (c *cluster) get(ctx context.Context, router *node, id, part string, key int, deadline time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/%s/%d", at(router.ip, c.stage.ports.outbound), part, key), nil)
	if err != nil {
		return 0
	}
	request.Host = "desk.example"
	request.Header.Set("Marigoldhill-Request-Id", id)
	request.Header.Set("Marigoldhill-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key >= 0 {
		request.Header.Set("Marigoldhill-Shard-Key", strconv.Itoa(key))
	}
	c.stage.note("client sends %s to %s", id, router.name)
	response, err := clientTransport.RoundTrip(request)
	if err != nil {
		c.stage.note("client gets no answer to %s", id)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		c.stage.note("client gets a part of the answer to %s", id)
		return 0
	}
	c.stage.note("client gets %d for %s", response.StatusCode, id)
	return response.StatusCode
}

// send sends reads of keys to all routers until ctx ends, and notes the statuses of each second.
func (c *cluster) send(ctx context.Context, interval time.Duration) {
	var mu sync.Mutex
	counts := make(map[int]int)
	ticker, summary := time.NewTicker(interval), time.NewTicker(time.Second)
	defer ticker.Stop()
	defer summary.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-summary.C:
			mu.Lock()
			c.stage.note("clients got (status: count) %v", counts)
			counts = make(map[int]int)
			mu.Unlock()
		case <-ticker.C:
			go func() {
				status := c.get(ctx, c.routers[n%len(c.routers)], fmt.Sprintf("q%d", n), "read", (n*keyStep*7)%keyCount, readDeadline)
				mu.Lock()
				counts[status]++
				mu.Unlock()
			}()
		}
	}
}
