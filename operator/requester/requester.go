// Package requester is a client of the operator interface of the control group.
//
// It tries each base URL in turn until one responds, follows redirects to the
// leader, and retries a change with the same Idempotency-Key if no response or a
// server error arrives, so that the change is applied only once.
//
// # Usage
//
//	client := requester.New([]string{"http://127.0.0.1:7102"}, 10*time.Second)
//	status, err := requester.Get[messenger.Status](ctx, client, "/v1/status")
//	accepted, err := client.Change(ctx, requester.Change{Method: "PUT", Path: path, Body: profile})
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

// ErrUnreachable means that all attempts within the timeout of the Requester failed
// without a response or with a server error.
var ErrUnreachable = errs.New("no operator interface answered")

const (
	// retryInterval is the delay after all base URLs have been tried.
	retryInterval = 250 * time.Millisecond
	// attemptTimeout limits one attempt at one base URL.
	attemptTimeout = 5 * time.Second
	// maxResponseBytes limits how much of the body of a response is read.
	maxResponseBytes = 64 << 20

	contentTypeJSON = "application/json"
	contentTypeYAML = "application/yaml"
)

// Requester is a client with a list of base URLs of operator interfaces.
type Requester struct {
	baseURLs []string
	timeout  time.Duration
	client   *http.Client
}

// New returns a Requester whose calls, including retries, take at most timeout.
func New(baseURLs []string, timeout time.Duration) *Requester {
	trimmed := make([]string, len(baseURLs))
	for i, baseURL := range baseURLs {
		trimmed[i] = strings.TrimRight(baseURL, "/")
	}
	return &Requester{baseURLs: trimmed, timeout: timeout, client: &http.Client{}}
}

// WithHTTPClient replaces the HTTP client and returns the Requester.
func (r *Requester) WithHTTPClient(client *http.Client) *Requester {
	r.client = client
	return r
}

// Result is a value with its ETag.
type Result[T any] struct {
	Value T
	// ETag is the entity tag, for use as IfMatch in a [Change].
	ETag string
}

// Get reads the JSON value at path.
func Get[T any](ctx context.Context, r *Requester, path string) (Result[T], error) {
	var result Result[T]
	response, err := r.send(ctx, request{method: http.MethodGet, path: path})
	if err != nil {
		return result, err
	}
	if err := json.Unmarshal(response.body, &result.Value); err != nil {
		return result, Error.New("decoding the response to %s: %w", path, err)
	}
	result.ETag = response.etag
	return result, nil
}

// Text returns the body of the response for path unparsed.
func (r *Requester) Text(ctx context.Context, path string) ([]byte, error) {
	response, err := r.send(ctx, request{method: http.MethodGet, path: path})
	return response.body, err
}

// Change is a request that changes the configuration or the membership.
type Change struct {
	Method string
	Path   string
	// Body is sent as JSON. If nil, no body is sent.
	Body any
	// YAML is YAML that is sent instead of Body unless it is nil.
	YAML []byte
	// IfMatch is the ETag on which the change is based, sent as If-Match unless it is
	// empty.
	IfMatch string
	// Operator identifies who sends the change, unless it is empty.
	Operator string
}

// Change sends a change with a new Idempotency-Key and returns the revision of the
// change.
func (r *Requester) Change(ctx context.Context, change Change) (messenger.Accepted, error) {
	var accepted messenger.Accepted
	request := request{method: change.Method, path: change.Path, ifMatch: change.IfMatch, operator: change.Operator, idempotencyKey: rand.Text(), contentType: contentTypeJSON}
	if change.YAML != nil {
		request.body, request.contentType = change.YAML, contentTypeYAML
	} else if change.Body != nil {
		body, err := json.Marshal(change.Body)
		if err != nil {
			return accepted, Error.New("encoding the change: %w", err)
		}
		request.body = body
	}
	response, err := r.send(ctx, request)
	if err != nil {
		return accepted, err
	}
	if len(response.body) == 0 {
		return accepted, nil
	}
	if err := json.Unmarshal(response.body, &accepted); err != nil {
		return accepted, Error.New("decoding the response to the change: %w", err)
	}
	return accepted, nil
}

// request is an HTTP request, which may be sent several times.
type request struct {
	method         string
	path           string
	ifMatch        string
	operator       string
	idempotencyKey string
	body           []byte
	contentType    string
}

// response is a complete response with a status below 300.
type response struct {
	etag string
	body []byte
}

// send tries the base URLs in turn until an attempt succeeds, fails with an error that
// is not retryable, or the timeout of the Requester is reached.
func (r *Requester) send(ctx context.Context, request request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	var lastErr error
	for {
		for _, baseURL := range r.baseURLs {
			result, err := r.try(ctx, baseURL, request)
			if !isRetryable(err) {
				return result, err
			}
			lastErr = err
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return response{}, Error.New("%w: %w", ErrUnreachable, lastErr)
		}
	}
}

// try sends a request once, to one base URL.
func (r *Requester) try(ctx context.Context, baseURL string, request request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, request.method, baseURL+request.path, bytes.NewReader(request.body))
	if err != nil {
		return response{}, Error.New("creating the request: %w", err)
	}
	if request.body != nil {
		httpRequest.Header.Set("Content-Type", request.contentType)
	}
	if request.ifMatch != "" {
		httpRequest.Header.Set("If-Match", request.ifMatch)
	}
	if request.operator != "" {
		httpRequest.Header.Set(messenger.HeaderOperator, request.operator)
	}
	if request.idempotencyKey != "" {
		httpRequest.Header.Set(messenger.HeaderIdempotencyKey, request.idempotencyKey)
	}
	httpResponse, err := r.client.Do(httpRequest)
	if err != nil {
		return response{}, &noResponseError{cause: err}
	}
	defer func() { _ = httpResponse.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if err != nil {
		return response{}, &noResponseError{cause: err}
	}
	if httpResponse.StatusCode >= http.StatusMultipleChoices {
		return response{}, parseRefusal(httpResponse.StatusCode, body)
	}
	return response{etag: httpResponse.Header.Get("ETag"), body: body}, nil
}

// isRetryable reports whether another base URL or a later attempt may succeed: no
// response arrived, or its status was 500 or above.
func isRetryable(err error) bool {
	var noResponse *noResponseError
	if errors.As(err, &noResponse) {
		return true
	}
	var refusal *Refusal
	return errors.As(err, &refusal) && refusal.Problem.Status >= http.StatusInternalServerError
}
