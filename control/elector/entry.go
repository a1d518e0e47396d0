package elector

import (
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"marigoldhill/kernel/decoder"
	"marigoldhill/kernel/messenger"
)

// EntryKind is the type of a log entry.
type EntryKind uint8

// Kinds of log entries.
const (
	// EntryEmpty is the no-op entry that a leader appends at the start of its
	// term.
	EntryEmpty EntryKind = iota + 1
	// EntryCommand holds a command for the state machine.
	EntryCommand
	// EntryGroup holds a Group, which takes effect when it is appended.
	EntryGroup
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is the persistent term and vote. It must be synced before a replica
// acts on it.
type HardState struct {
	Term uint64
	// Vote is the candidate that this replica voted for in Term, or empty.
	Vote string
}

// Member is a voting member of the group.
type Member struct {
	messenger.Member
	// Incarnation identifies the data directory of the member. It is 0 until it is
	// known.
	Incarnation uint64
}

// Group is the set of voting members.
type Group struct {
	Members []Member
}

// Find returns the member with the given name.
func (g Group) Find(name string) (Member, bool) {
	i := slices.IndexFunc(g.Members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return g.Members[i], true
}

// Has reports whether there is a member with the given name.
func (g Group) Has(name string) bool {
	_, ok := g.Find(name)
	return ok
}

// Majority returns the number of members that form a quorum.
func (g Group) Majority() int {
	return len(g.Members)/2 + 1
}

// MessengerMembers returns the members without their incarnations.
func (g Group) MessengerMembers() []messenger.Member {
	members := make([]messenger.Member, 0, len(g.Members))
	for _, member := range g.Members {
		members = append(members, member.Member)
	}
	return members
}

// Founders returns the initial group, which consists of the members in the
// settings.
func Founders(members []messenger.Member) Group {
	var group Group
	for _, member := range members {
		group.Members = append(group.Members, Member{Member: member})
	}
	return group
}

func encodeGroup(group Group) []byte {
	data, err := msgpack.Marshal(&group)
	if err != nil {
		panic(err) // encoding a plain struct cannot fail
	}
	return data
}

// decodeGroup decodes the data of a group entry. Its checksum was verified
// before, so a failure is a bug.
func decodeGroup(data []byte) Group {
	var group Group
	if err := decoder.Unmarshal(data, &group); err != nil {
		panic(Error.New("decoding a group entry: %w", err))
	}
	return group
}

// Snapshot is the complete state of the state machine after the entry at Index.
type Snapshot struct {
	Index uint64
	Term  uint64
	Group Group
	Data  []byte
	// Sum is the xxhash of Data.
	Sum uint64
}

// Stored is the persistent state that a replica loads when it starts.
type Stored struct {
	Hard HardState
	// Founders is the group from the settings of the first start. It is empty
	// for a replica that joined an existing group.
	Founders Group
	Snapshot *Snapshot
	Entries  []Entry
}

// groupVersion is a group that takes effect with the entry at index.
type groupVersion struct {
	index uint64
	group Group
}

// group returns the current group.
func (e *Elector) group() Group {
	return e.groups[len(e.groups)-1].group
}

// groupAtIndex returns the group that was in effect at index.
func (e *Elector) groupAtIndex(index uint64) Group {
	for _, version := range slices.Backward(e.groups) {
		if version.index <= index {
			return version.group
		}
	}
	return e.groups[0].group
}

// truncate removes the entries at index and after it.
func (e *Elector) truncate(index uint64) {
	e.log.truncate(index)
	e.syncedIndex = min(e.syncedIndex, index-1)
	for len(e.groups) > 1 && e.groups[len(e.groups)-1].index >= index {
		e.groups = e.groups[:len(e.groups)-1]
	}
}

// append adds entries to the log and to the writes of this step.
func (e *Elector) append(entries []Entry) {
	e.log.append(entries)
	e.effects.Append = append(e.effects.Append, entries...)
	for _, entry := range entries {
		if entry.Kind == EntryGroup {
			e.groups = append(e.groups, groupVersion{index: entry.Index, group: decodeGroup(entry.Data)})
		}
	}
}
