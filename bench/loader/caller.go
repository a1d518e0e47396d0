package loader

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"marigoldhill/bench/responder"
	"marigoldhill/bench/transporter"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
)

// Outcomes that only the caller can observe, in addition to those of messenger.
const (
	// OutcomeLost means that no complete response was received.
	OutcomeLost messenger.Outcome = "lost"
	// OutcomeUnsent means that the request was not sent because too many were
	// in flight.
	OutcomeUnsent messenger.Outcome = "unsent"
	// OutcomeForeign means that the response belongs to another request.
	OutcomeForeign messenger.Outcome = "foreign"
)

const (
	resendDelay = 200 * time.Millisecond
	// responseGrace is how long a caller waits for a response beyond its timeout.
	responseGrace = 2 * time.Second
)

// result is the outcome of one arrival, with its latency and number of attempts.
type result struct {
	kind    int
	key     string
	outcome messenger.Outcome
	reason  messenger.Reason
	server  string
	// due is the time since the start of the run, latency the time since due.
	due      time.Duration
	latency  time.Duration
	attempts int
}

// caller sends requests like the callers of a service.
type caller struct {
	settings Settings
	client   *http.Client
}

func newCaller(settings Settings, network networker.Network) caller {
	return caller{settings: settings, client: transporter.New(network, settings.Flight)}
}

// call sends the request of an arrival. If the request has an Idempotency-Key, it
// is sent again while its outcome is unknown, at most Settings.Resends times.
func (c caller) call(ctx context.Context, arrival arrival) result {
	record := result{kind: arrival.kind, key: arrival.key, due: arrival.due}
	for {
		record.attempts++
		started := time.Now()
		c.attempt(ctx, arrival, &record)
		if record.outcome == OutcomeLost && time.Since(started) >= c.settings.Timeout {
			record.reason = messenger.ReasonExpired
		}
		unknown := record.outcome == messenger.OutcomeUnknown || record.outcome == OutcomeLost
		if !unknown || arrival.idempotencyKey == "" || record.attempts > c.settings.Resends {
			return record
		}
		select {
		case <-time.After(resendDelay):
		case <-ctx.Done():
			return record
		}
	}
}

// attempt sends the request of an arrival once and stores the outcome in record.
func (c caller) attempt(ctx context.Context, arrival arrival, record *result) {
	record.outcome, record.reason = OutcomeLost, messenger.ReasonNone
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout+responseGrace)
	defer cancel()
	response, err := c.send(ctx, arrival)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return
	}
	record.outcome = messenger.Outcome(response.Header.Get(messenger.HeaderOutcome))
	record.reason = messenger.Reason(response.Header.Get(messenger.HeaderReason))
	record.server = response.Header.Get(messenger.HeaderServer)
	if record.outcome == "" {
		record.outcome = OutcomeLost
	}
	if record.outcome == messenger.OutcomeDone && !isResponseTo(arrival, body) {
		record.outcome = OutcomeForeign
	}
}

// send sends the request of an arrival to its router, or to the next one if that
// router cannot be reached or does not serve callers at the moment.
func (c caller) send(ctx context.Context, arrival arrival) (*http.Response, error) {
	routers := c.settings.Routers
	for offset := range routers {
		router := routers[(arrival.router+offset)%len(routers)]
		request, err := c.request(ctx, arrival, router)
		if err != nil {
			return nil, err
		}
		response, err := c.client.Do(request)
		isLast := offset == len(routers)-1
		if errors.Is(err, transporter.ErrNotConnected) || (err == nil && mayServeElsewhere(response) && !isLast) {
			closeBody(response)
			continue
		}
		return response, err
	}
	return nil, transporter.ErrNotConnected
}

// mayServeElsewhere reports whether a router refused the request for a reason that
// concerns only that router, so that another one may serve it.
func mayServeElsewhere(response *http.Response) bool {
	reason := messenger.Reason(response.Header.Get(messenger.HeaderReason))
	refused := response.Header.Get(messenger.HeaderOutcome) == string(messenger.OutcomeRefused)
	return refused && (reason == messenger.ReasonLease || reason == messenger.ReasonStopping)
}

func closeBody(response *http.Response) {
	if response != nil {
		_ = response.Body.Close()
	}
}

// request creates the HTTP request of an arrival.
func (c caller) request(ctx context.Context, arrival arrival, router string) (*http.Request, error) {
	kind := c.settings.Kinds[arrival.kind]
	target := router + "/v1/" + c.settings.Service + "/" + url.PathEscape(arrival.key) + "/" + kind.Route
	query := url.Values{}
	if kind.Work > 0 {
		query.Set("work", kind.Work.String())
	}
	if kind.ResponsePaddingBytes > 0 {
		query.Set("size", strconv.Itoa(kind.ResponsePaddingBytes))
	}
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	body := strings.NewReader(strings.Repeat("x", kind.BodyBytes))
	request, err := http.NewRequestWithContext(ctx, kind.Method, target, body)
	if err != nil {
		return nil, Error.New("creating a request: %w", err)
	}
	request.Header.Set(messenger.HeaderTimeout, c.settings.Timeout.String())
	if arrival.idempotencyKey != "" {
		request.Header.Set(messenger.HeaderIdempotencyKey, arrival.idempotencyKey)
	}
	return request, nil
}

// isResponseTo reports whether body is a complete response to the arrival.
func isResponseTo(arrival arrival, body []byte) bool {
	var decoded responder.Result
	if err := json.Unmarshal(body, &decoded); err != nil {
		return false
	}
	return decoded.Key == arrival.key && decoded.Number == arrival.idempotencyKey
}
