package acceptor

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/forwarder"
)

// typePrefix starts the type of a problem, which ends with its reason.
const typePrefix = "urn:marigoldhill:reason:"

// refusal is a request that this package refuses itself.
type refusal struct {
	reason messenger.Reason
	// status is 0 where the reason decides.
	status int
	detail string
	after  time.Duration
	// closing says that the rest of the connection is not to be trusted, or
	// that the body is not read.
	closing bool
}

func malformed(err error) *refusal {
	return &refusal{reason: messenger.ReasonMalformed, detail: err.Error()}
}

// refuse answers a request that was not passed on.
func (a *Acceptor) refuse(w http.ResponseWriter, refusal *refusal) {
	response := &messenger.Response{
		Outcome:    messenger.OutcomeRefused,
		Reason:     refusal.reason,
		RetryAfter: refusal.after,
	}
	if refusal.closing {
		w.Header().Set("Connection", "close")
	}
	status := refusal.status
	if status == 0 {
		status = statusOf(response.Outcome, response.Reason)
	}
	a.counters.count(response.Outcome, response.Reason)
	writeProblem(w, response, status, refusal.detail)
}

// writeProblem writes an answer that has no body of a backend server.
func writeProblem(w http.ResponseWriter, response *messenger.Response, status int, detail string) {
	header := w.Header()
	setOutcome(header, response)
	header.Set("Content-Type", "application/problem+json")
	if after := comeBack(response, status); after > 0 {
		header.Set("Retry-After", strconv.Itoa(wholeSeconds(after)))
	}
	problem := messenger.Problem{
		Type:   typePrefix + string(response.Reason),
		Title:  title(response.Outcome),
		Status: status,
		Detail: detail,
		Reason: response.Reason,
	}
	// Encoding a Problem without Current cannot fail.
	body, _ := json.Marshal(problem)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A write that fails means that the caller went away.
	_, _ = w.Write(body)
}

func setOutcome(header http.Header, response *messenger.Response) {
	header.Set(messenger.HeaderOutcome, string(response.Outcome))
	if response.Reason != messenger.ReasonNone {
		header.Set(messenger.HeaderReason, string(response.Reason))
	}
	if response.Server != "" {
		header.Set(messenger.HeaderServer, response.Server)
	}
}

func title(outcome messenger.Outcome) string {
	if outcome == messenger.OutcomeUnknown {
		return "the request may have run"
	}
	return "the request was not run"
}

// comeBack says when the caller should come back, 0 when that is no use. The
// owner knows best; otherwise a refusal that is expected to pass gets a default.
func comeBack(response *messenger.Response, status int) time.Duration {
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

// wholeSeconds rounds up, since Retry-After has no smaller unit.
func wholeSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
