package matrix

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"marigoldhill/bench/responder"
	"marigoldhill/kernel/messenger"
)

const (
	// requestTimeout is the timeout that callers send with each request.
	requestTimeout = 1500 * time.Millisecond
	// clientTimeout is how long a caller waits for any response.
	clientTimeout = 5 * time.Second
	// requestInterval is the pause between two requests of a caller.
	requestInterval = 40 * time.Millisecond
	// maxResends is how often a caller sends a non-idempotent request at most
	// until its outcome is done.
	maxResends = 4
	// responsePaddingBytes is the length of the padding of a response, which spans
	// several frames.
	responsePaddingBytes = 40 << 10
)

// Caller sends requests and records them with their outcomes.
type Caller struct {
	harness *Harness
	name    string
	random  *rand.Rand
	keys    []string
	sent    int
}

// NewCaller returns a caller whose random choices are derived from seed.
func (h *Harness) NewCaller(name string, seed uint64, keys []string) *Caller {
	return &Caller{harness: h, name: name, random: rand.New(rand.NewPCG(seed, seed)), keys: keys}
}

// Run sends requests one after the other until ctx ends, and waits for the outcome of
// the last one.
func (c *Caller) Run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		key := c.keys[c.random.IntN(len(c.keys))]
		switch i % 3 {
		case 0:
			c.sendLookup(key)
		case 1:
			c.sendUntilDone(ctx, key)
		case 2:
			c.send(Send{Key: key, Size: responsePaddingBytes}, c.pickRouter())
		}
		sleep(ctx, requestInterval)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (c *Caller) sendLookup(key string) {
	c.send(Send{Key: key, Idempotent: true, Size: responsePaddingBytes}, c.pickRouter())
}

// sendUntilDone sends a non-idempotent request until it is done, always with the same
// Idempotency-Key. About half of the attempts go to two routers at once.
func (c *Caller) sendUntilDone(ctx context.Context, key string) {
	identity := fmt.Sprintf("%s-certificate-%d", c.name, c.sent)
	for range maxResends {
		outcome := c.sendOnceOrTwice(Send{Key: key, Identity: identity})
		if outcome == messenger.OutcomeDone || ctx.Err() != nil {
			return
		}
		sleep(ctx, 5*requestInterval)
	}
}

func (c *Caller) sendOnceOrTwice(send Send) messenger.Outcome {
	if c.random.IntN(2) == 0 {
		return c.send(send, c.pickRouter())
	}
	secondOutcome := make(chan messenger.Outcome)
	first, second := c.withNumber(send), c.withNumber(send)
	other := c.pickRouter()
	go func() { secondOutcome <- c.sendAndRecord(second, other) }()
	outcome := c.sendAndRecord(first, c.pickRouter())
	if got := <-secondOutcome; got == messenger.OutcomeDone {
		return got
	}
	return outcome
}

// pickRouter returns the base URL of a random router, preferably one that is not
// dead.
func (c *Caller) pickRouter() string {
	nodes := c.harness.Cluster.Routers
	start := c.random.IntN(len(nodes))
	for i := range nodes {
		node := nodes[(start+i)%len(nodes)]
		if !c.harness.IsDead(node.Name()) {
			return node.Process().CallerURL()
		}
	}
	return nodes[start].Process().CallerURL()
}

func (c *Caller) send(send Send, base string) messenger.Outcome {
	return c.sendAndRecord(c.withNumber(send), base)
}

// withNumber returns send with the next number of the caller.
func (c *Caller) withNumber(send Send) Send {
	c.sent++
	send.Number = fmt.Sprintf("%s-%d", c.name, c.sent)
	return send
}

// sendAndRecord sends a request and records it with its outcome.
func (c *Caller) sendAndRecord(send Send, base string) messenger.Outcome {
	send.At = c.harness.History.Now()
	c.harness.History.AddSend(send)
	response := c.roundTrip(send, base)
	response.Number = send.Number
	response.At = c.harness.History.Now()
	c.harness.History.AddResponse(response)
	return response.Outcome
}

// roundTrip sends a request. If the connection fails, the outcome is unknown.
func (c *Caller) roundTrip(send Send, base string) Response {
	lost := Response{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonLost}
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	request, err := newRequest(ctx, send, base)
	if err != nil {
		return lost
	}
	httpResponse, err := c.harness.Cluster.Client().Do(request)
	if err != nil {
		return lost
	}
	defer func() { _ = httpResponse.Body.Close() }()
	response := Response{
		Outcome: messenger.Outcome(httpResponse.Header.Get(messenger.HeaderOutcome)),
		Reason:  messenger.Reason(httpResponse.Header.Get(messenger.HeaderReason)),
	}
	if response.Outcome != messenger.OutcomeDone {
		return response
	}
	var result responder.Result
	if err := json.NewDecoder(httpResponse.Body).Decode(&result); err != nil {
		// The connection failed within the response, so the caller has no complete
		// response.
		return lost
	}
	response.Echo = Echo{Key: result.Key, Identity: result.Number, Number: result.Send}
	response.Complete = len(result.Padding) == send.Size
	return response
}

func newRequest(ctx context.Context, send Send, base string) (*http.Request, error) {
	method := http.MethodPost
	if send.Idempotent {
		method = http.MethodGet
	}
	target := fmt.Sprintf("%s/v1/%s/%s/work?size=%d", base, Service, send.Key, send.Size)
	request, err := http.NewRequestWithContext(ctx, method, target, strings.NewReader(""))
	if err != nil {
		return nil, Error.New("building a request: %w", err)
	}
	request.Header.Set(messenger.HeaderTimeout, requestTimeout.String())
	request.Header.Set(responder.HeaderSend, send.Number)
	if send.Identity != "" {
		request.Header.Set(messenger.HeaderIdempotencyKey, send.Identity)
	}
	return request, nil
}

// Probe sends lookups of its key at a fixed rate until ctx ends, without waiting for
// earlier responses.
func (c *Caller) Probe(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for ctx.Err() == nil {
		send := c.withNumber(Send{Key: c.keys[0], Idempotent: true})
		base := c.pickRouter()
		tasks.Go(func() { c.sendAndRecord(send, base) })
		sleep(ctx, probeInterval)
	}
}
