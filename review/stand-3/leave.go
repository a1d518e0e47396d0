package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// leaveBytes is the size of an upload, the largest of those of plate-upload, leaveWork how long a backend server works on one.
	leaveBytes = 360_000
	leaveWork  = 1500 * time.Millisecond
	// leaveAfter is when a client leaves, goneSlack the time of the rule GONE.
	leaveAfter = 300 * time.Millisecond
	goneSlack  = 500 * time.Millisecond
	// aFew is how many requests may come later all the same.
	aFew = 5
	// stayers and leavers are the uploads at each router of clients that stay and leave, and
	// lookups the small requests of others that stay: three in ten leave.
	stayers = 6
	leavers = 6
	lookups = 8
	// lookupWork is how long a backend server works on a small request.
	lookupWork = 20 * time.Millisecond
)

// runLeave sends uploads that wait for a slot while their clients leave.
func runLeave(caseDir string, trouble bool) error {
	var mu sync.Mutex
	reached := make(map[string]time.Time)
	f, err := newFleet(caseDir, 3, 1, []string{plain, plain}, func(_ *backend, w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		reached[r.Header.Get("Marigoldhill-Request-Id")] = time.Now()
		mu.Unlock()
		_, _ = io.Copy(io.Discard, r.Body)
		work := leaveWork
		if r.Method == http.MethodGet {
			work = lookupWork
		}
		select {
		case <-time.After(work):
		case <-r.Context().Done():
			return
		}
		_, _ = w.Write([]byte("done"))
	})
	if err != nil {
		return err
	}
	defer f.close()
	settings := strings.NewReplacer(`"target_latency_s":0.5`, `"target_latency_s":6`, `"target_latency_s":1.2`, `"target_latency_s":6`).Replace(configuration(1, "8"))
	if err := f.putConfiguration(f.addresses, settings, 20*time.Second); err != nil {
		return err
	}
	if err := f.waitReady(f.routers, 20*time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	closed := make(map[string]time.Time)
	body := strings.Repeat("x", leaveBytes)
	var tasks sync.WaitGroup
	upload := func(entry *process, id string, stay time.Duration) {
		tasks.Go(func() {
			conn, err := net.DialTimeout("tcp", entry.outbound(), time.Second)
			if err != nil {
				f.note("%s: %v", id, err)
				return
			}
			sent := time.Now()
			_ = conn.SetDeadline(sent.Add(stay))
			written, err := io.WriteString(conn, fmt.Sprintf("POST /issues/%s HTTP/1.1\r\nHost: desk.example\r\nMarigoldhill-Request-Id: %s\r\nMarigoldhill-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n", id, id, leaveBytes)+body)
			f.note("client at %s has sent %d bytes of %s after %v, error %v", entry.name, written, id, time.Since(sent).Round(time.Millisecond), err)
			answer := make([]byte, 64)
			n, err := conn.Read(answer)
			_ = conn.Close()
			mu.Lock()
			closed[id] = time.Now()
			mu.Unlock()
			line, _, _ := strings.Cut(string(answer[:n]), "\r\n")
			f.note("client closes %s after %v: %q, error %v", id, time.Since(sent).Round(time.Millisecond), line, err)
		})
	}
	for n, entry := range f.routers {
		for k := range stayers {
			upload(entry, fmt.Sprintf("stay-%d-%d", n, k), 8*time.Second)
		}
	}
	time.Sleep(200 * time.Millisecond)
	stay := leaveAfter
	if !trouble {
		stay = 8 * time.Second
	}
	for n, entry := range f.routers {
		for k := range leavers {
			upload(entry, fmt.Sprintf("leave-%d-%d", n, k), stay)
		}
	}
	for n, entry := range f.routers {
		for k := range lookups {
			tasks.Go(func() {
				id := fmt.Sprintf("lookup-%d-%d", n, k)
				status, err := send(entry.outbound(), http.MethodGet, "/archive/"+id, id, 8000, 1, "")
				f.note("client at %s sent %s: status %d, error %v", entry.name, id, status, err)
				mu.Lock()
				closed[id] = time.Now()
				mu.Unlock()
			})
		}
	}
	tasks.Wait()
	time.Sleep(5 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	late, ran := 0, 0
	for id, at := range reached {
		ran++
		if after := at.Sub(closed[id]); after > goneSlack {
			late++
			f.note("%s reaches a backend %v after its client has closed", id, after.Round(time.Millisecond))
		}
	}
	f.note("%d requests reached backends, %d of them later than %v after the close", ran, late, goneSlack)
	switch {
	case late > aFew:
		return errBroken(fmt.Sprintf("GONE: %d requests reached a backend later than %v after their clients had closed", late, goneSlack))
	case ran == 0:
		return fmt.Errorf("no request ran")
	}
	return nil
}
