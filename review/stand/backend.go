package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one request that reached a backend.
type run struct {
	at      time.Time
	id      string
	backend string
	method  string
	// executed is set once the backend began to work on it.
	executed bool
	// finished is set when its work has ended.
	finished bool
	body     []byte
}

// backend is a stand-in for a backend server and its announcements.
type backend struct {
	stage   *stage
	node    *node
	name    string
	service string
	sharded bool
	slots   int
	born    int64
	// work is how long a request takes.
	work time.Duration
	// onAnswer, if not nil, may change what is sent on a connection; see answer.
	onAnswer func(request *http.Request, answer *answer)
	// onRequest, if not nil, rejects a request when it returns true.
	onRequest func(request *http.Request) bool

	listener net.Listener

	mu       sync.Mutex
	conns    map[net.Conn]bool
	running  int
	queued   int
	free     *sync.Cond
	runs     []*run
	sequence int
	state    string
	silent   bool
	gone     bool
	held     []hold
	seen     [65536]uint64
}

// hold is a grant of keys that has not run out.
type hold struct {
	from, to int
	fence    uint64
	until    time.Time
}

// answer is a response as it is written to the connection.
type answer struct {
	status int
	header [][2]string
	body   []byte
	// late, if not nil, is sent on this connection when the next request arrives, before
	// the answer to that one.
	late []byte
}

func (a *answer) encode() []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	for _, field := range a.header {
		fmt.Fprintf(&out, "%s: %s\r\n", field[0], field[1])
	}
	fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n", len(a.body))
	out.Write(a.body)
	return out.Bytes()
}

// queueLength is how many requests a backend queues.
const queueLength = 24

// heartbeatInterval is heartbeat_s.
const heartbeatInterval = 870 * time.Millisecond

// startBackend starts a backend beside the router of a machine.
func (s *stage) startBackend(m *node, service string, sharded bool, work time.Duration) *backend {
	listener, err := net.Listen("tcp", m.app)
	if err != nil {
		giveUp("starting a backend: %v", err)
	}
	b := &backend{
		stage: s, node: m, name: "i-" + newID()[:10], service: service, sharded: sharded, slots: 6, work: work,
		born: time.Now().UnixMilli(), listener: listener, conns: make(map[net.Conn]bool), state: "ready",
	}
	b.free = sync.NewCond(&b.mu)
	go b.accept()
	go b.announce()
	return b
}

func (b *backend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[conn] = true
		b.mu.Unlock()
		go b.serve(conn)
	}
}

// exit ends the backend and its connections.
func (b *backend) exit() {
	b.mu.Lock()
	b.gone = true
	conns := b.conns
	b.conns = make(map[net.Conn]bool)
	b.mu.Unlock()
	_ = b.listener.Close()
	for conn := range conns {
		_ = conn.Close()
	}
}

// beat is a heartbeat as it is sent.
func (b *backend) beat(state string) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	data, _ := json.Marshal(map[string]any{
		"address": b.node.app, "born": b.born,
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.node.fields["zone"], "slots": b.slots},
		"status": map[string]any{"state": state, "sequence": b.sequence, "warmup_left_s": 0},
	})
	return data
}

// put sends a heartbeat and reports whether it was acknowledged.
func (b *backend) put(beat []byte) bool {
	return b.tell(http.MethodPut, beat)
}

func (b *backend) tell(method string, body []byte) bool {
	return b.tellAs(b.name, method, body)
}

