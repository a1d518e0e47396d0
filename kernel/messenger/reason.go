package messenger

// Reason says in one word why a request was refused, or why its outcome is
// unknown. The list is closed; docs/REASONS.md has a row for each.
type Reason string

// The reasons. Those before ReasonLost refuse: the request was not run.
const (
	ReasonNone        Reason = ""
	ReasonMalformed   Reason = "malformed"   // the request breaks the caller interface
	ReasonOversize    Reason = "oversize"    // header or body is larger than allowed
	ReasonService     Reason = "service"     // no such service
	ReasonUnowned     Reason = "unowned"     // the key has no owner just now
	ReasonMoving      Reason = "moving"      // the key is changing its owner
	ReasonMisrouted   Reason = "misrouted"   // the router asked does not own the key
	ReasonLease       Reason = "lease"       // the router holds no lease
	ReasonUnreachable Reason = "unreachable" // the owner could not be reached
	ReasonQueue       Reason = "queue"       // the queue of the owner is full
	ReasonDeadline    Reason = "deadline"    // the deadline would pass before it runs
	ReasonShed        Reason = "shed"        // the backend server shed it before running it
	ReasonShare       Reason = "share"       // background work gives way
	ReasonFair        Reason = "fair"        // this caller or key holds its fair part
	ReasonBudget      Reason = "budget"      // the retry budget is spent
	ReasonDraining    Reason = "draining"    // the owner is leaving
	ReasonDown        Reason = "down"        // the backend server does not accept connections
	ReasonQuarantine  Reason = "quarantine"  // the request crashed backend servers
	ReasonRecorders   Reason = "recorders"   // too few recorder peers for non-idempotent work
	ReasonRecovering  Reason = "recovering"  // the records of the last owner are being read
	ReasonMismatch    Reason = "mismatch"    // the Idempotency-Key was used for another request
	ReasonFence       Reason = "fence"       // the backend server has seen a newer fence
	ReasonCanceled    Reason = "canceled"    // the caller went away before it ran
	ReasonStopping    Reason = "stopping"    // the router is shutting down
	ReasonStale       Reason = "stale"       // the number was given up before it arrived
	ReasonUnready     Reason = "unready"     // the router knows no configuration yet
	ReasonRoute       Reason = "route"       // no route takes the host and path

	ReasonLost      Reason = "lost"      // the answer was lost
	ReasonCrashed   Reason = "crashed"   // the backend server ended while it ran
	ReasonExpired   Reason = "expired"   // the deadline passed while it ran
	ReasonTruncated Reason = "truncated" // the answer was cut short
	ReasonForgotten Reason = "forgotten" // all recorders of the key were lost
	ReasonRunning   Reason = "running"   // an earlier send of it is still running
	ReasonLarge     Reason = "large"     // it ran; its answer was too large to keep
)

// Reasons lists all reasons but ReasonNone, for counters and docs.
func Reasons() []Reason {
	return append(RefusalReasons(), UnknownReasons()...)
}

// RefusalReasons lists the reasons of refused requests.
func RefusalReasons() []Reason {
	return []Reason{
		ReasonMalformed, ReasonOversize, ReasonService, ReasonUnowned, ReasonMoving,
		ReasonMisrouted, ReasonLease, ReasonUnreachable, ReasonQueue, ReasonDeadline,
		ReasonShed, ReasonShare, ReasonFair, ReasonBudget, ReasonDraining, ReasonDown,
		ReasonQuarantine, ReasonRecorders, ReasonRecovering, ReasonMismatch, ReasonFence,
		ReasonCanceled, ReasonStopping, ReasonStale, ReasonUnready, ReasonRoute,
	}
}

// UnknownReasons lists the reasons of requests whose outcome is unknown.
func UnknownReasons() []Reason {
	return []Reason{
		ReasonLost, ReasonCrashed, ReasonExpired, ReasonTruncated, ReasonForgotten,
		ReasonRunning, ReasonLarge,
	}
}

// IsRetryable reports whether an entry router may send the request again after
// a refusal for this reason.
func (r Reason) IsRetryable() bool {
	switch r {
	case ReasonUnowned, ReasonMoving, ReasonMisrouted, ReasonLease, ReasonUnreachable,
		ReasonShed, ReasonDraining, ReasonDown, ReasonRecorders, ReasonRecovering, ReasonFence,
		ReasonStopping, ReasonUnready:
		return true
	}
	return false
}
