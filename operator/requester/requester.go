// Package requester calls the operator interface of the control group.
//
// It tries each base URL in turn until one answers, follows redirects to the
// leader, and sends a change again under the same Idempotency-Key when its
// answer was lost, so that a change is made once.
//
// # Usage
//
//	requester := requester.New([]string{"http://127.0.0.1:7100"}, 10*time.Second)
//	status, err := requester.Get[messenger.Status](ctx, requester, "/v1/status")
//	accepted, err := requester.Change(ctx, requester.Change{Method: "PUT", Path: path, Body: profile})
package requester

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"marigoldhill/kernel/messenger"
)

// Error is the class of all errors of this package.
var Error = errs.Class("requester")

// ErrUnreachable says that no operator interface answered in time.
var ErrUnreachable = errs.New("no operator interface answered")

const (
	retryInterval = 250 * time.Millisecond
	// tryTimeout bounds one attempt at one base URL.
	tryTimeout = 5 * time.Second
	// bodyMax bounds an answer, in bytes.
	bodyMax = 64 << 20

	typeJSON = "application/json"
	typeYAML = "application/yaml"
)

// Requester calls the operator interface at a list of base URLs.
type Requester struct {
	bases   []string
	timeout time.Duration
	client  *http.Client
}

// New returns a Requester that gives up after timeout.
func New(bases []string, timeout time.Duration) *Requester {
	trimmed := make([]string, len(bases))
	for i, base := range bases {
		trimmed[i] = strings.TrimRight(base, "/")
	}
	return &Requester{bases: trimmed, timeout: timeout, client: &http.Client{}}
}

// Over makes the Requester send with client and returns it.
func (r *Requester) Over(client *http.Client) *Requester {
	r.client = client
	return r
}

// Got is a value with the tag to make a change from it.
type Got[T any] struct {
	Value T
	// Tag is the ETag, to be sent as If-Match.
	Tag string
}

// Get reads path as a T.
func Get[T any](ctx context.Context, r *Requester, path string) (Got[T], error) {
	var got Got[T]
	answer, err := r.send(ctx, call{method: http.MethodGet, path: path})
	if err != nil {
		return got, err
	}
	if err := json.Unmarshal(answer.body, &got.Value); err != nil {
		return got, Error.New("reading the answer to %s: %w", path, err)
	}
	got.Tag = answer.tag
	return got, nil
}

// Text reads path as it is.
func (r *Requester) Text(ctx context.Context, path string) ([]byte, error) {
	answer, err := r.send(ctx, call{method: http.MethodGet, path: path})
	return answer.body, err
}

// Change is one change of the configuration or the membership.
type Change struct {
	Method string
	Path   string
	// Body is sent as JSON unless nil.
	Body any
	// Text is sent as YAML in place of Body unless nil.
	Text []byte
	// Match is the tag that the change was made from; empty sends none.
	Match string
}

// Change makes a change and returns the revision that it got.
func (r *Requester) Change(ctx context.Context, change Change) (messenger.Accepted, error) {
	var accepted messenger.Accepted
	call := call{method: change.Method, path: change.Path, match: change.Match, number: rand.Text(), kind: typeJSON}
	if change.Text != nil {
		call.body, call.kind = change.Text, typeYAML
	} else if change.Body != nil {
		body, err := json.Marshal(change.Body)
		if err != nil {
			return accepted, Error.New("encoding the change: %w", err)
		}
		call.body = body
	}
	answer, err := r.send(ctx, call)
	if err != nil {
		return accepted, err
	}
	if len(answer.body) == 0 {
		return accepted, nil
	}
	if err := json.Unmarshal(answer.body, &accepted); err != nil {
		return accepted, Error.New("reading the answer to the change: %w", err)
	}
	return accepted, nil
}

// call is one HTTP request, sent as often as needed.
type call struct {
	method string
	path   string
	match  string
	number string
	body   []byte
	// kind is the type of the body.
	kind string
}

// answer is a whole successful answer.
type answer struct {
	tag  string
	body []byte
}

// send tries each base URL in turn until one answers or the time is up.
func (r *Requester) send(ctx context.Context, call call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	var last error
	for {
		for _, base := range r.bases {
			got, err := r.try(ctx, base, call)
			if !isTransient(err) {
				return got, err
			}
			last = err
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return answer{}, Error.New("%w: %w", ErrUnreachable, last)
		}
	}
}

// try sends a call to one base URL.
func (r *Requester) try(ctx context.Context, base string, call call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.method, base+call.path, bytes.NewReader(call.body))
	if err != nil {
		return answer{}, Error.New("making the request: %w", err)
	}
	if call.body != nil {
		request.Header.Set("Content-Type", call.kind)
	}
	if call.match != "" {
		request.Header.Set("If-Match", call.match)
	}
	if call.number != "" {
		request.Header.Set(messenger.HeaderIdempotency, call.number)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return answer{}, &lost{cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, bodyMax))
	if err != nil {
		return answer{}, &lost{cause: err}
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return answer{}, refusalOf(response.StatusCode, body)
	}
	return answer{tag: response.Header.Get("ETag"), body: body}, nil
}

// isTransient reports whether another base URL or a later attempt may answer.
func isTransient(err error) bool {
	var gone *lost
	if errors.As(err, &gone) {
		return true
	}
	var refusal *Refusal
	return errors.As(err, &refusal) && refusal.Problem.Status >= http.StatusInternalServerError
}
