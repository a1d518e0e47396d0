package acceptor

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/forwarder"
)

// problemTypePrefix is followed by the reason in the type of a problem (RFC 9457).
const problemTypePrefix = "urn:marigoldhill:reason:"

// refusal describes the response to a request that is refused without forwarding it.
type refusal struct {
	reason messenger.Reason
	// status is 0 for the default status of the reason.
	status     int
	detail     string
	retryAfter time.Duration
	// closeConnection is set when the rest of the data on the connection cannot be
	// trusted or the body is not read.
	closeConnection bool
}

func malformed(err error) *refusal {
	return &refusal{reason: messenger.ReasonMalformed, detail: err.Error()}
}

// writeRefusal writes the response to a request that was not forwarded.
func (a *Acceptor) writeRefusal(w http.ResponseWriter, refusal *refusal) {
	response := &messenger.Response{
		Outcome:    messenger.OutcomeRefused,
		Reason:     refusal.reason,
		RetryAfter: refusal.retryAfter,
	}
	if refusal.closeConnection {
		w.Header().Set("Connection", "close")
	}
	status := refusal.status
	if status == 0 {
		status = httpStatus(response.Outcome, response.Reason)
	}
	a.counters.count(response.Outcome, response.Reason)
	writeProblem(w, response, status, refusal.detail)
}

// writeProblem writes a response that does not come from a backend server.
func writeProblem(w http.ResponseWriter, response *messenger.Response, status int, detail string) {
	header := w.Header()
	setOutcomeHeaders(header, response)
	header.Set("Content-Type", "application/problem+json")
	if retryAfter := retryDelay(response, status); retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(ceilSeconds(retryAfter)))
	}
	problem := messenger.Problem{
		Type:   problemTypePrefix + string(response.Reason),
		Title:  problemTitle(response.Outcome),
		Status: status,
		Detail: detail,
		Reason: response.Reason,
	}
	// Encoding a Problem without Current cannot fail.
	body, _ := json.Marshal(problem)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A failed write means that the caller closed the connection.
	_, _ = w.Write(body)
}

func setOutcomeHeaders(header http.Header, response *messenger.Response) {
	header.Set(messenger.HeaderOutcome, string(response.Outcome))
	if response.Reason != messenger.ReasonNone {
		header.Set(messenger.HeaderReason, string(response.Reason))
	}
	if response.Server != "" {
		header.Set(messenger.HeaderServer, response.Server)
	}
}

func problemTitle(outcome messenger.Outcome) string {
	if outcome == messenger.OutcomeUnknown {
		return "the request may have run"
	}
	return "the request was not run"
}

// retryDelay returns when the caller should retry, 0 when a retry is of no use. The
// value from the owner takes precedence; failures that are expected to be temporary
// have a default.
func retryDelay(response *messenger.Response, status int) time.Duration {
	switch {
	case response.RetryAfter > 0:
		return response.RetryAfter
	case response.Reason.IsRetryable(), status == http.StatusTooManyRequests:
		return forwarder.RetryAfter
	case response.Reason == messenger.ReasonBudget, response.Reason == messenger.ReasonRunning:
		return forwarder.RetryAfter
	}
	return 0
}

// ceilSeconds rounds up to seconds, the unit of Retry-After.
func ceilSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
