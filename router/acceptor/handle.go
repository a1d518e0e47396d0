package acceptor

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/executor"
	"marigoldhill/router/forwarder"
)

// call is one request of a caller that passed all checks.
type call struct {
	request *messenger.Request
	profile *messenger.Profile
	timeout time.Duration
}

func (a *Acceptor) handle(c echo.Context) error {
	w := c.Response().Writer
	r := c.Request()
	call, refusal := a.check(r)
	if refusal != nil {
		a.refuse(w, refusal)
		return nil
	}
	a.forward(w, r, call)
	return nil
}

// check turns an HTTP request into a call, or refuses it.
func (a *Acceptor) check(r *http.Request) (*call, *refusal) {
	if refusal := a.checkForm(r); refusal != nil {
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
	if !a.options.Lease.Alive(timer.Now()) {
		return nil, &refusal{reason: messenger.ReasonLease, after: forwarder.RetryAfter}
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
		Number:      a.numbers.next(),
		Service:     target.service,
		Key:         target.key,
		Route:       target.route,
		Query:       r.URL.RawQuery,
		Method:      r.Method,
		Header:      endToEnd(r.Header),
		Idempotency: idempotency,
		Caller:      callerOf(r),
		Length:      r.ContentLength,
	}
	return &call{request: request, profile: profile, timeout: timeout}, nil
}

// checkForm refuses requests by their form alone.
func (a *Acceptor) checkForm(r *http.Request) *refusal {
	switch {
	case headerSize(r) > MaxHeader:
		return &refusal{reason: messenger.ReasonOversize, status: http.StatusRequestHeaderFieldsTooLarge, closing: true}
	case r.ContentLength > a.settings.MaxBody:
		return &refusal{reason: messenger.ReasonOversize, closing: true}
	case r.Method == http.MethodConnect || r.Method == http.MethodTrace:
		return &refusal{reason: messenger.ReasonMalformed, status: http.StatusMethodNotAllowed, closing: true}
	case r.Header.Get("Upgrade") != "":
		return &refusal{reason: messenger.ReasonMalformed, detail: "protocol upgrades are not offered", closing: true}
	}
	return nil
}

// callerOf is the peer address without its port.
func callerOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// forward hands the call over and answers the caller.
func (a *Acceptor) forward(w http.ResponseWriter, r *http.Request, call *call) {
	ctx, cancel := context.WithTimeout(r.Context(), call.timeout)
	defer cancel()
	control := http.NewResponseController(w)
	// The owner may answer before it has read the whole body. A connection
	// that does not support it reads the body first.
	_ = control.EnableFullDuplex()
	bound(ctx, control)
	// net/http itself moves the read deadline for the next request.
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	body := newBounded(r, a.settings.MaxBody)
	answer := a.options.Forwarder.Forward(ctx, call.request, call.profile, body)
	defer a.release(control, body)
	defer answer.Close()
	if answer.Response.Outcome != messenger.OutcomeDone {
		a.answerProblem(w, &answer.Response, body)
		return
	}
	a.answerDone(w, answer)
}

// bound keeps a caller that sends or reads nothing from holding a request for
// longer than its deadline. The reading ends a little later, so that it does not
// pass for a caller who went away.
func bound(ctx context.Context, control *http.ResponseController) {
	deadline, _ := ctx.Deadline()
	_ = control.SetReadDeadline(deadline.Add(ReadGrace))
	_ = control.SetWriteDeadline(deadline.Add(WriteGrace))
}

// release ends the reading of a body that the answer came before.
func (a *Acceptor) release(control *http.ResponseController, body *bounded) {
	if body.isRead() {
		return
	}
	_ = control.SetReadDeadline(time.Now())
}

func (a *Acceptor) answerProblem(w http.ResponseWriter, response *messenger.Response, body *bounded) {
	if !body.isRead() {
		w.Header().Set("Connection", "close")
	}
	if body.isOver() && response.Outcome == messenger.OutcomeRefused {
		response.Reason = messenger.ReasonOversize
		response.RetryAfter = 0
	}
	a.counters.count(response.Outcome, response.Reason)
	writeProblem(w, response, statusOf(response.Outcome, response.Reason), "")
}

// answerDone streams the backend server's answer to the caller.
func (a *Acceptor) answerDone(w http.ResponseWriter, answer executor.Answer) {
	response := &answer.Response
	header := w.Header()
	for _, field := range response.Header {
		header[http.CanonicalHeaderKey(field.Name)] = field.Values
	}
	strip(header)
	setOutcome(header, response)
	if response.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	w.WriteHeader(response.Status)
	if err := copyAnswer(w, answer); err != nil {
		// The connection is cut, so that the caller never takes a part for
		// the whole.
		a.counters.aborted.Inc()
		a.counters.count(messenger.OutcomeUnknown, messenger.ReasonTruncated)
		panic(http.ErrAbortHandler)
	}
	a.counters.count(messenger.OutcomeDone, messenger.ReasonNone)
}
