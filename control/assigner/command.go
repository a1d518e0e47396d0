package assigner

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"marigoldhill/kernel/decoder"
	"marigoldhill/kernel/messenger"
)

// Command is one log entry. Exactly one of the pointers is set.
type Command struct {
	// Time is the wall-clock time of the proposer in milliseconds.
	Time int64 `msgpack:"time"`

	Open      *Open      `msgpack:"open,omitempty"`
	Update    *Update    `msgpack:"update,omitempty"`
	Close     *Close     `msgpack:"close,omitempty"`
	Release   *Release   `msgpack:"release,omitempty"`
	Grant     *Grant     `msgpack:"grant,omitempty"`
	Move      *Move      `msgpack:"move,omitempty"`
	Recovered *Recovered `msgpack:"recovered,omitempty"`
	Join      *Join      `msgpack:"join,omitempty"`
	Copied    *Copied    `msgpack:"copied,omitempty"`
	Promote   *Promote   `msgpack:"promote,omitempty"`
	Demote    *Demote    `msgpack:"demote,omitempty"`
	Death     *Death     `msgpack:"death,omitempty"`
	Notice    *Notice    `msgpack:"notice,omitempty"`
	Adopt     *Adopt     `msgpack:"adopt,omitempty"`

	GrantRanges   *GrantRanges   `msgpack:"grantranges,omitempty"`
	MoveRanges    *MoveRanges    `msgpack:"moveranges,omitempty"`
	ReleaseRanges *ReleaseRanges `msgpack:"releaseranges,omitempty"`

	PutProfile    *PutProfile    `msgpack:"putprofile,omitempty"`
	RemoveProfile *RemoveProfile `msgpack:"removeprofile,omitempty"`
	PutService    *PutService    `msgpack:"putservice,omitempty"`
	Drain         *Drain         `msgpack:"drain,omitempty"`
	Lift          *Lift          `msgpack:"lift,omitempty"`
	Configure     *Configure     `msgpack:"configure,omitempty"`
	Evacuate      *Evacuate      `msgpack:"evacuate,omitempty"`
}

// Open opens a session for one instance of a router.
type Open struct {
	Router   string
	Instance uint64
	Address  string
	Domain   string
	Region   string
	Server   *messenger.ServerRow
	Leaving  bool
	// Routed is set if the router runs in routed mode.
	Routed bool
	// Withdrawn is set if the start of Server has said that it leaves.
	Withdrawn bool
}

// Update replaces the attributes that a session reported.
type Update struct {
	Session uint64
	Address string
	Domain  string
	Region  string
	Server  *messenger.ServerRow
	Leaving bool
	// Withdrawn is set if the start of Server has said that it leaves.
	Withdrawn bool
}

// Close closes sessions.
type Close struct {
	Sessions []uint64
	// Lapsed is set if their leases expired; otherwise they were closed in an
	// orderly way.
	Lapsed bool
	// Silence is the longest time without contact from any of the sessions, in
	// milliseconds.
	Silence int64
}

// Release ends the ownership of shards. Moving shards go to their next owner.
type Release struct {
	Session uint64
	Shards  []messenger.ShardRef
}

// Placement assigns shards of one service to a session.
type Placement struct {
	Session uint64
	Shards  ShardSet
}

// Grant makes sessions the owners of free shards of a service.
type Grant struct {
	Service    string
	Placements []Placement
	// Why is the reason shown in explanations.
	Why string
}

// Move starts planned moves of owned shards.
type Move struct {
	Service    string
	Placements []Placement
	Why        string
}

// Recovered reports that a session has stored the records of earlier owners.
type Recovered struct {
	Session uint64
	Shards  []messenger.ShardRef
}

// Join adds joining recorders to a session.
type Join struct {
	Session uint64
	Joining []uint64
}

// Copied reports that joining recorders hold all records of a session.
type Copied struct {
	Session uint64
	Joined  []uint64
}

// Promote gives a key a dedicated shard.
type Promote struct {
	Service string
	Key     string
}

// Demote returns a promoted key to its hash shard.
type Demote struct {
	Service string
	Key     string
}

// Death reports the requests that were in flight when a backend server crashed.
type Death struct {
	Session uint64
	// Number is the sequence number of the report within its session, used to
	// discard duplicates; 0 is not checked.
	Number uint64
	Rows   []messenger.QuarantineRow
}

// Notice records an event without any other effect.
type Notice struct {
	Number  int
	Subject string
	Text    string
}

// Condition is the precondition of an operator's change.
type Condition struct {
	// Revision is the revision that the change is based on; 0 requires that the
	// value does not exist yet.
	Revision uint64
	// Idempotency is the Idempotency-Key; a retry gets the first result.
	Idempotency string
}

// PutProfile creates or replaces a profile.
type PutProfile struct {
	Condition Condition
	Profile   messenger.Profile
}

// RemoveProfile removes a profile. It is rejected while a service uses it.
type RemoveProfile struct {
	Condition Condition
	Name      string
}

// PutService creates or replaces a service.
type PutService struct {
	Condition Condition
	Service   messenger.Service
}

// Drain starts or ends the drain of a backend server.
type Drain struct {
	Condition Condition
	Server    string
	On        bool
}

// Lift ends the quarantine of a fingerprint.
type Lift struct {
	Condition   Condition
	Fingerprint string
}

func Encode(command *Command) ([]byte, error) {
	data, err := msgpack.Marshal(command)
	if err != nil {
		return nil, Error.New("encoding a command: %w", err)
	}
	return data, nil
}

func Decode(data []byte) (*Command, error) {
	command := new(Command)
	if err := decoder.Unmarshal(data, command); err != nil {
		return nil, Error.New("decoding a command: %w", err)
	}
	return command, nil
}

// Milliseconds converts a wall-clock time since the Unix epoch to the time of a
// command.
func Milliseconds(wall time.Duration) int64 {
	return wall.Milliseconds()
}
