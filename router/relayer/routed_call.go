package relayer

import (
	"context"
	"net/http"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/evacuator"
	"marigoldhill/router/mapper"
)

const (
	// maxOwnerWait is how long a request waits for the new owner of its key at
	// most: a planned move takes two heartbeats.
	maxOwnerWait = 500 * time.Millisecond
	// ownerWaitFraction is the fraction of its timeout after which a request no
	// longer waits for an owner, since an answer would hardly arrive in time.
	ownerWaitFraction = 0.35
	// lostOwnerRetryAfter is the delay after which a caller should retry if the
	// owner of its key was lost: the lease of that owner has to expire first.
	lostOwnerRetryAfter = 800 * time.Millisecond
	// headerBytes is the approximate size of the headers of a request and its
	// answer.
	headerBytes = 600
	// localPreference is how much longer a request may take in its own failure
	// domain than elsewhere, as a fraction of its target latency. A server takes
	// about a third of the target, so that the answer mostly still meets it; a
	// server in its own domain refuses a request that would miss it.
	localPreference = 0.8
	// maxFullServers is the number of full servers after which a request is
	// refused.
	maxFullServers = 3
	// defaultRetryAfter is the delay after which a caller should retry if no
	// server had capacity and none gave a delay.
	defaultRetryAfter = 150 * time.Millisecond
	// quarantineRetryAfter is the delay after which the caller of a quarantined request
	// should retry. Only an operator lifts a quarantine.
	quarantineRetryAfter = time.Minute
)

// routedCall is the routing of one call by an Entry, with all its attempts.
type routedCall struct {
	entry   *Entry
	call    *Call
	route   *mapper.Route
	service string
	// keyless is true if the service has no owners of keys.
	keyless bool
	started time.Time
	// timeout is how long the call may take.
	timeout time.Duration
	body    *requestBody

	// sends counts the attempts that may have reached a backend server.
	sends int
	// lastServer is the name of the server of the last attempt.
	lastServer string
	// tried are the sessions that are not tried again for now.
	tried []uint64
	// fullServers counts the attempts that a full server refused.
	fullServers int
	version     uint64
	// waited is how long the caller had waited before it sent this call.
	waited time.Duration
	// mayHaveRun is true once the outcome of an attempt is unknown.
	mayHaveRun bool
	// fingerprint identifies requests for the same work, as far as this router knows their
	// bodies.
	fingerprint string
}

// left returns the time left for the call.
func (c *routedCall) left() time.Duration {
	return c.timeout - time.Since(c.started)
}

// maxDuration returns how long the call may take at most from now on.
func (c *routedCall) maxDuration() time.Duration {
	return c.left() + answerGrace
}

// run sends the request until it is answered, or until no further attempt is allowed.
func (c *routedCall) run(ctx context.Context) Answer {
	waiting, cancel := c.entry.options.Stop.Context(ctx, c.maxDuration())
	defer cancel()
	if c.body.isInline() {
		if _, err := c.body.bytesWithin(waiting); err != nil {
			if reason := contextReason(waiting); reason != messenger.ReasonStopping {
				return c.refuse(reason, 0)
			}
			return c.refuseStopping()
		}
	}
	c.fingerprint = headFingerprint(c.call.Method, c.call.Host, c.call.Target, c.call.Key)
	if c.body.isInline() {
		c.fingerprint = extendFingerprint(c.fingerprint, c.body.data)
	}
	for {
		routes := c.entry.options.Mapper.Load()
		if c.left() <= 0 {
			return c.giveUp(contextReason(ctx))
		}
		if !c.entry.options.Stop.Fits(c.maxDuration()) {
			return c.refuseStopping()
		}
		c.version = routes.Configuration.Version
		if c.isQuarantined(routes) {
			return c.refuse(messenger.ReasonQuarantine, quarantineRetryAfter)
		}
		server, reason := c.choose(routes)
		if server == nil && c.isEvacuated(routes, reason) {
			return c.refuse(messenger.ReasonDraining, evacuator.RetryAfter)
		}
		if server == nil {
			if !c.waitForOwner(ctx, routes, reason) {
				return c.refuse(reason, c.retryAfter(reason, 0))
			}
			continue
		}
		if answer, throttled := c.throttle(server); throttled {
			if answer == nil {
				continue
			}
			return *answer
		}
		answer, retry := c.send(ctx, waiting, server)
		if !retry {
			return answer
		}
	}
}

