package assigner

// Cause is the reason why a shard has its owner.
type Cause uint8

const (
	// CauseNone is the cause of a shard that never had an owner.
	CauseNone Cause = iota
	// CausePlaced means that the shard was free and was placed by server slots.
	CausePlaced
	// CauseMoved means that a planned move took the shard from another owner.
	CauseMoved
	// CausePromoted means that a hot key was promoted to a dedicated shard.
	CausePromoted
)

var causeTexts = [...]string{
	CauseNone:     "never owned",
	CausePlaced:   "placed by slots",
	CauseMoved:    "moved as planned",
	CausePromoted: "hot key, with the owner that it had",
}

// String describes the cause for explanations.
func (c Cause) String() string {
	if int(c) >= len(causeTexts) {
		return "unknown"
	}
	return causeTexts[c]
}
