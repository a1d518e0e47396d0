package assigner

import "marigoldhill/kernel/hasher"

// storedResult is the result of an operator's change. It is returned again when
// the change is retried with the same Idempotency-Key.
type storedResult struct {
	Idempotency string
	// Sum is the hash of the change without its time.
	Sum    uint64
	Result Result
}

// applyOnce applies a change once per Idempotency-Key. A retry gets the stored
// result, and another change under the same key is rejected.
func (s *State) applyOnce(condition Condition, command *Command) Result {
	if condition.Idempotency == "" {
		return s.applyChange(command)
	}
	sum := hashOf(command)
	for _, stored := range s.results.values {
		if stored.Idempotency != condition.Idempotency {
			continue
		}
		if stored.Sum != sum {
			return Result{Verdict: VerdictMismatch, Reason: "the Idempotency-Key was used for another change"}
		}
		return stored.Result
	}
	result := s.applyChange(command)
	s.results.add(storedResult{Idempotency: condition.Idempotency, Sum: sum, Result: result})
	return result
}

// hashOf hashes a change without what may differ between retries: its time, and who
// ordered an evacuation, which may be the address that the client has now.
func hashOf(command *Command) uint64 {
	change := *command
	change.Time = 0
	if change.Evacuate != nil {
		evacuate := *change.Evacuate
		evacuate.By = ""
		change.Evacuate = &evacuate
	}
	data, err := Encode(&change)
	if err != nil {
		return 0
	}
	return hasher.Sum(data)
}