// send sends the request to one server. It reports retry if another attempt follows. waiting
// is the context until the request is passed on.
func (c *routedCall) send(ctx, waiting context.Context, server *mapper.Server) (answer Answer, retry bool) {
	if c.sends == 0 {
		c.entry.options.Budget.CountRequest(c.entry.now(), c.service)
	}
	c.lastServer = server.Row.Name
	relay := c.relay()
	c.entry.balancer.Begin(server.Session)
	stopwatch := timer.StartStopwatch()
	response, body := c.deliver(ctx, waiting, server, relay)
	// After a pause of this process, the links of others to it have ended for its silence.
	failed := isFailure(response) && stopwatch.Paused() == 0
	c.entry.balancer.End(c.entry.now(), server.Session, &response.Load, failed)
	c.updateGate(server, response)
	if response.Ran {
		c.sends++
	}
	if response.Leaving {
		c.entry.leavers.add(c.entry.options.Mapper.Load(), &server.Row)
	}
	switch response.Outcome {
	case messenger.OutcomeDone:
		c.entry.updateMeanBytes(c.route.Name, response.Length)
		return Answer{Outcome: response.Outcome, Status: response.Status, Header: response.Header, Length: response.Length, Body: body}, false
	case messenger.OutcomeRefused:
		return c.afterRefusal(ctx, server, response)
	}
	c.mayHaveRun = true
	return c.afterUnknown(ctx, server, response)
}

// isFailure reports whether an answer counts as a failure of its server.
func isFailure(response *messenger.RelayResponse) bool {
	switch response.Outcome {
	case messenger.OutcomeDone:
		return response.Status >= http.StatusInternalServerError
	case messenger.OutcomeUnknown:
		return response.Reason != messenger.ReasonCanceled && response.Reason != messenger.ReasonExpired
	}
	return response.Ran || response.Reason == messenger.ReasonUnreachable || response.Reason == messenger.ReasonDown
}

// relay returns the message that carries the next attempt.
func (c *routedCall) relay() *messenger.Relay {
	treatment := &c.route.Treatment
	header := c.call.Header
	if c.keyless && c.call.Key != messenger.NoKey {
		header = addCallerKey(header, c.call.Key)
	}
	return &messenger.Relay{
		ID:      c.call.ID,
		Service: c.service,
		Route:   c.route.Name,
		Key:     c.key(),
		Caller:  c.entry.options.Service,
		Method:  c.call.Method,
		Target:  c.call.Target,
		Host:    c.call.Host,
		Header:  header,
		Length:  c.call.Length,
		Rank:    treatment.Rank,
		Aim:     max(treatment.Aim-c.waited-time.Since(c.started), 0),
		Left:    c.left(),
		Grace:   answerGrace,
		Version: c.version,

		Fingerprint: c.fingerprint,
	}
}

func (c *routedCall) key() int32 {
	if c.keyless {
		return messenger.NoKey
	}
	return c.call.Key
}

