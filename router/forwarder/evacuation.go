package forwarder

import (
	"marigoldhill/kernel/messenger"
	"marigoldhill/router/evacuator"
	"marigoldhill/router/executor"
)

// isEvacuated reports whether a request was refused because all failure domains are
// evacuated. It would be held in vain for another owner of its key.
func (c *call) isEvacuated(answer executor.Answer) bool {
	if answer.Response.Outcome != messenger.OutcomeRefused {
		return false
	}
	switch answer.Response.Reason {
	case messenger.ReasonUnowned, messenger.ReasonDraining:
		return c.forwarder.options.Locator.Load().IsEvacuated()
	}
	return false
}

// evacuatedAnswer returns a refusal with the reason and the retry time of evacuations.
func evacuatedAnswer(answer executor.Answer) executor.Answer {
	answer.Response.Reason = messenger.ReasonDraining
	answer.Response.RetryAfter = evacuator.RetryAfter
	return answer
}
