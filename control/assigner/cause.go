package assigner

// Cause says what gave a shard to its owner.
type Cause uint8

// The causes.
const (
	// CauseNone is for a shard that never had an owner.
	CauseNone Cause = iota
	// CausePlaced means that it was free and placed by the servers' slots.
	CausePlaced
	// CauseMoved means that it was moved from another owner as planned.
	CauseMoved
	// CausePromoted means that a hot key got a shard of its own.
	CausePromoted
)

var causeTexts = [...]string{
	CauseNone:     "never owned",
	CausePlaced:   "placed by slots",
	CauseMoved:    "moved as planned",
	CausePromoted: "hot key, with the owner that it had",
}

// String tells the cause in a few words.
func (c Cause) String() string {
	if int(c) >= len(causeTexts) {
		return "unknown"
	}
	return causeTexts[c]
}
