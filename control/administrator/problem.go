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

// refusal is an error with the problem that tells a caller of it.
type refusal struct {
	problem messenger.Problem
	// reason labels the counter.
	reason string
}

// Error implements error.
func (r *refusal) Error() string {
	return r.problem.Title + ": " + r.problem.Detail
}

func refuse(status int, reason, detail string) *refusal {
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

// fail answers a call that failed with application/problem+json.
func (a *Administrator) fail(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	found := refusalOf(err)
	a.count(found.reason)
	if found.problem.Status == http.StatusServiceUnavailable {
		c.Response().Header().Set("Retry-After", retryAfter)
	}
	if found.problem.Revision != 0 {
		c.Response().Header().Set("ETag", etagOf(found.problem.Revision))
	}
	body, err := json.Marshal(&found.problem)
	if err != nil {
		body = []byte(`{"title":"Internal Server Error","status":500}`)
	}
	_ = c.Blob(found.problem.Status, "application/problem+json", body)
}

func (a *Administrator) count(reason string) {
	a.options.Metrics.GetOrCreateCounter(`marigold_operator_refusals_total{reason="` + reason + `"}`).Inc()
}

// refusalOf turns an error into a refusal.
func refusalOf(err error) *refusal {
	var found *refusal
	if errors.As(err, &found) {
		return found
	}
	var status *echo.HTTPError
	var invalid *configurer.InvalidError
	switch {
	case errors.As(err, &status):
		return refuse(status.Code, "http", http.StatusText(status.Code))
	case errors.As(err, &invalid):
		return refuse(http.StatusUnprocessableEntity, "invalid", invalid.Error())
	case errors.Is(err, replicator.ErrNotLeader), errors.Is(err, replicator.ErrStopped):
		return refuse(http.StatusServiceUnavailable, "leader", "the leader changed; the change was not made")
	case errors.Is(err, replicator.ErrBusy):
		return refuse(http.StatusConflict, "busy", "another change of the members is under way")
	case errors.Is(err, replicator.ErrMember):
		return refuse(http.StatusNotFound, "member", "there is no such member, or its name is taken")
	case errors.Is(err, replicator.ErrCatchUp):
		return refuse(http.StatusConflict, "catchup", "the new member did not catch up with the log and was not added")
	case errors.Is(err, replicator.ErrUnknownResult), errors.Is(err, context.DeadlineExceeded):
		return refuse(http.StatusGatewayTimeout, "unknown",
			"it is not known whether the change was made; send it again with the same Idempotency-Key")
	}
	if errors.Is(err, configurer.ErrUnavailable) {
		return refuse(http.StatusServiceUnavailable, "unavailable", "the control group cannot answer for certain: "+err.Error())
	}
	return refuse(http.StatusInternalServerError, "internal", err.Error())
}
