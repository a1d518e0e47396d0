package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is heartbeat_s of the settings.
const heartbeatInterval = 870 * time.Millisecond

// backend is a stand-in for a backend server on a sidecar machine.
type backend struct {
	c       *cluster
	router  *process
	id      string
	service string
	born    int64
	sharded bool
	// run answers a request that runs.
	run func(w http.ResponseWriter, r *http.Request)

	mu       sync.Mutex
	sequence int
	state    string
	held     [65536]hold
	fences   [65536]uint64
	silent   bool
	ended    bool
	server   *http.Server
	cancel   context.CancelFunc
}

// hold is the grant of one key.
type hold struct {
	fence uint64
	until time.Time
}

// start listens and announces the server.
func (b *backend) start() error {
	listener, err := net.Listen("tcp", b.router.app())
	if err != nil {
		return fmt.Errorf("listening as %s: %w", b.id, err)
	}
	b.state = "ready"
	if b.born == 0 {
		b.born = time.Now().UnixMilli()
	}
	b.server = &http.Server{Handler: http.HandlerFunc(b.handle)}
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	go func() { _ = b.server.Serve(listener) }()
	go b.announce(ctx)
	return nil
}

// stop ends the server at once, as a crash does.
func (b *backend) stop() {
	b.mu.Lock()
	b.ended = true
	b.mu.Unlock()
	b.cancel()
	_ = b.server.Close()
}

func (b *backend) announce(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		b.mu.Lock()
		b.sequence++
		body := b.heartbeat(b.service, b.sequence, b.born)
		silent := b.silent
		b.mu.Unlock()
		if !silent {
			_, _ = putInstance(client, b.router.controlAddress(), b.id, body)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// heartbeat returns the body of a heartbeat.
func (b *backend) heartbeat(service string, sequence int, born int64) string {
	return fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":6},"status":{"state":%q,"sequence":%d,"warmup_left_s":0}}`,
		b.router.app(), born, service, zones[0], b.state, sequence)
}

func putInstance(client *http.Client, address, id, body string) (int, error) {
	request, err := http.NewRequest(http.MethodPut, "http://"+address+"/instances/"+id, strings.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("creating a heartbeat: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, fmt.Errorf("sending a heartbeat: %w", err)
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, nil
}

func (b *backend) handle(w http.ResponseWriter, r *http.Request) {
	expected := r.Header.Get("Marigoldhill-Expected-Instance")
	switch {
	case r.URL.Path == "/health":
		w.Header().Set("Marigoldhill-Instance-Id", b.id)
		w.Header().Set("Marigoldhill-Server-Load", "0,0,6")
		return
	case expected != "" && expected != b.id:
		b.refuse(w, r, http.StatusMisdirectedRequest)
	case r.Method == http.MethodPost && r.URL.Path == "/grant":
		b.grant(w, r)
	case r.Method == http.MethodPost && r.URL.Path == "/release":
		b.release(w, r)
	default:
		b.serve(w, r)
	}
}

// refuse answers a request that does not run.
func (b *backend) refuse(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set("Marigoldhill-Request-Id", r.Header.Get("Marigoldhill-Request-Id"))
	w.Header().Set("Marigoldhill-Not-Executed", "1")
	w.WriteHeader(status)
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Marigoldhill-Request-Id")
	if id == "" {
		b.refuse(w, r, http.StatusBadRequest)
		return
	}
	if b.sharded {
		key, err := strconv.Atoi(r.Header.Get("Marigoldhill-Shard-Key"))
		b.mu.Lock()
		holds := err == nil && time.Now().Before(b.held[key&65535].until)
		b.mu.Unlock()
		if !holds {
			b.refuse(w, r, http.StatusMisdirectedRequest)
			return
		}
	}
	b.c.note("%s runs %s %s %s", b.id, id, r.Method, r.RequestURI)
	w.Header().Set("Marigoldhill-Request-Id", id)
	w.Header().Set("Marigoldhill-Server-Stamp", b.id+"."+id)
	b.run(w, r)
}

// rangeCall is the body of a grant or a release.
type rangeCall struct {
	From  int     `json:"from"`
	To    int     `json:"to"`
	Fence uint64  `json:"fence"`
	Hold  float64 `json:"hold_s"`
}

func (b *backend) grant(w http.ResponseWriter, r *http.Request) {
	var call rangeCall
	arrived := time.Now()
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || call.From < 0 || call.To > 65535 || call.From > call.To {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	for key := call.From; key <= call.To; key++ {
		if b.fences[key] > call.Fence {
			b.mu.Unlock()
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	isNew := !arrived.Before(b.held[call.From].until) || b.held[call.From].fence != call.Fence
	for key := call.From; key <= call.To; key++ {
		b.fences[key] = call.Fence
		b.held[key] = hold{fence: call.Fence, until: arrived.Add(time.Duration(call.Hold * float64(time.Second)))}
	}
	b.mu.Unlock()
	if isNew {
		b.c.note("%s takes keys %d-%d fence %d for %.2fs", b.id, call.From, call.To, call.Fence, call.Hold)
	}
}

func (b *backend) release(w http.ResponseWriter, r *http.Request) {
	var call rangeCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || call.From < 0 || call.To > 65535 || call.From > call.To {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	for key := call.From; key <= call.To; key++ {
		if b.held[key].fence <= call.Fence {
			b.held[key].until = time.Time{}
		}
	}
	b.mu.Unlock()
	b.c.note("%s releases keys %d-%d fence %d", b.id, call.From, call.To, call.Fence)
	w.Header().Set("Marigoldhill-Handover", fmt.Sprintf("%s-%d-%d", b.id, call.From, time.Now().UnixNano()))
}

// heldKeys returns how many keys the server holds now.
func (b *backend) heldKeys() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	count := 0
	for key := range b.held {
		if now.Before(b.held[key].until) {
			count++
		}
	}
	return count
}

// isPrefix reports whether got is the beginning of sent.
func isPrefix(got, sent []byte) bool {
	return len(got) <= len(sent) && bytes.Equal(got, sent[:len(got)])
}

// firstDifference returns the first offset at which got is not what was sent.
func firstDifference(got, sent []byte) int {
	n := slices.IndexFunc(got, func(byte) bool { return false })
	for n = 0; n < len(got) && n < len(sent) && got[n] == sent[n]; n++ {
	}
	return n
}
