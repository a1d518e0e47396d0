package elector

import (
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"marigoldhill/kernel/messenger"
)

// EntryKind says what an entry of the log holds.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryEmpty is the first entry of a leader's term.
	EntryEmpty EntryKind = iota + 1
	// EntryCommand holds a command of the state machine.
	EntryCommand
	// EntryGroup holds a Group, which is in force from the moment it is
	// appended.
	EntryGroup
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// HardState must be synced before a replica acts on it.
type HardState struct {
	Term uint64
	// Vote is the candidate that got the vote in Term, or empty.
	Vote string
}

// Member is a voting member of the group.
type Member struct {
	messenger.Member
	// Incarnation is the identity of the member's data folder, 0 as long as it
	// is not known.
	Incarnation uint64
}

// Group is the set of voting members.
type Group struct {
	Members []Member
}

// Find returns the member called name.
func (g Group) Find(name string) (Member, bool) {
	i := slices.IndexFunc(g.Members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return g.Members[i], true
}

// Has reports whether a member is called name.
func (g Group) Has(name string) bool {
	_, ok := g.Find(name)
	return ok
}

// Majority is the number of members that decide.
func (g Group) Majority() int {
	return len(g.Members)/2 + 1
}

// Plain returns the members as the rest of the system knows them.
func (g Group) Plain() []messenger.Member {
	members := make([]messenger.Member, 0, len(g.Members))
	for _, member := range g.Members {
		members = append(members, member.Member)
	}
	return members
}

// Founders makes the first group from the members in the settings.
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
		panic(err) // a plain struct always encodes
	}
	return data
}

// decodeGroup decodes an entry whose checksum was verified, so it cannot fail
// but by a fault of the program.
func decodeGroup(data []byte) Group {
	var group Group
	if err := msgpack.Unmarshal(data, &group); err != nil {
		panic(Error.New("decoding a group entry: %w", err))
	}
	return group
}

// Snapshot is the whole state of the machine after the entry at Index.
type Snapshot struct {
	Index uint64
	Term  uint64
	Group Group
	Data  []byte
	// Sum is the xxhash of Data.
	Sum uint64
}

// Stored is what a replica finds on its disk when it starts.
type Stored struct {
	Hard HardState
	// Founders is the group from the settings of the first start; empty for a
	// replica that joined.
	Founders Group
	Snapshot *Snapshot
	Entries  []Entry
}

// groupAt is the group that is in force from the entry at index.
type groupAt struct {
	index uint64
	group Group
}

// group is the group in force.
func (e *Elector) group() Group {
	return e.groups[len(e.groups)-1].group
}

// groupOf is the group that was in force at index.
func (e *Elector) groupOf(index uint64) Group {
	for _, at := range slices.Backward(e.groups) {
		if at.index <= index {
			return at.group
		}
	}
	return e.groups[0].group
}

// truncate removes the entries from index on.
func (e *Elector) truncate(index uint64) {
	e.log.truncate(index)
	e.stable = min(e.stable, index-1)
	for len(e.groups) > 1 && e.groups[len(e.groups)-1].index >= index {
		e.groups = e.groups[:len(e.groups)-1]
	}
}

// append adds entries to the log and to the writes of this step.
func (e *Elector) append(entries []Entry) {
	e.log.append(entries)
	e.out.Append = append(e.out.Append, entries...)
	for _, entry := range entries {
		if entry.Kind == EntryGroup {
			e.groups = append(e.groups, groupAt{index: entry.Index, group: decodeGroup(entry.Data)})
		}
	}
}
