package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// requestCall is one client attempt.
type requestCall struct {
	id       string
	method   string
	path     string
	key      int
	deadline time.Duration
	body     io.Reader
}

// reply is what a client got for an attempt. Its status is 0 if there was no answer.
type reply struct {
	status int
	stamp  string
	body   []byte
	// whole is set if the answer is complete.
	whole bool
}

const host = "stand.example"

// noKey means that a request carries no key.
const noKey = -1

func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// client sends requests to the outbound address of a machine over kept connections.
type client struct {
	http.Client
	node *node
}

func newClient(m *node) *client {
	dialer := net.Dialer{Timeout: time.Second}
	return &client{node: m, Client: http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true, IdleConnTimeout: 10 * time.Second,
	}}}
}

// send sends one attempt and waits for the answer until the deadline.
func (c *client) send(call requestCall) reply {
	request, err := http.NewRequest(call.method, "http://"+c.node.outbound+call.path, call.body)
	if err != nil {
		return reply{}
	}
	request.Host = host
	request.Header.Set("Marigoldhill-Request-Id", call.id)
	request.Header.Set("Marigoldhill-Deadline-Ms", strconv.FormatInt(call.deadline.Milliseconds(), 10))
	if call.key != noKey {
		request.Header.Set("Marigoldhill-Shard-Key", strconv.Itoa(call.key))
	}
	c.node.stage.note("client on %s sends %s %s %s, key %d", c.node.name, call.method, call.path, call.id, call.key)
	own := c.Client
	own.Timeout = call.deadline + 500*time.Millisecond
	response, err := own.Do(request)
	if err != nil {
		return reply{}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, stamp: response.Header.Get("Marigoldhill-Server-Stamp"), body: data, whole: err == nil}
}

// load sends requests at a steady rate until stop is closed. made builds each one.
func (c *client) load(perSecond float64, stop <-chan struct{}, done *sync.WaitGroup, made func() requestCall, answered func(requestCall, reply)) {
	done.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				call := made()
				done.Go(func() { answered(call, c.send(call)) })
			}
		}
	})
}
