package main

import (
	"context"
	"os"
	"time"
)

const (
	// calmTime passes before the disruption, watchTime after it.
	calmTime  = 4 * time.Second
	watchTime = 10 * time.Second
	// maxSharedHold is how long two backends may hold the same keys.
	maxSharedHold = 500 * time.Millisecond
)

// playForeign sends one heartbeat of another writer to a router. It lacks fields, so it names
// no backend to use.
func playForeign(ctx context.Context, s *stage, trouble bool) (bool, error) {
	c, err := startCluster(ctx, s, "desk", "desk", "desk")
	if err != nil {
		return false, err
	}
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	go c.send(traffic, 20*time.Millisecond)
	time.Sleep(calmTime)
	if trouble {
		router := c.routers[0]
		service := "desk"
		status := map[string]any{"state": "ready"}
		if os.Getenv("VARIANT") == "service" {
			service, status = "elsewhere", map[string]any{"state": "ready", "sequence": 4, "warmup_left_s": 0}
		}
		body := map[string]any{
			"address": at(router.ip, s.ports.app), "born": time.Now().UnixMilli(),
			"info":   map[string]any{"service": service, "slots": 1},
			"status": status,
		}
		answer, err := putInstance(ctx, s, router, "agent-7", body)
		s.note("another writer sent PUT /instances/agent-7 %v to %s: %d, %v", body, router.name, answer, err)
	}
	watch, cancel := context.WithTimeout(ctx, watchTime)
	defer cancel()
	longest, where := c.watchOwners(watch)
	s.note("two backends held the same key for %.2f s at most: %s", longest.Seconds(), where)
	return longest > maxSharedHold, nil
}
