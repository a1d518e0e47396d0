package forwarder

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"strings"
	"time"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/executor"
	"marigoldhill/router/locator"
)

const (
	// maxQueryFailures is the number of failed queries after which the outcome
	// is unknown.
	maxQueryFailures = 4
	// queryTimeout is the time limit of one query.
	queryTimeout = time.Second
	// minQueryDelay is the delay before the second query; each further one doubles.
	minQueryDelay = 25 * time.Millisecond
	// maxQueryDelay limits the delay.
	maxQueryDelay = 200 * time.Millisecond
	// numberSeparator separates the number of a request from the suffix that
	// renumber appends.
	numberSeparator = "~"
)

// queryOutcome queries the owner for the outcome of a request whose answer was
// lost, until the request has ended.
func (c *call) queryOutcome(ctx context.Context, place locator.Place) executor.Answer {
	if ctx.Err() != nil {
		return unknownAnswer(c.request, unknownOutcomeReason(ctx))
	}
	failures := 0
	for delay := minQueryDelay; ; delay = min(2*delay, maxQueryDelay) {
		outcome, err := c.sendQuery(ctx, place)
		switch {
		case ctx.Err() != nil:
			return unknownAnswer(c.request, unknownOutcomeReason(ctx))
		case err != nil:
			failures++
		case outcome.Outcome != messenger.OutcomeRunning:
			return c.answerFromOutcome(outcome)
		}
		if failures >= maxQueryFailures {
			return unknownAnswer(c.request, messenger.ReasonLost)
		}
		if !sleep(ctx, delay) {
			return unknownAnswer(c.request, unknownOutcomeReason(ctx))
		}
	}
}

func (c *call) sendQuery(ctx context.Context, place locator.Place) (*messenger.OutcomeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	c.forwarder.counters.outcomeQueries.Inc()
	query := &messenger.OutcomeQuery{
		Number:      c.request.Number,
		Session:     place.Owner.Session,
		Service:     c.request.Service,
		Key:         c.request.Key,
		Idempotency: c.request.Idempotency,
		Age:         timer.Now().Since(c.sentAt),
	}
	return linker.Call[messenger.OutcomeQuery, messenger.OutcomeResponse](
		ctx, c.forwarder.options.Opener, place.Owner.Address, messenger.KindOutcome, query)
}

// answerFromOutcome turns the outcome that the owner reports into an answer.
func (c *call) answerFromOutcome(outcome *messenger.OutcomeResponse) executor.Answer {
	switch {
	case outcome.Outcome == messenger.OutcomeRefused && outcome.Reason == messenger.ReasonStale:
		c.renumber()
		return refusedAnswer(c.request, messenger.ReasonUnreachable)
	case outcome.Outcome == messenger.OutcomeRefused:
		return refusedAnswer(c.request, outcome.Reason)
	case outcome.Outcome == messenger.OutcomeDone && outcome.Response != nil:
		response := *outcome.Response
		response.Number = c.request.Number
		return executor.Answer{Response: response, Body: io.NopCloser(bytes.NewReader(outcome.Body))}
	case outcome.Reason != messenger.ReasonNone:
		return unknownAnswer(c.request, outcome.Reason)
	}
	return unknownAnswer(c.request, messenger.ReasonLost)
}

// renumber gives the request another number, since the owner permanently refuses
// the old one. An attempt sent under the old number never runs.
func (c *call) renumber() {
	base, _, _ := strings.Cut(c.request.Number, numberSeparator)
	c.request.Number = base + numberSeparator + strconv.Itoa(c.request.Attempt)
}
