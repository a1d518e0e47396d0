package assigner

// Verdict is the outcome of a command.
type Verdict uint8

const (
	// VerdictApplied means that the command was applied.
	VerdictApplied Verdict = iota + 1
	// VerdictVoid means that the preconditions of the command no longer held,
	// so that it changed nothing.
	VerdictVoid
	// VerdictConflict means that the change was not based on the current
	// revision.
	VerdictConflict
	// VerdictInvalid means that the value was rejected; see Field and Reason.
	VerdictInvalid
	// VerdictNotFound means that the named item does not exist.
	VerdictNotFound
	// VerdictMismatch means that the Idempotency-Key was used for another
	// change.
	VerdictMismatch
)

// Result is the result of a command. A change and its retries have equal results.
type Result struct {
	Verdict Verdict
	// Revision is the revision of the changed value, or of the current one
	// after a conflict.
	Revision uint64
	// Current is the current value after a conflict, encoded as msgpack; nil if
	// there is none.
	Current []byte
	// Field is the rejected field and Reason why it was rejected.
	Field  string
	Reason string
	// Count is the number of shards, keys, sessions or rows that the command
	// changed.
	Count int
}

func applied(revision uint64, count int) Result {
	return Result{Verdict: VerdictApplied, Revision: revision, Count: count}
}

func void() Result {
	return Result{Verdict: VerdictVoid}
}

func invalid(field, reason string) Result {
	return Result{Verdict: VerdictInvalid, Field: field, Reason: reason}
}

func notFound(reason string) Result {
	return Result{Verdict: VerdictNotFound, Reason: reason}
}

func (v Verdict) String() string {
	switch v {
	case VerdictApplied:
		return "applied"
	case VerdictVoid:
		return "void"
	case VerdictConflict:
		return "conflict"
	case VerdictInvalid:
		return "invalid"
	case VerdictNotFound:
		return "absent"
	case VerdictMismatch:
		return "mismatch"
	}
	return "unknown"
}
