package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// earlyUploads is how many uploads are sent, one after the other, in less than 6 s. One of
	// the two backend servers begins its answer to each earlyEvery-th early.
	earlyUploads = 16
	earlyEvery   = 3
	// uploadBytes is the size of an upload, the largest of plate-upload. uploadPiece is what the
	// client sends at a time, uploadPause the time between two pieces.
	uploadBytes = 360_000
	uploadPiece = 8_000
	uploadPause = 5 * time.Millisecond
	// reportBytes is the size of an answer, which comes in chunks.
	reportBytes = 9_000
)

// upload is what a backend server has received of a body.
type upload struct {
	data []byte
	err  error
}

// runEarly sends uploads in chunks to a backend server that begins its answer before it has
// read the whole body, and reads on.
func runEarly(caseDir string, trouble bool) error {
	c, err := newCluster(caseDir, 3, 1)
	if err != nil {
		return err
	}
	defer c.close()
	var controls []string
	for i := range 3 {
		p, err := c.control(i+1, true)
		if err != nil {
			return err
		}
		controls = append(controls, p.controlAddress())
	}
	var routers []*process
	for i := range 2 {
		p, err := c.router(i, plain)
		if err != nil {
			return err
		}
		routers = append(routers, p)
	}
	var mu sync.Mutex
	received := make(map[string]upload)
	answer := bytes.Repeat([]byte("report. "), reportBytes/8)
	for i, p := range routers {
		b := &backend{c: c, router: p, id: fmt.Sprintf("i-%d", i), service: plain}
		begun := 0
		b.run = func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).EnableFullDuplex()
			w.Header().Set("Transfer-Encoding", "chunked")
			rest := answer
			mu.Lock()
			begun++
			isEarly := trouble && i == 0 && begun%earlyEvery == 0
			mu.Unlock()
			if isEarly {
				// The answer begins before the body has been read.
				c.note("%s begins its answer to %s early", b.id, r.Header.Get("Marigoldhill-Request-Id"))
				_, _ = w.Write(answer[:len(answer)/2])
				_ = http.NewResponseController(w).Flush()
				rest = answer[len(answer)/2:]
			}
			data, err := io.ReadAll(r.Body)
			mu.Lock()
			received[r.Header.Get("Marigoldhill-Request-Id")] = upload{data: data, err: err}
			mu.Unlock()
			_, _ = w.Write(rest)
		}
		if err := b.start(); err != nil {
			return err
		}
		defer b.stop()
	}
	configuration := `{"version":"00000001","routes":{"r-pack":{"host":"desk.example","path_prefix":"/packs/","kind":"non_idempotent","timeout_s":8,"target_latency_s":2.5,"priority":1,"service":"records-vault","max_attempts":2}},"services":{"records-vault":{"health_path":"/health","max_connections":110,"protocol":"h1","tls":false},"inspect-desk":{"health_path":"/health","max_connections":110,"protocol":"h1","tls":false}},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}`
	if err := c.putConfiguration(controls, configuration, 20*time.Second); err != nil {
		return err
	}
	if err := c.waitReady(routers, 20*time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	broken, served, breaks := "", 0, 0
	for n := range earlyUploads {
		id := fmt.Sprintf("upload-%d", n)
		entry := routers[n%len(routers)]
		body := make([]byte, uploadBytes)
		seeded := rand.NewChaCha8(sha256.Sum256([]byte(id)))
		_, _ = seeded.Read(body)
		status, size, err := sendChunked(entry.outbound(), id, body)
		c.note("client at %s sent %s, %d bytes in chunks: status %d, %d bytes of the answer, error %v", entry.name, id, len(body), status, size, err)
		time.Sleep(100 * time.Millisecond)
		mu.Lock()
		got, ok := received[id]
		mu.Unlock()
		if !ok {
			c.note("%s was not run", id)
			continue
		}
		c.note("backend received %d bytes of %s, end of the body: %v", len(got.data), id, got.err == nil)
		if status == http.StatusOK && size == len(answer) {
			served++
		}
		switch {
		case !isPrefix(got.data, body):
			broken = fmt.Sprintf("UNASKED: %s: at offset %d the backend got other bytes than were sent", id, firstDifference(got.data, body))
		case got.err == nil && len(got.data) < len(body):
			broken = fmt.Sprintf("UNASKED: %s: the backend got %d of %d bytes as a complete body", id, len(got.data), len(body))
		default:
			continue
		}
		breaks++
		c.note("%s", broken)
	}
	switch {
	case broken != "":
		return errBroken(fmt.Sprintf("%s (%d of %d uploads)", broken, breaks, earlyUploads))
	case served == 0:
		return fmt.Errorf("no upload was served")
	}
	return nil
}

// sendChunked sends a body in chunks and reads the answer meanwhile.
func sendChunked(address, id string, body []byte) (status, size int, err error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, 0, fmt.Errorf("connecting: %w", err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	go func() {
		fmt.Fprintf(conn, "POST /packs/%s HTTP/1.1\r\nHost: desk.example\r\nMarigoldhill-Request-Id: %s\r\nMarigoldhill-Deadline-Ms: 8000\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
		for len(body) > 0 {
			n := min(uploadPiece, len(body))
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", n, body[:n]); err != nil {
				return
			}
			body = body[n:]
			time.Sleep(uploadPause)
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0, fmt.Errorf("reading the answer: %w", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, len(data), err
}
