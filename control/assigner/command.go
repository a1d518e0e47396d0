package assigner

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"marigoldhill/kernel/messenger"
)

// Command is one entry of the log. Exactly one of the pointers is set.
type Command struct {
	// Time is the wall clock of the proposer in milliseconds.
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
	// Routed says that the router serves the routes of a configuration.
	Routed bool
}

// Update replaces what a session said of itself.
type Update struct {
	Session uint64
	Address string
	Domain  string
	Region  string
	Server  *messenger.ServerRow
	Leaving bool
}

// Close closes sessions.
type Close struct {
	Sessions []uint64
	// Lapsed says that their leases lapsed; otherwise they ended in order.
	Lapsed bool
	// Silence is how long the leases' owners were not heard of, in
	// milliseconds.
	Silence int64
}

// Release gives shards back. Shards that are moving go to their next owner.
type Release struct {
	Session uint64
	Shards  []messenger.ShardRef
}

// Placement gives free shards of one service to a session.
type Placement struct {
	Session uint64
	Shards  ShardSet
}

// Grant gives free shards of a service to sessions.
type Grant struct {
	Service    string
	Placements []Placement
	// Why is kept for explanations.
	Why string
}

// Move starts planned moves of owned shards.
type Move struct {
	Service    string
	Placements []Placement
	Why        string
}

// Recovered says that a session holds the records of earlier owners now.
type Recovered struct {
	Session uint64
	Shards  []messenger.ShardRef
}

// Join makes sessions joining recorders of a session.
type Join struct {
	Session uint64
	Joining []uint64
}

// Copied says that joining recorders hold all records of a session.
type Copied struct {
	Session uint64
	Joined  []uint64
}

// Promote gives a key a shard of its own.
type Promote struct {
	Service string
	Key     string
}

// Demote puts a key back into its hash shard.
type Demote struct {
	Service string
	Key     string
}

// Death reports the requests in flight when a backend server died.
type Death struct {
	Session uint64
	// Number tells reports of a session apart; 0 is not checked.
	Number uint64
	Rows   []messenger.QuarantineRow
}

// Notice records an event without any other effect.
type Notice struct {
	Number  int
	Subject string
	Text    string
}

// Condition is the condition of an operator's change.
type Condition struct {
	// Revision is the revision that the change was made from; 0 means that
	// there must be none yet.
	Revision uint64
	// Idempotency identifies the change; a resend gets the first answer.
	Idempotency string
}

// PutProfile creates or replaces a profile.
type PutProfile struct {
	Condition Condition
	Profile   messenger.Profile
}

// RemoveProfile removes a profile that no service uses.
type RemoveProfile struct {
	Condition Condition
	Name      string
}

// PutService creates or replaces a service.
type PutService struct {
	Condition Condition
	Service   messenger.Service
}

// Drain drains a backend server, or ends its drain.
type Drain struct {
	Condition Condition
	Server    string
	On        bool
}

// Lift lifts a quarantine.
type Lift struct {
	Condition   Condition
	Fingerprint string
}

// Encode encodes a command for the log.
func Encode(command *Command) ([]byte, error) {
	data, err := msgpack.Marshal(command)
	if err != nil {
		return nil, Error.New("encoding a command: %w", err)
	}
	return data, nil
}

// Decode decodes a command from the log.
func Decode(data []byte) (*Command, error) {
	command := new(Command)
	if err := msgpack.Unmarshal(data, command); err != nil {
		return nil, Error.New("decoding a command: %w", err)
	}
	return command, nil
}

// Milliseconds turns a wall-clock reading since the Unix epoch into the time of
// a command.
func Milliseconds(wall time.Duration) int64 {
	return wall.Milliseconds()
}
