package assigner

import "marigoldhill/kernel/hasher"

// keptAnswer is the answer to an operator's change, for its resends.
type keptAnswer struct {
	Idempotency string
	// Sum is the hash of the change.
	Sum    uint64
	Result Result
}

// applyOnce applies a change unless its Idempotency-Key was seen.
func (s *State) applyOnce(condition Condition, command *Command) Result {
	if condition.Idempotency == "" {
		return s.applyChange(command)
	}
	sum := sumOf(command)
	for _, kept := range s.answers.values {
		if kept.Idempotency != condition.Idempotency {
			continue
		}
		if kept.Sum != sum {
			return Result{Verdict: VerdictMismatch, Reason: "the Idempotency-Key was used for another change"}
		}
		return kept.Result
	}
	result := s.applyChange(command)
	s.answers.add(keptAnswer{Idempotency: condition.Idempotency, Sum: sum, Result: result})
	return result
}

// sumOf hashes a change without the time, which differs in a resend.
func sumOf(command *Command) uint64 {
	change := *command
	change.Time = 0
	data, err := Encode(&change)
	if err != nil {
		return 0
	}
	return hasher.Sum(data)
}
