package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// fleet is a deployment of control processes, routers and backend servers that is up.
type fleet struct {
	*cluster
	controls  []*process
	routers   []*process
	backends  []*backend
	addresses []string

	overlapMu sync.Mutex
	// overlaps holds since when two servers have held the same keys, and since is cleared
	// when they no longer do.
	overlaps  map[[2]int]*overlap
	worst     time.Duration
	worstPair string
	stop      chan struct{}
}

// overlap is a time in which two servers hold the same keys.
type overlap struct {
	since time.Time
	key   int
	keys  int
}

const sampleInterval = 20 * time.Millisecond

// newFleet starts a deployment. services names the service of each router; those called
// inspect-desk are divided by key.
func newFleet(caseDir string, controls, losses int, services []string, run func(b *backend, w http.ResponseWriter, r *http.Request)) (*fleet, error) {
	c, err := newCluster(caseDir, controls, losses)
	if err != nil {
		return nil, err
	}
	f := &fleet{cluster: c, overlaps: make(map[[2]int]*overlap), stop: make(chan struct{})}
	for i := range controls {
		p, err := c.control(i+1, true)
		if err != nil {
			return f, err
		}
		f.controls = append(f.controls, p)
		f.addresses = append(f.addresses, p.controlAddress())
	}
	for i, service := range services {
		p, err := c.router(i, service)
		if err != nil {
			return f, err
		}
		f.routers = append(f.routers, p)
		b := &backend{c: c, router: p, id: fmt.Sprintf("i-%d", i), service: service, sharded: service == sharded}
		b.run = func(w http.ResponseWriter, r *http.Request) { run(b, w, r) }
		if err := b.start(); err != nil {
			return f, err
		}
		f.backends = append(f.backends, b)
	}
	go f.watchOwners()
	return f, nil
}

const (
	sharded = "inspect-desk"
	plain   = "records-vault"
)

// close ends the deployment.
func (f *fleet) close() {
	close(f.stop)
	for _, b := range f.backends {
		b.stop()
	}
	f.cluster.close()
}

// configure sends a first configuration and waits until all routers are ready.
func (f *fleet) configure() error {
	if err := f.putConfiguration(f.addresses, configuration(1, "8"), 20*time.Second); err != nil {
		return err
	}
	return f.waitReady(f.routers, 20*time.Second)
}

// configuration returns a configuration with a version.
func configuration(version int, timeout string) string {
	return fmt.Sprintf(`{"version":"%08x","routes":{`+
		`"r-history":{"host":"desk.example","path_prefix":"/history/","kind":"idempotent","timeout_s":%[2]s,"target_latency_s":0.4,"priority":2,"service":"inspect-desk","max_attempts":2},`+
		`"r-cert":{"host":"desk.example","path_prefix":"/certs/","kind":"non_idempotent","timeout_s":%[2]s,"target_latency_s":0.5,"priority":1,"service":"inspect-desk","max_attempts":2},`+
		`"r-issue":{"host":"desk.example","path_prefix":"/issues/","kind":"non_idempotent","timeout_s":%[2]s,"target_latency_s":0.5,"priority":1,"service":"records-vault","max_attempts":2},`+
		`"r-archive":{"host":"desk.example","path_prefix":"/archive/","kind":"idempotent","timeout_s":%[2]s,"target_latency_s":1.2,"priority":2,"service":"records-vault","max_attempts":2}},`+
		`"services":{"inspect-desk":{"health_path":"/health","max_connections":110,"protocol":"h1","tls":false,"sharded":true,"warm_s":2.0,"grants":"request"},`+
		`"records-vault":{"health_path":"/health","max_connections":110,"protocol":"h1","tls":false}},`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}`, version, timeout)
}

// watchOwners measures for how long two servers hold the same keys.
func (f *fleet) watchOwners() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-f.stop:
			return
		}
		f.sampleOwners()
	}
}

func (f *fleet) sampleOwners() {
	for _, b := range f.backends {
		b.mu.Lock()
	}
	now := time.Now()
	found := make(map[[2]int]*overlap)
	for key := range 65536 {
		owner := -1
		for i, b := range f.backends {
			if !b.sharded || b.ended || !now.Before(b.held[key].until) {
				continue
			}
			if owner >= 0 {
				pair := [2]int{owner, i}
				if found[pair] == nil {
					found[pair] = &overlap{since: now, key: key}
				}
				found[pair].keys++
				continue
			}
			owner = i
		}
	}
	for _, b := range f.backends {
		b.mu.Unlock()
	}
	f.overlapMu.Lock()
	defer f.overlapMu.Unlock()
	for pair, o := range f.overlaps {
		if found[pair] == nil {
			f.note("%s and %s held the same keys for %v", f.backends[pair[0]].id, f.backends[pair[1]].id, now.Sub(o.since).Round(time.Millisecond))
			delete(f.overlaps, pair)
		}
	}
	for pair, o := range found {
		known := f.overlaps[pair]
		if known == nil {
			f.overlaps[pair] = o
			f.note("%s and %s hold %d keys at the same time, from key %d", f.backends[pair[0]].id, f.backends[pair[1]].id, o.keys, o.key)
			continue
		}
		if lasts := now.Sub(known.since); lasts > f.worst {
			f.worst = lasts
			f.worstPair = fmt.Sprintf("%s and %s", f.backends[pair[0]].id, f.backends[pair[1]].id)
		}
	}
}

// worstOverlap returns the longest time for which two servers held the same keys.
func (f *fleet) worstOverlap() (time.Duration, string) {
	f.overlapMu.Lock()
	defer f.overlapMu.Unlock()
	return f.worst, f.worstPair
}

// waitOwned waits until every key has a holder.
func (f *fleet) waitOwned(within time.Duration) error {
	for end := time.Now().Add(within); ; time.Sleep(100 * time.Millisecond) {
		total := 0
		for _, b := range f.backends {
			if b.sharded {
				total += b.heldKeys()
			}
		}
		if total == 65536 {
			f.note("all keys are held")
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("only %d keys are held", total)
		}
	}
}
