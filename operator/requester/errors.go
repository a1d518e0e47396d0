package requester

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"marigoldhill/kernel/messenger"
)

// noResponseError is returned by an attempt for which no complete response arrived.
// The server may have processed the request nevertheless.
type noResponseError struct {
	cause error
}

func (e *noResponseError) Error() string { return fmt.Sprintf("lost answer: %v", e.cause) }

func (e *noResponseError) Unwrap() error { return e.cause }

// Refusal is a response with a status of 300 or above.
type Refusal struct {
	Problem messenger.Problem
}

// Error implements error.
func (r *Refusal) Error() string {
	text := r.Problem.Title
	if r.Problem.Detail != "" {
		text += ": " + r.Problem.Detail
	}
	return text
}

// IsConflict reports whether the change conflicts with the current state: it is based
// on an outdated revision, lacks a precondition, or collides with another change.
func (r *Refusal) IsConflict() bool {
	switch r.Problem.Status {
	case http.StatusPreconditionFailed, http.StatusPreconditionRequired, http.StatusConflict:
		return true
	}
	return false
}

// IsNotFound reports whether the resource does not exist.
func (r *Refusal) IsNotFound() bool {
	return r.Problem.Status == http.StatusNotFound
}

// IsInvalid reports whether the request is malformed or has invalid values.
func (r *Refusal) IsInvalid() bool {
	return r.Problem.Status == http.StatusBadRequest || r.Problem.Status == http.StatusUnprocessableEntity
}

// IsNotFound reports whether err is a [Refusal] because the resource does not exist.
func IsNotFound(err error) bool {
	var refusal *Refusal
	return errors.As(err, &refusal) && refusal.IsNotFound()
}

// parseRefusal parses problem details (application/problem+json). Any other body
// becomes the detail as it is.
func parseRefusal(status int, body []byte) *Refusal {
	refusal := &Refusal{}
	if err := json.Unmarshal(body, &refusal.Problem); err != nil {
		refusal.Problem.Detail = string(body)
	}
	refusal.Problem.Status = status
	if refusal.Problem.Title == "" {
		refusal.Problem.Title = http.StatusText(status)
	}
	return refusal
}
