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
	// inquiries is how often an owner that does not answer is asked.
	inquiries = 4
	// inquiryTime bounds one question.
	inquiryTime = time.Second
	// inquiryPause is the wait before an owner is asked again; it doubles.
	inquiryPause = 25 * time.Millisecond
	// inquiryPauseMax bounds it.
	inquiryPauseMax = 200 * time.Millisecond
	// numberMark separates the number of a request from what renumber adds.
	numberMark = "~"
)

// inquire asks the owner what became of a request whose answer was lost.
func (t *trip) inquire(ctx context.Context, place locator.Place) executor.Answer {
	if ctx.Err() != nil {
		return doubt(t.request, doubtReason(ctx))
	}
	failures := 0
	for pause := inquiryPause; ; pause = min(2*pause, inquiryPauseMax) {
		outcome, err := t.ask(ctx, place)
		switch {
		case ctx.Err() != nil:
			return doubt(t.request, doubtReason(ctx))
		case err != nil:
			failures++
		case outcome.Outcome != messenger.OutcomeRunning:
			return t.settle(outcome)
		}
		if failures >= inquiries {
			return doubt(t.request, messenger.ReasonLost)
		}
		if !sleep(ctx, pause) {
			return doubt(t.request, doubtReason(ctx))
		}
	}
}

func (t *trip) ask(ctx context.Context, place locator.Place) (*messenger.OutcomeAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, inquiryTime)
	defer cancel()
	t.forwarder.counters.inquired.Inc()
	query := &messenger.OutcomeQuery{
		Number:      t.request.Number,
		Session:     place.Owner.Session,
		Service:     t.request.Service,
		Key:         t.request.Key,
		Idempotency: t.request.Idempotency,
		Age:         timer.Now().Since(t.sent),
	}
	return linker.Call[messenger.OutcomeQuery, messenger.OutcomeAnswer](
		ctx, t.forwarder.options.Opener, place.Owner.Address, messenger.KindOutcome, query)
}

// settle turns what the owner knows into the answer.
func (t *trip) settle(outcome *messenger.OutcomeAnswer) executor.Answer {
	switch {
	case outcome.Outcome == messenger.OutcomeRefused && outcome.Reason == messenger.ReasonStale:
		t.renumber()
		return refuse(t.request, messenger.ReasonUnreachable)
	case outcome.Outcome == messenger.OutcomeRefused:
		return refuse(t.request, outcome.Reason)
	case outcome.Outcome == messenger.OutcomeDone && outcome.Response != nil:
		response := *outcome.Response
		response.Number = t.request.Number
		return executor.Answer{Response: response, Body: io.NopCloser(bytes.NewReader(outcome.Body))}
	case outcome.Reason != messenger.ReasonNone:
		return doubt(t.request, outcome.Reason)
	}
	return doubt(t.request, messenger.ReasonLost)
}

// renumber gives the request another number, since the owner refuses the old one
// for good. What was sent under it never runs.
func (t *trip) renumber() {
	base, _, _ := strings.Cut(t.request.Number, numberMark)
	t.request.Number = base + numberMark + strconv.Itoa(t.request.Attempt)
}