func (b *backend) tellAs(id, method string, body []byte) bool {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	request, err := http.NewRequest(method, "http://"+b.node.control+"/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

func (b *backend) announce() {
	for {
		b.mu.Lock()
		silent, gone, state := b.silent, b.gone, b.state
		b.mu.Unlock()
		if gone {
			return
		}
		if !silent {
			b.put(b.beat(state))
		}
		time.Sleep(heartbeatInterval)
	}
}

// serve serves one connection, one request at a time.
func (b *backend) serve(conn net.Conn) {
	defer func() {
		b.mu.Lock()
		delete(b.conns, conn)
		b.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	var late []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if late != nil {
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		answer := b.handle(request)
		if answer == nil {
			return
		}
		if b.onAnswer != nil {
			b.onAnswer(request, answer)
		}
		late = answer.late
		if _, err := conn.Write(answer.encode()); err != nil {
			return
		}
	}
}

func (b *backend) handle(request *http.Request) *answer {
	arrived := time.Now()
	body, err := io.ReadAll(request.Body)
	if err != nil {
		b.stage.note("%s: the body of %s ends early after %d bytes: %v", b.name, request.Header.Get("Marigoldhill-Request-Id"), len(body), err)
		return nil
	}
	if expected := request.Header.Get("Marigoldhill-Expected-Instance"); expected != "" && expected != b.name {
		return rejection(request, http.StatusMisdirectedRequest)
	}
	switch request.URL.Path {
	case "/grant":
		return b.grant(body)
	case "/release":
		return b.release(body)
	case "/health":
		return &answer{status: http.StatusOK, header: [][2]string{{"Marigoldhill-Instance-Id", b.name}}}
	}
	id := request.Header.Get("Marigoldhill-Request-Id")
	if id == "" {
		return rejection(request, http.StatusBadRequest)
	}
	r := &run{at: arrived, id: id, backend: b.name, method: request.Method, body: body}
	return b.execute(request, r)
}

// rejection is the answer to a request that does not run.
func rejection(request *http.Request, status int) *answer {
	a := &answer{status: status, header: [][2]string{{"Marigoldhill-Not-Executed", "1"}}}
	if id := request.Header.Get("Marigoldhill-Request-Id"); id != "" {
		a.header = append(a.header, [2]string{"Marigoldhill-Request-Id", id})
	}
	return a
}

// execute runs a request in a slot.
func (b *backend) execute(request *http.Request, r *run) *answer {
	if b.onRequest != nil && b.onRequest(request) {
		b.stage.note("%s rejects %s with 503, not executed", b.name, r.id)
		return rejection(request, http.StatusServiceUnavailable)
	}
	key := noKey
	if b.sharded {
		key, _ = strconv.Atoi(request.Header.Get("Marigoldhill-Shard-Key"))
	}
	b.mu.Lock()
	b.runs = append(b.runs, r)
	if key != noKey && !b.holdsKey(key) {
		b.mu.Unlock()
		return rejection(request, http.StatusMisdirectedRequest)
	}
	if b.running >= b.slots && b.queued >= queueLength {
		b.mu.Unlock()
		b.stage.note("%s rejects %s with 503, it is full", b.name, r.id)
		return rejection(request, http.StatusServiceUnavailable)
	}
	b.queued++
	for b.running >= b.slots {
		b.free.Wait()
	}
	b.queued--
	b.running++
	r.executed = true
	b.mu.Unlock()
	b.stage.note("%s runs %s %s, body of %d bytes", b.name, r.method, r.id, len(r.body))
	time.Sleep(b.work)
	b.mu.Lock()
	b.running--
	r.finished = !b.gone
	b.free.Broadcast()
	gone := b.gone
	b.mu.Unlock()
	if gone {
		b.stage.note("%s has ended while it ran %s", b.name, r.id)
		return nil
	}
	return &answer{status: http.StatusOK, header: [][2]string{{"Marigoldhill-Request-Id", r.id}, {"Marigoldhill-Server-Stamp", b.name + "." + r.id}}, body: []byte("done " + r.id)}
}

// holdsKey reports whether the backend holds a key. The caller holds mu.
func (b *backend) holdsKey(key int) bool {
	now := time.Now()
	for _, h := range b.held {
		if key >= h.from && key <= h.to && now.Before(h.until) {
			return true
		}
	}
	return false
}

// rangeBody is the body of a grant or a release.
type rangeBody struct {
	From  int     `json:"from"`
	To    int     `json:"to"`
	Fence uint64  `json:"fence"`
	Hold  float64 `json:"hold_s"`
}

func parseRange(body []byte) (*rangeBody, error) {
	var parsed rangeBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, err
	}
	if parsed.From < 0 || parsed.To > 65535 || parsed.From > parsed.To {
		return nil, errors.New("no such keys")
	}
	return &parsed, nil
}

func (b *backend) grant(body []byte) *answer {
	call, err := parseRange(body)
	if err != nil {
		return &answer{status: http.StatusBadRequest}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for key := call.From; key <= call.To; key++ {
		if b.seen[key] > call.Fence {
			return &answer{status: http.StatusConflict}
		}
	}
	for key := call.From; key <= call.To; key++ {
		b.seen[key] = call.Fence
	}
	b.drop(call.From, call.To)
	b.held = append(b.held, hold{from: call.From, to: call.To, fence: call.Fence, until: time.Now().Add(time.Duration(call.Hold * float64(time.Second)))})
	return &answer{status: http.StatusOK}
}

// drop removes keys from what is held. The caller holds mu.
func (b *backend) drop(from, to int) {
	var kept []hold
	for _, h := range b.held {
		if h.from < from {
			kept = append(kept, hold{from: h.from, to: min(h.to, from-1), fence: h.fence, until: h.until})
		}
		if h.to > to {
			kept = append(kept, hold{from: max(h.from, to+1), to: h.to, fence: h.fence, until: h.until})
		}
	}
	b.held = kept
}

func (b *backend) release(body []byte) *answer {
	call, err := parseRange(body)
	if err != nil {
		return &answer{status: http.StatusBadRequest}
	}
	b.mu.Lock()
	b.drop(call.From, call.To)
	for b.running > 0 {
		b.free.Wait()
	}
	b.mu.Unlock()
	return &answer{status: http.StatusOK, header: [][2]string{{"Marigoldhill-Handover", newID()}}}
}

// executions returns the requests that ran and reached the backend in a span.
func (b *backend) executions(from, to time.Time) []*run {
	b.mu.Lock()
	defer b.mu.Unlock()
	var kept []*run
	for _, r := range b.runs {
		if r.executed && !r.at.Before(from) && r.at.Before(to) {
			kept = append(kept, r)
		}
	}
	return kept
}

// holds reports whether the backend is up and holds a key.
func (b *backend) holds(key int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.gone && b.holdsKey(key)
}

// foreignBeat is a heartbeat of another writer.
type foreignBeat struct {
	id   string
	data []byte
}

// asForeign returns a heartbeat of another writer that names the address of the backend.
// Its fields for version, zone, slots and the rest of the warm-up are missing.
func (b *backend) asForeign() foreignBeat {
	data, _ := json.Marshal(map[string]any{
		"address": b.node.app, "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": b.service},
		"status": map[string]any{"state": "ready", "sequence": 1},
	})
	return foreignBeat{id: "i-" + newID()[:10], data: data}
}
