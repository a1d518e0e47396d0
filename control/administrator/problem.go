package administrator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"marigoldhill/control/configurer"
	"marigoldhill/control/replicator"
	"marigoldhill/kernel/messenger"
)

// refusal is an error that carries the problem details for the response.
type refusal struct {
	problem messenger.Problem
	// reason is the label of marigold_operator_refusals_total.
	reason string
}

// Error implements error.
func (r *refusal) Error() string {
	return r.problem.Title + ": " + r.problem.Detail
}

func newRefusal(status int, reason, detail string) *refusal {
	return &refusal{
		reason: reason,
		problem: messenger.Problem{
			Type:   "about:blank",
			Title:  http.StatusText(status),
			Status: status,
			Detail: detail,
		},
	}
}

// writeProblem is the error handler of echo. It responds to a failed call with problem
// details (application/problem+json) and counts it.
func (a *Administrator) writeProblem(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	refused := asRefusal(err)
	a.count(refused.reason)
	if refused.problem.Status == http.StatusServiceUnavailable {
		c.Response().Header().Set("Retry-After", retryAfterSeconds)
	}
	if refused.problem.Revision != 0 {
		c.Response().Header().Set("ETag", formatETag(refused.problem.Revision))
	}
	body, err := json.Marshal(&refused.problem)
	if err != nil {
		body = []byte(`{"title":"Internal Server Error","status":500}`)
	}
	_ = c.Blob(refused.problem.Status, "application/problem+json", body)
}

func (a *Administrator) count(reason string) {
	a.options.Metrics.GetOrCreateCounter(`marigold_operator_refusals_total{reason="` + reason + `"}`).Inc()
}

// asRefusal returns the refusal in the chain of err, or maps err to one.
func asRefusal(err error) *refusal {
	var refused *refusal
	if errors.As(err, &refused) {
		return refused
	}
	var status *echo.HTTPError
	var invalid *configurer.InvalidError
	switch {
	case errors.As(err, &status):
		return newRefusal(status.Code, "http", http.StatusText(status.Code))
	case errors.As(err, &invalid):
		return newRefusal(http.StatusUnprocessableEntity, "invalid", invalid.Error())
	case errors.Is(err, replicator.ErrNotLeader), errors.Is(err, replicator.ErrStopped):
		return newRefusal(http.StatusServiceUnavailable, "leader", "the leader changed; the change was not made")
	case errors.Is(err, replicator.ErrBusy):
		return newRefusal(http.StatusConflict, "busy", "another change of the members is under way")
	case errors.Is(err, replicator.ErrInvalidMember):
		return newRefusal(http.StatusNotFound, "member", "there is no such member, or its name is taken")
	case errors.Is(err, replicator.ErrTooFewMembers):
		return newRefusal(http.StatusConflict, "members", "the group would have no more members than disks that may be lost; add one first")
	case errors.Is(err, replicator.ErrCatchUpTimeout):
		return newRefusal(http.StatusConflict, "catchup", "the new member did not catch up with the log and was not added")
	case errors.Is(err, replicator.ErrUnknownResult), errors.Is(err, context.DeadlineExceeded):
		return newRefusal(http.StatusGatewayTimeout, "unknown",
			"it is not known whether the change was made; send it again with the same Idempotency-Key")
	}
	if errors.Is(err, configurer.ErrUnavailable) {
		return newRefusal(http.StatusServiceUnavailable, "unavailable", "the control group cannot answer for certain: "+err.Error())
	}
	return newRefusal(http.StatusInternalServerError, "internal", err.Error())
}
