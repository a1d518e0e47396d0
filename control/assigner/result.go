package assigner

// Verdict says how a command was taken.
type Verdict uint8

// The verdicts.
const (
	// VerdictApplied means that the command was carried out.
	VerdictApplied Verdict = iota + 1
	// VerdictVoid means that the command no longer fitted the state and
	// changed nothing.
	VerdictVoid
	// VerdictConflict means that the revision was not the current one.
	VerdictConflict
	// VerdictInvalid means that the value was refused; see Field and Reason.
	VerdictInvalid
	// VerdictAbsent means that the named thing does not exist.
	VerdictAbsent
	// VerdictMismatch means that the Idempotency-Key was used for another
	// change.
	VerdictMismatch
)

// Result is the result of a command. The results of a change and of its resends
// are equal.
type Result struct {
	Verdict Verdict
	// Revision is the revision of the changed value, or of the current one
	// after a conflict.
	Revision uint64
	// Current is the current value after a conflict, encoded with msgpack; nil
	// when there is none.
	Current []byte
	// Field and Reason say what was refused.
	Field  string
	Reason string
	// Count is how many shards, sessions or rows the command changed.
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

func absent(reason string) Result {
	return Result{Verdict: VerdictAbsent, Reason: reason}
}

// String names the verdict.
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
	case VerdictAbsent:
		return "absent"
	case VerdictMismatch:
		return "mismatch"
	}
	return "unknown"
}
