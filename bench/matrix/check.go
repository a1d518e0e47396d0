package matrix

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"marigoldhill/kernel/messenger"
)

// Guarantee names a property that each history must have.
type Guarantee string

// The guarantees.
const (
	GuaranteeSingleOwner       Guarantee = "one owner"
	GuaranteeAtMostOnce        Guarantee = "at most once"
	GuaranteeRefusedNotRun     Guarantee = "refused never ran"
	GuaranteeIntactAnswer      Guarantee = "whole and own answer"
	GuaranteeOutcome           Guarantee = "an outcome for each request"
	GuaranteeMonotonicRevision Guarantee = "revisions never fall"
	GuaranteePropagation       Guarantee = "in force within the bound"
	GuaranteeDraining          Guarantee = "no new work when leaving"
	GuaranteeRecovery          Guarantee = "served again after a loss"
)

const (
	// PropagationBound is how soon an acknowledged change must be in force at
	// every router that holds a lease.
	PropagationBound = 6 * time.Second
	// DrainBound is how soon after an acknowledged drain a backend server must not
	// start new runs.
	DrainBound = 3 * time.Second
	// RecoveryBound is how soon after a loss each key must be served again.
	RecoveryBound = 3 * time.Second
)

// Violation is one violation of a guarantee.
type Violation struct {
	Guarantee Guarantee
	Text      string
}

// String returns the violation as one line.
func (v Violation) String() string {
	return string(v.Guarantee) + ": " + v.Text
}

// Check returns the violations in a history that has ended.
func Check(history *History) []Violation {
	checks := []func(*History) []Violation{
		checkOwner, checkAtMostOnce, checkRefusals, checkResponses, checkOutcomes,
		checkRevisions, checkPropagation, checkDraining, checkRecovery,
	}
	var found []Violation
	for _, check := range checks {
		found = append(found, check(history)...)
	}
	return found
}

func newViolation(guarantee Guarantee, format string, values ...any) []Violation {
	return []Violation{{Guarantee: guarantee, Text: fmt.Sprintf(format, values...)}}
}

// checkOwner finds runs of one key that overlap at two servers, and fences that
// decrease. A run may overlap if its server was frozen during it: the server itself
// must fence off what the run does after the server resumes.
func checkOwner(history *History) []Violation {
	byKey := make(map[string][]Run)
	for _, run := range history.Runs {
		byKey[run.Key] = append(byKey[run.Key], run)
	}
	var found []Violation
	for _, runs := range byKey {
		slices.SortStableFunc(runs, func(a, b Run) int { return cmp.Compare(a.Start, b.Start) })
		found = append(found, checkRunsOfKey(runs)...)
	}
	return found
}

func checkRunsOfKey(runs []Run) []Violation {
	var found []Violation
	for i, later := range runs {
		for _, earlier := range runs[:i] {
			if later.Fence < earlier.Fence {
				found = append(found, newViolation(GuaranteeSingleOwner,
					"key %s ran under fence %d at %v after fence %d at %v",
					later.Key, later.Fence, later.Start, earlier.Fence, earlier.Start)...)
			}
			overlaps := earlier.End == 0 || earlier.End > later.Start
			if earlier.Server != later.Server && overlaps && !earlier.Frozen {
				found = append(found, newViolation(GuaranteeSingleOwner,
					"key %s ran at %s from %v to %v and at %s from %v",
					later.Key, earlier.Server, earlier.Start, earlier.End, later.Server, later.Start)...)
			}
		}
	}
	return found
}

// checkAtMostOnce finds non-idempotent requests that ran more than once.
func checkAtMostOnce(history *History) []Violation {
	identities := make(map[string]string)
	for _, send := range history.Sends {
		if !send.Idempotent {
			identities[send.Number] = cmp.Or(send.Identity, send.Number)
		}
	}
	count := make(map[string]int)
	for _, run := range history.Runs {
		if identity, ok := identities[run.Number]; ok {
			count[identity]++
		}
	}
	var found []Violation
	for identity, runs := range count {
		if runs > 1 {
			found = append(found, newViolation(GuaranteeAtMostOnce, "request %s ran %d times", identity, runs)...)
		}
	}
	return found
}

