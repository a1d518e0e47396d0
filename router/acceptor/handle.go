package acceptor

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"marigoldhill/kernel/listener"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/executor"
	"marigoldhill/router/forwarder"
)

// call is a valid request of a caller.
type call struct {
	request *messenger.Request
	profile *messenger.Profile
	timeout time.Duration
}

func (a *Acceptor) handle(c echo.Context) error {
	w := c.Response().Writer
	r := c.Request()
	call, refusal := a.validate(r)
	if refusal != nil {
		listener.StopReading(w, r)
		a.writeRefusal(w, refusal)
		return nil
	}
	a.forward(w, r, call)
	return nil
}

// validate converts an HTTP request into a call or returns why it is refused.
func (a *Acceptor) validate(r *http.Request) (*call, *refusal) {
	if refusal := a.validateMessage(r); refusal != nil {
		return nil, refusal
	}
	target, err := parseTarget(r.URL.EscapedPath())
	if err != nil {
		return nil, malformed(err)
	}
	idempotency, err := parseIdempotency(r.Header)
	if err != nil {
		return nil, malformed(err)
	}
	if !a.options.Lease.IsLeaseValid(timer.Now()) {
		return nil, &refusal{reason: messenger.ReasonLease, retryAfter: forwarder.RetryAfter}
	}
	table := a.options.Locator.Load()
	service := table.Service(target.service)
	if service == nil {
		return nil, &refusal{reason: messenger.ReasonService}
	}
	profile := table.Profile(service, r.Method, target.route)
	timeout, err := parseTimeout(r.Header, profile.Deadline)
	if err != nil {
		return nil, malformed(err)
	}
	request := &messenger.Request{
		Number:      a.requestIDs.next(),
		Service:     target.service,
		Key:         target.key,
		Route:       target.route,
		Query:       r.URL.RawQuery,
		Method:      r.Method,
		Header:      endToEnd(r.Header),
		Idempotency: idempotency,
		Caller:      callerAddress(r),
		Length:      r.ContentLength,
	}
	return &call{request: request, profile: profile, timeout: timeout}, nil
}

// validateMessage checks everything that does not depend on the target of the request:
// sizes, method and protocol upgrades.
func (a *Acceptor) validateMessage(r *http.Request) *refusal {
	switch {
	case headerSize(r) > MaxHeader:
		return &refusal{reason: messenger.ReasonOversize, status: http.StatusRequestHeaderFieldsTooLarge, closeConnection: true}
	case r.ContentLength > a.settings.MaxBodyBytes:
		return &refusal{reason: messenger.ReasonOversize, closeConnection: true}
	case r.Method == http.MethodConnect || r.Method == http.MethodTrace:
		return &refusal{reason: messenger.ReasonMalformed, status: http.StatusMethodNotAllowed, closeConnection: true}
	case r.Header.Get("Upgrade") != "":
		return &refusal{reason: messenger.ReasonMalformed, detail: "protocol upgrades are not offered", closeConnection: true}
	}
	return nil
}

// callerAddress returns the IP address of the caller.
func callerAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// forward passes the call to the forwarder and writes the response.
func (a *Acceptor) forward(w http.ResponseWriter, r *http.Request, call *call) {
	ctx, cancel := context.WithTimeout(r.Context(), call.timeout)
	defer cancel()
	control := http.NewResponseController(w)
	setDeadlines(ctx, control)
	// net/http resets the read deadline for the next request, but not the write deadline.
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	body := newLimitedBody(r, a.settings.MaxBodyBytes)
	answer := a.options.Forwarder.Forward(ctx, call.request, call.profile, body)
	defer answer.Close()
	if answer.Response.Outcome != messenger.OutcomeDone {
		a.writeFailure(w, &answer.Response, body)
		return
	}
	a.writeBackendResponse(w, r, answer)
}

// setDeadlines limits how long a caller that sends or reads nothing can hold a request
// beyond its deadline. The read deadline is later than that of the request, so that
// an expired request is not mistaken for a closed connection.
func setDeadlines(ctx context.Context, control *http.ResponseController) {
	deadline, _ := ctx.Deadline()
	_ = control.SetReadDeadline(deadline.Add(ReadGrace))
	_ = control.SetWriteDeadline(deadline.Add(WriteGrace))
}

// writeFailure writes the response to a request whose outcome is not done.
func (a *Acceptor) writeFailure(w http.ResponseWriter, response *messenger.Response, body *limitedBody) {
	if !body.isComplete() {
		w.Header().Set("Connection", "close")
	}
	if body.isExceeded() && response.Outcome == messenger.OutcomeRefused {
		response.Reason = messenger.ReasonOversize
		response.RetryAfter = 0
	}
	a.counters.count(response.Outcome, response.Reason)
	writeProblem(w, response, httpStatus(response.Outcome, response.Reason), "")
}

// writeBackendResponse streams the response of the backend server to the caller.
func (a *Acceptor) writeBackendResponse(w http.ResponseWriter, r *http.Request, answer executor.Answer) {
	response := &answer.Response
	header := w.Header()
	for _, field := range response.Header {
		header[http.CanonicalHeaderKey(field.Name)] = field.Values
	}
	filterResponseHeader(header)
	setOutcomeHeaders(header, response)
	if response.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	w.WriteHeader(response.Status)
	listener.Grow(r.Context(), answerCost(response.Length))
	if err := copyBody(w, answer.Body, response.Length < 0); err != nil {
		// Abort the connection, so that the caller cannot take a partial body for a
		// complete one.
		a.counters.aborted.Inc()
		a.counters.count(messenger.OutcomeUnknown, messenger.ReasonTruncated)
		abortResponse(w, r)
	}
	a.counters.count(messenger.OutcomeDone, messenger.ReasonNone)
}
