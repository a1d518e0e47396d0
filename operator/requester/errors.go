package requester

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"marigoldhill/kernel/messenger"
)

// lost is an attempt whose answer did not arrive.
type lost struct {
	cause error
}

func (l *lost) Error() string { return fmt.Sprintf("lost answer: %v", l.cause) }

func (l *lost) Unwrap() error { return l.cause }

// Refusal is an answer that says no.
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

// IsConflict reports whether the change was made from an old revision.
func (r *Refusal) IsConflict() bool {
	switch r.Problem.Status {
	case http.StatusPreconditionFailed, http.StatusPreconditionRequired, http.StatusConflict:
		return true
	}
	return false
}

// IsMissing reports whether the thing asked for does not exist.
func (r *Refusal) IsMissing() bool {
	return r.Problem.Status == http.StatusNotFound
}

// IsInvalid reports whether the values sent are at fault.
func (r *Refusal) IsInvalid() bool {
	return r.Problem.Status == http.StatusBadRequest || r.Problem.Status == http.StatusUnprocessableEntity
}

// IsMissing reports whether err says that the thing asked for does not exist.
func IsMissing(err error) bool {
	var refusal *Refusal
	return errors.As(err, &refusal) && refusal.IsMissing()
}

// refusalOf reads a problem+json body; any other body becomes its detail.
func refusalOf(status int, body []byte) *Refusal {
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