// checkRefusals finds attempts that ran although their outcome was refused.
func checkRefusals(history *History) []Violation {
	refused := make(map[string]messenger.Reason)
	for _, response := range history.Responses {
		if response.Outcome == messenger.OutcomeRefused {
			refused[response.Number] = response.Reason
		}
	}
	var found []Violation
	for _, run := range history.Runs {
		if reason, ok := refused[run.Number]; ok {
			found = append(found, newViolation(GuaranteeRefusedNotRun,
				"send %s was refused (%s) and ran at %s at %v", run.Number, reason, run.Server, run.Start)...)
		}
	}
	return found
}

// checkResponses compares each response with its request. The recorded response of an
// earlier attempt of the same request is valid as well.
func checkResponses(history *History) []Violation {
	sends := make(map[string]Send)
	for _, send := range history.Sends {
		sends[send.Number] = send
	}
	var found []Violation
	for _, response := range history.Responses {
		if response.Outcome != messenger.OutcomeDone {
			continue
		}
		send := sends[response.Number]
		isOwn := response.Echo.Number == send.Number
		if send.Identity != "" {
			isOwn = response.Echo.Identity == send.Identity
		}
		if !isOwn || response.Echo.Key != send.Key {
			found = append(found, newViolation(GuaranteeIntactAnswer, "send %+v got the answer of %+v", send, response.Echo)...)
		}
		if !response.Complete {
			found = append(found, newViolation(GuaranteeIntactAnswer, "send %s got part of an answer as done", send.Number)...)
		}
	}
	return found
}

func checkOutcomes(history *History) []Violation {
	got := make(map[string]int)
	for _, response := range history.Responses {
		got[response.Number]++
	}
	var found []Violation
	for _, send := range history.Sends {
		if got[send.Number] != 1 {
			found = append(found, newViolation(GuaranteeOutcome, "send %s got %d outcomes", send.Number, got[send.Number])...)
		}
	}
	return found
}

// checkRevisions finds revisions that decrease without a restart of the router.
func checkRevisions(history *History) []Violation {
	type start struct {
		router   string
		instance int
	}
	newest := make(map[start]uint64)
	var found []Violation
	for _, observation := range history.Observations {
		key := start{observation.Router, observation.Restarts}
		if observation.Revision < newest[key] {
			found = append(found, newViolation(GuaranteeMonotonicRevision,
				"router %s went from %d to %d at %v", observation.Router, newest[key], observation.Revision, observation.At)...)
		}
		newest[key] = max(newest[key], observation.Revision)
	}
	return found
}

// checkPropagation finds routers that hold a lease and have a revision older than a
// change that was acknowledged more than PropagationBound before.
func checkPropagation(history *History) []Violation {
	var found []Violation
	for _, change := range history.Changes {
		for _, observation := range history.Observations {
			late := observation.At > change.At+PropagationBound
			if late && observation.Serving && observation.Revision < change.Revision {
				found = append(found, newViolation(GuaranteePropagation,
					"router %s served revision %d at %v; %d was acknowledged at %v",
					observation.Router, observation.Revision, observation.At, change.Revision, change.At)...)
			}
		}
	}
	return found
}

func checkDraining(history *History) []Violation {
	var found []Violation
	for _, drain := range history.Drains {
		for _, run := range history.Runs {
			if run.Server == drain.Server && run.Start > drain.At+DrainBound {
				found = append(found, newViolation(GuaranteeDraining,
					"server %s left at %v and ran %s at %v", run.Server, drain.At, run.Number, run.Start)...)
			}
		}
	}
	return found
}

// checkRecovery finds keys that were not served again within RecoveryBound after the
// last loss. It finds nothing if two of the three control replicas were lost: the
// system does not claim to tolerate that, and serves no keys then.
func checkRecovery(history *History) []Violation {
	if history.lostQuorum() {
		return nil
	}
	var found []Violation
	for _, gap := range history.serviceGaps() {
		from := gap.from
		for _, loss := range history.Losses {
			if loss.At > from && loss.At < gap.to {
				from = loss.At
			}
		}
		if gap.to-from > RecoveryBound+probeInterval {
			found = append(found, newViolation(GuaranteeRecovery,
				"key %s was not served from %v to %v; the newest loss was at %v", gap.key, gap.from, gap.to, from)...)
		}
	}
	return found
}

// lostQuorum reports whether at least two control replicas were lost.
func (h *History) lostQuorum() bool {
	lost := make(map[string]bool)
	for _, loss := range h.Losses {
		if IsControl(loss.Node) {
			lost[loss.Node] = true
		}
	}
	return len(lost) > 1
}
