package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	keyCount = 65536
	// defaultWork is how long a request takes.
	defaultWork = 40 * time.Millisecond
)

// hold is what a backend knows of one key.
type hold struct {
	fence uint64
	until time.Time
}

// backend is a stand-in for an application backend that holds keys.
type backend struct {
	stage   *stage
	router  *node
	id      string
	service string
	zone    string
	born    int64
	// work is how long a request takes, by the first part of its path.
	work   map[string]time.Duration
	server *http.Server
	cancel context.CancelFunc

	mu       sync.Mutex
	up       bool
	sequence uint64
	draining bool
	keys     [keyCount]hold
	running  map[int]int
	changed  *sync.Cond
	runs     map[string]int
}

func newBackend(s *stage, router *node, id, service, zone string) *backend {
	b := &backend{stage: s, router: router, id: id, service: service, zone: zone, work: map[string]time.Duration{}, running: make(map[int]int), runs: make(map[string]int)}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// start listens at the backend's address and sends heartbeats.
func (b *backend) start() error {
	socket, err := net.Listen("tcp", at(b.router.ip, b.stage.ports.app))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /grant", b.grant)
	mux.HandleFunc("POST /release", b.release)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Marigoldhill-Instance-Id", b.id) })
	mux.HandleFunc("/", b.run)
	b.born = time.Now().UnixMilli()
	b.server = &http.Server{Handler: mux}
	b.up = true
	go func() { _ = b.server.Serve(socket) }()
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	go b.beat(ctx)
	b.stage.note("backend %s of %s starts beside %s", b.id, b.service, b.router.name)
	return nil
}

func (b *backend) stop() {
	b.mu.Lock()
	b.up = false
	b.mu.Unlock()
	b.cancel()
	_ = b.server.Close()
}

func (b *backend) beat(ctx context.Context) {
	for {
		b.mu.Lock()
		b.sequence++
		state := "ready"
		if b.draining {
			state = "draining"
		}
		body := map[string]any{
			"address": at(b.router.ip, b.stage.ports.app), "born": b.born,
			"info":   map[string]any{"service": b.service, "zone": b.zone, "version": "v1", "slots": 6},
			"status": map[string]any{"state": state, "sequence": b.sequence, "warmup_left_s": 0},
		}
		b.mu.Unlock()
		_, _ = putInstance(ctx, b.stage, b.router, b.id, body)
		select {
		case <-time.After(heartbeatInterval):
		case <-ctx.Done():
			return
		}
	}
}

// putInstance sends a heartbeat and returns the status of the response.
func putInstance(ctx context.Context, s *stage, router *node, id string, body any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+at(router.ip, s.ports.control)+"/instances/"+id, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := operatorClient.Do(request)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Body.Close()
}

// order is a grant or a release.
type order struct {
	From  int     `json:"from"`
	To    int     `json:"to"`
	Fence uint64  `json:"fence"`
	Hold  float64 `json:"hold_s"`
}

func (b *backend) readOrder(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if expected := r.Header.Get("Marigoldhill-Expected-Instance"); expected != "" && expected != b.id {
		w.Header().Set("Marigoldhill-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.From < 0 || o.To >= keyCount || o.From > o.To {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	return o, true
}

func (b *backend) grant(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	o, ok := b.readOrder(w, r)
	if !ok {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := false
	for key := o.From; key <= o.To; key++ {
		if b.keys[key].fence > o.Fence {
			b.stage.note("%s: grant %d-%d fence %d refused", b.id, o.From, o.To, o.Fence)
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	for key := o.From; key <= o.To; key++ {
		taken = taken || b.keys[key].fence != o.Fence || !b.keys[key].until.After(arrived)
		b.keys[key] = hold{fence: o.Fence, until: arrived.Add(time.Duration(o.Hold * float64(time.Second)))}
	}
	if taken {
		b.stage.note("%s: takes keys %d-%d fence %d for %.2f s", b.id, o.From, o.To, o.Fence, o.Hold)
	}
}

func (b *backend) release(w http.ResponseWriter, r *http.Request) {
	o, ok := b.readOrder(w, r)
	if !ok {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for key := o.From; key <= o.To; key++ {
		if b.keys[key].fence <= o.Fence {
			b.keys[key] = hold{fence: max(b.keys[key].fence, o.Fence)}
		}
	}
	for b.busy(o) {
		b.changed.Wait()
	}
	b.stage.note("%s: releases keys %d-%d fence %d", b.id, o.From, o.To, o.Fence)
	w.Header().Set("Marigoldhill-Handover", fmt.Sprintf("%s-%d", b.id, o.Fence))
}

func (b *backend) busy(o order) bool {
	for key := range b.running {
		if key >= o.From && key <= o.To {
			return true
		}
	}
	return false
}

// holds reports whether the backend is up and holds a key.
func (b *backend) holds(key int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.up && b.keys[key].until.After(now)
}

// run runs a request.
func (b *backend) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Marigoldhill-Request-Id")
	w.Header().Set("Marigoldhill-Request-Id", id)
	refuse := func(status int) {
		w.Header().Set("Marigoldhill-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("Marigoldhill-Expected-Instance"); expected != "" && expected != b.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	key, err := strconv.Atoi(r.Header.Get("Marigoldhill-Shard-Key"))
	if err == nil {
		b.mu.Lock()
		if !b.keys[key].until.After(time.Now()) {
			b.mu.Unlock()
			refuse(http.StatusMisdirectedRequest)
			return
		}
		b.running[key]++
		b.mu.Unlock()
		defer func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			if b.running[key]--; b.running[key] == 0 {
				delete(b.running, key)
			}
			b.changed.Broadcast()
		}()
	}
	part, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	b.mu.Lock()
	b.runs[id]++
	work, known := b.work[part]
	if !known {
		work = defaultWork
	}
	b.mu.Unlock()
	b.stage.note("%s: runs %s", b.id, id)
	left := work
	if millis, err := strconv.Atoi(r.Header.Get("Marigoldhill-Deadline-Ms")); err == nil {
		left = min(left, time.Duration(millis)*time.Millisecond)
	}
	select {
	case <-time.After(left):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Marigoldhill-Server-Stamp", b.id+"."+id)
	if left < work {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	w.Header().Set("Content-Length", "2")
	_, _ = io.WriteString(w, "ok")
}

// count returns how many requests the backend has run.
func (b *backend) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.runs)
}
