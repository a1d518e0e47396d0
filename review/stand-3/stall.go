package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// stallRequests is how many uploads are sent at the same time.
	stallRequests = 12
	// stallTimeout is timeout_s of the route.
	stallTimeout = 2 * time.Second
	// answerSlack is the time of the rule CONFIG after timeout_s.
	answerSlack = 500 * time.Millisecond
	// stallDeadline is how long the clients wait.
	stallDeadline = 8 * time.Second
	// pieceBytes is the size of a piece of a body, pieces their number.
	pieceBytes = 1000
	pieces     = 5
)

// runStall sends uploads whose bodies come slowly.
func runStall(caseDir string, trouble bool) error {
	f, err := newFleet(caseDir, 3, 1, []string{plain, plain}, func(_ *backend, w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write([]byte("done"))
	})
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.putConfiguration(f.addresses, configuration(1, fmt.Sprint(stallTimeout.Seconds())), 20*time.Second); err != nil {
		return err
	}
	if err := f.waitReady(f.routers, 20*time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	pause := 4 * time.Second
	if !trouble {
		pause = 10 * time.Millisecond
	}
	var mu sync.Mutex
	unanswered, late, answered := 0, 0, 0
	var tasks sync.WaitGroup
	for n := range stallRequests {
		tasks.Go(func() {
			id := fmt.Sprintf("upload-%d", n)
			entry := f.routers[n%len(f.routers)]
			took, status, err := sendSlowly(entry.outbound(), id, n%3, pause)
			f.note("client at %s sent %s: status %d after %v, error %v", entry.name, id, status, took.Round(time.Millisecond), err)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				answered++
			}
			if err != nil || took > stallTimeout {
				unanswered++
			}
			if err != nil || took > stallTimeout+answerSlack {
				late++
			}
		})
	}
	tasks.Wait()
	f.note("%d requests, %d unanswered at timeout_s, %d of these %v later", stallRequests, unanswered, late, answerSlack)
	switch {
	case late >= 8 && 2*late > unanswered:
		return errBroken(fmt.Sprintf("CONFIG: of %d requests that were unanswered at their timeout_s, %d had no answer %v later", unanswered, late, answerSlack))
	case answered == 0:
		return fmt.Errorf("no request was answered")
	}
	return nil
}

// sendSlowly sends a request whose body comes in pieces with pauses, in one of three forms,
// and returns when its answer came.
func sendSlowly(address, id string, form int, pause time.Duration) (time.Duration, int, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, 0, fmt.Errorf("connecting: %w", err)
	}
	defer conn.Close()
	sent := time.Now()
	_ = conn.SetReadDeadline(sent.Add(stallDeadline))
	framing, size := fmt.Sprintf("Content-Length: %d", pieces*pieceBytes), pieceBytes
	switch form {
	case 1:
		framing = "Transfer-Encoding: chunked"
	case 2:
		size = 30 * pieceBytes
		framing = fmt.Sprintf("Content-Length: %d", pieces*size)
	}
	go func() {
		fmt.Fprintf(conn, "POST /issues/%s HTTP/1.1\r\nHost: desk.example\r\nMarigoldhill-Request-Id: %s\r\nMarigoldhill-Deadline-Ms: %d\r\n%s\r\n\r\n", id, id, stallDeadline.Milliseconds(), framing)
		for n := range pieces {
			if n > 0 {
				time.Sleep(pause)
			}
			piece := strings.Repeat("x", size)
			if form == 1 {
				piece = fmt.Sprintf("%x\r\n%s\r\n", size, piece)
			}
			if _, err := io.WriteString(conn, piece); err != nil {
				return
			}
		}
		if form == 1 {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return time.Since(sent), 0, fmt.Errorf("reading the answer: %w", err)
	}
	_ = response.Body.Close()
	return time.Since(sent), response.StatusCode, nil
}