// afterRefusal decides after a refusal whether to send the request again.
func (c *routedCall) afterRefusal(ctx context.Context, server *mapper.Server, response *messenger.RelayResponse) (Answer, bool) {
	if c.keyless || response.Reason != messenger.ReasonShed {
		// A server that shed a request for its own key may be tried again: it may accept
		// the next attempt, and no other server may run it.
		c.tried = append(c.tried, server.Session)
	}
	if c.body.oversize.Load() {
		return c.refuse(messenger.ReasonOversize, 0), false
	}
	if ctx.Err() != nil {
		return c.giveUp(contextReason(ctx)), false
	}
	if response.Ran {
		if c.takeRetry() {
			return Answer{}, true
		}
		return c.refuse(response.Reason, defaultRetryAfter), false
	}
	switch response.Reason {
	case messenger.ReasonMisrouted, messenger.ReasonMoving, messenger.ReasonDraining,
		messenger.ReasonDown, messenger.ReasonUnreachable, messenger.ReasonStopping:
		routes := c.entry.options.Mapper.Load()
		switch {
		case c.isEvacuated(routes, response.Reason):
			return c.refuse(messenger.ReasonDraining, evacuator.RetryAfter), false
		case !c.body.canResend():
			// Another server would run the rest of the body as if it were the whole.
		case c.keyless, c.waitForOwner(ctx, routes, c.waitReason(routes)):
			return Answer{}, true
		}
	case messenger.ReasonQueue, messenger.ReasonLimit, messenger.ReasonDeadline:
		c.fullServers++
		if c.keyless && c.fullServers < maxFullServers && c.body.canResend() {
			return Answer{}, true
		}
	}
	return c.refuse(response.Reason, c.retryAfter(response.Reason, response.RetryAfter)), false
}

// takeRetry reports whether the body can be sent again and both the attempts of the
// route and the retry budget allow it. If so, it takes one retry from the budget.
func (c *routedCall) takeRetry() bool {
	if !c.body.canResend() || c.sends >= c.route.Treatment.Attempts {
		return false
	}
	return c.entry.options.Budget.Take(c.entry.now(), c.service, c.entry.options.Mapper.Load().RouterCount())
}

// afterUnknown decides after an unknown outcome whether to send the request again.
func (c *routedCall) afterUnknown(ctx context.Context, server *mapper.Server, response *messenger.RelayResponse) (Answer, bool) {
	if ctx.Err() != nil {
		return c.giveUp(contextReason(ctx)), false
	}
	if c.body.oversize.Load() {
		return Answer{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonOversize}, false
	}
	if !c.route.Treatment.Idempotent || !c.takeRetry() {
		return Answer{Outcome: messenger.OutcomeUnknown, Reason: response.Reason}, false
	}
	if c.keyless {
		c.tried = append(c.tried, server.Session)
	}
	return Answer{}, true
}

// giveUp returns the answer to a call whose context or time has ended.
func (c *routedCall) giveUp(reason messenger.Reason) Answer {
	if !c.mayHaveRun {
		return Answer{Outcome: messenger.OutcomeRefused, Reason: reason}
	}
	if reason == messenger.ReasonDeadline {
		reason = messenger.ReasonExpired
	}
	return Answer{Outcome: messenger.OutcomeUnknown, Reason: reason}
}

// refuse returns the answer after a refused last attempt: refused, or unknown if an
// earlier attempt may have run.
func (c *routedCall) refuse(reason messenger.Reason, retryAfter time.Duration) Answer {
	if c.mayHaveRun {
		return Answer{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonLost}
	}
	return Answer{Outcome: messenger.OutcomeRefused, Reason: reason, RetryAfter: retryAfter}
}

// refuseStopping returns the answer to a call that may not end before the process does.
func (c *routedCall) refuseStopping() Answer {
	return c.refuse(messenger.ReasonStopping, c.entry.options.Stop.RetryAfter()+jitter(defaultRetryAfter))
}

// retryAfter returns the delay after which a refused caller should retry. requested is
// the delay that the owner's router asked for, or 0.
func (c *routedCall) retryAfter(reason messenger.Reason, requested time.Duration) time.Duration {
	switch {
	case requested > 0:
		return jitter(requested)
	case reason == messenger.ReasonQuarantine:
		return quarantineRetryAfter
	case reason == messenger.ReasonUnreachable || reason == messenger.ReasonDown || reason == messenger.ReasonUnowned:
		return jitter(lostOwnerRetryAfter)
	}
	return jitter(defaultRetryAfter)
}
