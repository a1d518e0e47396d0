package main

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// configurationOf returns a configuration with one route for each path. Routes are keyed by
// their path.
func configurationOf(routes map[string]map[string]any, services map[string]map[string]any) map[string]any {
	for path, route := range routes {
		route["host"], route["path_prefix"] = host, path
	}
	named := make(map[string]any)
	for path, route := range routes {
		named["r-"+strings.Trim(path, "/")] = route
	}
	return map[string]any{
		"version": "00000007", "routes": named, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	}
}

func route(kind, service string, timeout float64) map[string]any {
	return map[string]any{"kind": kind, "timeout_s": timeout, "target_latency_s": timeout / 2, "priority": 1, "service": service, "max_attempts": 2}
}

func service(sharded bool) map[string]any {
	s := map[string]any{"health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}
	if sharded {
		s["sharded"], s["warm_s"], s["grants"] = true, 2.0, "request"
	}
	return s
}

// playWithdrawn withdraws a backend by DELETE, kills the router beside it and delivers a
// heartbeat that the backend had sent before, three seconds late.
func playWithdrawn(s *stage) int {
	// Nine sidecars, as on the site: one of them is a share of 0.111.
	s.build("vault", "vault", "vault", "vault", "desk", "desk", "desk", "desk", "desk")
	s.startAll(configurationOf(
		map[string]map[string]any{"/issue/": route("non_idempotent", "vault", 1.2)},
		map[string]map[string]any{"vault": service(false), "desk": service(false)}))
	leaver := s.startBackend(s.sidecars[0], "vault", false, 160*time.Millisecond)
	for n, m := range s.sidecars[1:] {
		name := "vault"
		if n >= 3 {
			name = "desk"
		}
		s.startBackend(m, name, false, 160*time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	answers := make(map[string]reply)
	stop := make(chan struct{})
	var done sync.WaitGroup
	for _, m := range s.sidecars {
		newClient(m).load(10, stop, &done,
			func() requestCall {
				return requestCall{id: newID(), method: http.MethodPost, path: "/issue/1", key: noKey, deadline: 1200 * time.Millisecond, body: strings.NewReader("certificate")}
			},
			func(call requestCall, got reply) {
				mu.Lock()
				answers[call.id] = got
				mu.Unlock()
				s.note("client on %s: %s is answered %d", m.name, call.id, got.status)
			})
	}
	// The machines have to be in touch.
	time.Sleep(stableWindow + 2*time.Second)
	start := time.Now()
	leaver.mu.Lock()
	leaver.silent = true
	leaver.mu.Unlock()
	late := leaver.beat("ready")
	s.note("%s sends a heartbeat that is held up on its way: %s", leaver.name, late)
	if !leaver.tell(http.MethodDelete, nil) {
		giveUp("the withdrawal was not acknowledged")
	}
	acknowledged := time.Now()
	s.note("%s: DELETE is acknowledged by %s", leaver.name, leaver.node.name)
	if s.trouble {
		sleepUntil(start, 200*time.Millisecond)
		leaver.node.killAndRestart()
	}
	sleepUntil(start, 3*time.Second)
	s.note("the heartbeat that was held up arrives, acknowledged %t", leaver.put(late))
	sleepUntil(start, 5500*time.Millisecond)
	exited := time.Now()
	s.note("%s exits", leaver.name)
	leaver.exit()
	sleepUntil(start, 9*time.Second)
	close(stop)
	done.Wait()
	from := acknowledged.Add(drainTime)
	if touch := leaver.node.inTouchSince(); touch.After(from) {
		from = touch
	}
	s.note("counted are requests that reach %s from %s after the acknowledgement on", leaver.name, from.Sub(acknowledged))
	broken, lost := 0, 0
	for _, r := range leaver.executions(from, exited) {
		broken++
		s.note("broken: %s reaches %s %s after its withdrawal was acknowledged, finished %t, the client got %d", r.id, r.backend, r.at.Sub(acknowledged), r.finished, answers[r.id].status)
		if !r.finished {
			lost++
		}
	}
	s.note("%d of these were cut by the exit of the backend", lost)
	return broken
}

// Doses of the disruptions of playSecondRefusal, at most those of the site file.
const (
	// shedShare is the part of the requests that a grey backend rejects.
	shedShare = 0.2
	// garbledShare is the part of its answers that a faulty backend sends once more. One of
	// two backends is faulty.
	garbledShare = 0.03
	// greyTime is how long both last, greyTimes how often they come.
	greyTime  = 5 * time.Second
	greyTimes = 8
)

// playSecondRefusal lets grey backends reject part of the requests, and one of them garbles:
// it sends an answer a second time, late, at the point where the next answer is expected.
func playSecondRefusal(s *stage) int {
	s.build("desk", "desk", "vault")
	s.startAll(configurationOf(
		map[string]map[string]any{"/issue/": route("non_idempotent", "desk", 1.2)},
		map[string]map[string]any{"vault": service(false), "desk": service(true)}))
	backends := []*backend{
		s.startBackend(s.sidecars[0], "desk", true, 60*time.Millisecond),
		s.startBackend(s.sidecars[1], "desk", true, 60*time.Millisecond),
		s.startBackend(s.sidecars[2], "vault", false, 60*time.Millisecond),
	}
	var mu sync.Mutex
	grey := false
	for _, b := range backends[:2] {
		b.onRequest = func(*http.Request) bool {
			mu.Lock()
			defer mu.Unlock()
			return grey && rand.Float64() < shedShare
		}
	}
	backends[0].onAnswer = func(request *http.Request, a *answer) {
		id := request.Header.Get("Marigoldhill-Request-Id")
		mu.Lock()
		defer mu.Unlock()
		if !grey || !s.trouble || id == "" || rand.Float64() >= garbledShare {
			return
		}
		a.late = a.encode()
		s.note("%s will send its answer %d to %s once more", backends[0].name, a.status, id)
	}
	time.Sleep(4 * time.Second)
	answers := make(map[string]reply)
	stop := make(chan struct{})
	var done sync.WaitGroup
	for _, m := range s.sidecars {
		newClient(m).load(40, stop, &done,
			func() requestCall {
				return requestCall{id: newID(), method: http.MethodPost, path: "/issue/1", key: rand.IntN(65536), deadline: 1200 * time.Millisecond, body: strings.NewReader("certificate")}
			},
			func(call requestCall, got reply) {
				mu.Lock()
				answers[call.id] = got
				mu.Unlock()
				s.note("client on %s: %s is answered %d", m.name, call.id, got.status)
			})
	}
	time.Sleep(stableWindow)
	setGrey := func(on bool) {
		mu.Lock()
		defer mu.Unlock()
		grey = on
	}
	for range greyTimes {
		setGrey(true)
		time.Sleep(greyTime)
		setGrey(false)
		time.Sleep(2 * time.Second)
	}
	close(stop)
	done.Wait()
	return countBroken(s, backends, answers)
}

// countBroken counts the requests that must not be repeated and ran more than once, or were
// answered as not run though they ran.
func countBroken(s *stage, backends []*backend, answers map[string]reply) int {
	ran := make(map[string]int)
	for _, b := range backends {
		for _, r := range b.executions(time.Time{}, time.Now()) {
			ran[r.id]++
		}
	}
	broken := 0
	for id, count := range ran {
		got, known := answers[id]
		if count > 1 {
			broken++
			s.note("broken: %s ran %d times", id, count)
		}
		if known && (got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests) {
			broken++
			s.note("broken: %s was answered %d, which says that it has not run, and ran", id, got.status)
		}
	}
	s.note("%d requests were answered, %d ran", len(answers), len(ran))
	return broken
}

// slowBody is a body in chunks that its client sends at a limited rate.
type slowBody struct {
	data []byte
	sent int
}

const (
	// bodyBytes is the largest body of an upload in the site files.
	bodyBytes = 360_000
	pieceSize = 8 << 10
	pieceWait = 20 * time.Millisecond
	// uploads is how many clients upload at a time, uploadGap the time between their starts.
	uploads   = 10
	uploadGap = 60 * time.Millisecond
	// kills is how often the router is killed.
	kills = 10
)

// Read implements io.Reader.
func (b *slowBody) Read(data []byte) (int, error) {
	if b.sent == len(b.data) {
		return 0, io.EOF
	}
	time.Sleep(pieceWait)
	n := copy(data[:min(len(data), pieceSize)], b.data[b.sent:])
	b.sent += n
	return n, nil
}

// playTruncatedBody kills a router while bodies in chunks arrive through it.
func playTruncatedBody(s *stage) int {
	// Thirteen sidecars, as on the site: one of them is a share of 0.077.
	s.build("archive", "archive", "archive", "archive", "desk", "desk", "desk", "desk", "desk", "desk", "desk", "desk", "desk")
	s.startAll(configurationOf(
		map[string]map[string]any{"/upload/": route("upload", "archive", 4)},
		map[string]map[string]any{"archive": service(false), "desk": service(false)}))
	var archives []*backend
	for n, m := range s.sidecars {
		if n < 4 {
			archives = append(archives, s.startBackend(m, "archive", false, 50*time.Millisecond))
			continue
		}
		s.startBackend(m, "desk", false, 50*time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	content := bytes.Repeat([]byte("0123456789abcdef"), bodyBytes/16)
	entry := s.sidecars[4]
	answers := make(map[string]reply)
	var mu sync.Mutex
	for range kills {
		var done sync.WaitGroup
		for range uploads {
			call := requestCall{id: newID(), method: http.MethodPost, path: "/upload/1", key: noKey, deadline: 4 * time.Second, body: &slowBody{data: content}}
			done.Go(func() {
				s.note("client: %s uploads %d bytes in chunks", call.id, len(content))
				got := newClient(entry).send(call)
				mu.Lock()
				answers[call.id] = got
				mu.Unlock()
				s.note("client: %s is answered %d", call.id, got.status)
			})
			time.Sleep(uploadGap)
		}
		time.Sleep(400 * time.Millisecond)
		if s.trouble {
			entry.killAndRestart()
		}
		done.Wait()
		deadline := time.Now().Add(startTimeout)
		for !entry.isReady() {
			if time.Now().After(deadline) {
				giveUp("%s is not ready", entry.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Second)
	}
	broken := 0
	for _, archive := range archives {
		for _, r := range archive.executions(time.Time{}, time.Now()) {
			if !bytes.Equal(r.body, content) {
				broken++
				s.note("broken: %s ran with a body of %d bytes, its client sends %d and got %d", r.id, len(r.body), len(content), answers[r.id].status)
			}
		}
	}
	return broken
}

// overlapBound is how long two backends may hold the same keys.
const overlapBound = 500 * time.Millisecond

// watchHolds counts the times that two backends hold the same key for longer than
// overlapBound, until stop is closed.
func watchHolds(s *stage, one, other *backend, stop <-chan struct{}) func() int {
	broken := 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		since := make(map[int]time.Time)
		reported := make(map[int]bool)
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			now := time.Now()
			for key := 0; key < 65536; key += 64 {
				if !one.holds(key) || !other.holds(key) {
					delete(since, key)
					delete(reported, key)
					continue
				}
				if _, known := since[key]; !known {
					since[key] = now
				}
				if now.Sub(since[key]) > overlapBound && !reported[key] {
					reported[key] = true
					broken++
					if broken <= 20 {
						s.note("broken: %s and %s both hold key %d for %s", one.name, other.name, key, now.Sub(since[key]))
					}
				}
			}
		}
	}()
	return func() int {
		<-done
		return broken
	}
}

// playForeignBeat sends a heartbeat of another writer to the router beside a backend that
// holds keys. Fields are missing in it.
func playForeignBeat(s *stage) int {
	s.build("desk", "desk", "vault")
	s.startAll(configurationOf(
		map[string]map[string]any{"/issue/": route("non_idempotent", "desk", 1.2)},
		map[string]map[string]any{"vault": service(false), "desk": service(true)}))
	one := s.startBackend(s.sidecars[0], "desk", true, 100*time.Millisecond)
	other := s.startBackend(s.sidecars[1], "desk", true, 100*time.Millisecond)
	s.startBackend(s.sidecars[2], "vault", false, 100*time.Millisecond)
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	answers := make(map[string]reply)
	stop := make(chan struct{})
	counted := watchHolds(s, one, other, stop)
	var done sync.WaitGroup
	for _, m := range s.sidecars {
		newClient(m).load(12, stop, &done,
			func() requestCall {
				return requestCall{id: newID(), method: http.MethodPost, path: "/issue/1", key: rand.IntN(65536), deadline: 1200 * time.Millisecond, body: strings.NewReader("certificate")}
			},
			func(call requestCall, got reply) {
				mu.Lock()
				answers[call.id] = got
				mu.Unlock()
				s.note("client on %s: %s is answered %d", m.name, call.id, got.status)
			})
	}
	time.Sleep(stableWindow + 2*time.Second)
	if s.trouble {
		foreign := one.asForeign()
		s.note("another writer sends a heartbeat to %s: PUT /instances/%s %s", one.node.name, foreign.id, foreign.data)
		s.note("it is answered, acknowledged %t", one.tellAs(foreign.id, http.MethodPut, foreign.data))
	}
	time.Sleep(8 * time.Second)
	close(stop)
	done.Wait()
	return counted()
}
