package journaler_test

import (
	"errors"
	"fmt"
	"path/filepath"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/elector"
	"marigoldhill/control/journaler"
	"marigoldhill/kernel/messenger"
)

const (
	directory = "data"
	logPath   = "data/log-00000000000000000001"
)

var identity = journaler.Identity{
	Cluster:     "test",
	Name:        "a",
	Incarnation: 7,
	Founders:    []messenger.Member{{Name: "a"}},
}

func open(t testing.TB, disk journaler.Disk) (*journaler.Journal, *journaler.Stored) {
	t.Helper()
	journal, stored, err := journaler.Open(disk, directory, identity)
	qt.Assert(t, err, qt.IsNil)
	return journal, stored
}

func entry(index, term uint64) elector.Entry {
	return elector.Entry{Index: index, Term: term, Kind: elector.EntryCommand, Data: fmt.Appendf(nil, "%d", index)}
}

func entries(first, last, term uint64) []elector.Entry {
	var list []elector.Entry
	for index := first; index <= last; index++ {
		list = append(list, entry(index, term))
	}
	return list
}

// writeSequence is a sequence of writes. Each has the index and the term of the
// last entry that must be stored after it, and the index of the snapshot.
var writeSequence = []struct {
	write    journaler.Write
	last     uint64
	lastTerm uint64
	snapshot uint64
}{
	{journaler.Write{Save: &elector.HardState{Term: 1, Vote: "b"}}, 0, 0, 0},
	{journaler.Write{Entries: entries(1, 5, 1)}, 5, 1, 0},
	{journaler.Write{Save: &elector.HardState{Term: 2}, Entries: entries(4, 8, 2)}, 8, 2, 0},
	{journaler.Write{Snapshot: &elector.Snapshot{Index: 6, Term: 2, Data: []byte("six")}, TrailingEntries: entries(5, 8, 2)}, 8, 2, 6},
	{journaler.Write{Entries: entries(9, 10, 2)}, 10, 2, 6},
	{journaler.Write{Snapshot: &elector.Snapshot{Index: 20, Term: 3}, Install: true}, 20, 3, 20},
	{journaler.Write{Save: &elector.HardState{Term: 4}, Entries: entries(21, 22, 4)}, 22, 4, 20},
}

// checkStored compares the stored state with what a write of writeSequence must
// leave.
func checkStored(t *testing.T, stored *journaler.Stored, done int, note string) {
	t.Helper()
	want := writeSequence[done]
	last, term := uint64(0), uint64(0)
	snapshot := uint64(0)
	if stored.Snapshot != nil {
		snapshot = stored.Snapshot.Index
		last, term = snapshot, stored.Snapshot.Term
	}
	if n := len(stored.Entries); n > 0 {
		last, term = stored.Entries[n-1].Index, stored.Entries[n-1].Term
	}
	got := []uint64{last, term, snapshot}
	qt.Assert(t, got, qt.DeepEquals, []uint64{want.last, want.lastTerm, want.snapshot}, qt.Commentf("%s", note))
	for i, e := range stored.Entries {
		qt.Assert(t, string(e.Data), qt.Equals, fmt.Sprint(e.Index), qt.Commentf("%s", note))
		qt.Assert(t, e.Index, qt.Equals, stored.Entries[0].Index+uint64(i), qt.Commentf("%s", note))
	}
}

// TestReopenAfterEachWrite crashes the disk after each write. The state must be
// stored, and the stored identity must take precedence over the configured one.
func TestReopenAfterEachWrite(t *testing.T) {
	disk := newMemoryDisk()
	for i, s := range writeSequence {
		journal, _ := open(t, disk)
		qt.Assert(t, journal.Write(s.write), qt.IsNil)
		disk.crash(0)
		other := identity
		other.Incarnation = 8
		reopened, stored, err := journaler.Open(disk, directory, other)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, stored.Identity, qt.DeepEquals, identity)
		checkStored(t, stored, i, fmt.Sprint("write ", i))
		qt.Assert(t, reopened.Close(), qt.IsNil)
	}
}

// TestFailureAtEachOperation makes the disk fail from each operation on in turn,
// then crashes it with torn writes of different lengths. Acknowledged writes must
// be stored, and the failed one must be stored completely or not at all.
func TestFailureAtEachOperation(t *testing.T) {
	for _, torn := range []int{0, 1, 20, 40, 1 << 20} {
		for failFrom := 1; ; failFrom++ {
			note := fmt.Sprintf("operation %d, %d torn bytes", failFrom, torn)
			disk := newMemoryDisk()
			disk.failFrom = failFrom
			done, opened, err := write(disk)
			if err == nil {
				break
			}
			qt.Assert(t, errors.Is(err, errFull), qt.IsTrue, qt.Commentf("%s: %v", note, err))
			disk.crash(torn)
			journal, stored := open(t, disk)
			if !opened || done < 0 {
				continue
			}
			if n := lastStored(stored); n > done {
				checkStored(t, stored, n, note)
			} else {
				checkStored(t, stored, done, note)
			}
			qt.Assert(t, journal.Write(journaler.Write{Save: &elector.HardState{Term: 9}}), qt.IsNil)
		}
	}
}

// TestReadStateSurvivesPowerLoss makes a process end at each operation in turn, so that
// what it had written last is not synced, and opens the directory again. What is read
// then is acknowledged to other replicas, so it must survive a loss of power.
func TestReadStateSurvivesPowerLoss(t *testing.T) {
	for failFrom := 1; ; failFrom++ {
		disk := newMemoryDisk()
		disk.failFrom = failFrom
		_, _, err := write(disk)
		if err == nil {
			break
		}
		disk.failFrom = 0
		disk.locked = false
		_, stored := open(t, disk)
		disk.crash(0)
		_, again := open(t, disk)
		qt.Check(t, again.Hard, qt.DeepEquals, stored.Hard, qt.Commentf("operation %d", failFrom))
		qt.Check(t, again.Entries, qt.DeepEquals, stored.Entries, qt.Commentf("operation %d", failFrom))
		qt.Check(t, again.Snapshot, qt.DeepEquals, stored.Snapshot, qt.Commentf("operation %d", failFrom))
	}
}

// write writes writeSequence and returns the index of the last acknowledged
// write.
func write(disk *memoryDisk) (done int, opened bool, err error) {
	done = -1
	journal, _, err := journaler.Open(disk, directory, identity)
	if err != nil {
		return done, false, err
	}
	for i, s := range writeSequence {
		if err := journal.Write(s.write); err != nil {
			return done, true, err
		}
		done = i
	}
	return done, true, nil
}

// lastStored returns the index of the last write of writeSequence whose effects
// are stored, or -1.
func lastStored(stored *journaler.Stored) int {
	last, snapshot := uint64(0), uint64(0)
	if stored.Snapshot != nil {
		snapshot = stored.Snapshot.Index
		last = snapshot
	}
	if n := len(stored.Entries); n > 0 {
		last = stored.Entries[n-1].Index
	}
	for i := len(writeSequence) - 1; i >= 0; i-- {
		if writeSequence[i].last == last && writeSequence[i].snapshot == snapshot {
			return i
		}
	}
	return -1
}

// Guards against replicas that end, or write no more, once a disk that was full has room again.
func TestWritesGoOnWhenAFullDiskHasRoomAgain(t *testing.T) {
	for _, failure := range []error{syscall.ENOSPC, syscall.EDQUOT} {
		for attempts := 1; attempts <= 3; attempts++ {
			for failFrom := 1; ; failFrom++ {
				note := fmt.Sprintf("%v from operation %d on, room at attempt %d", failure, failFrom, attempts)
				disk := newMemoryDisk()
				journal, _ := open(t, disk)
				first := disk.operations
				disk.failFrom, disk.failure = first+failFrom, failure
				refused := 0
				journal.OnFull(func(error) bool {
					if refused++; refused == attempts {
						disk.failFrom = 0
					}
					return true
				})
				for i, s := range writeSequence {
					qt.Assert(t, journal.Write(s.write), qt.IsNil, qt.Commentf("%s, write %d", note, i))
				}
				if refused == 0 {
					break
				}
				disk.crash(0)
				_, stored := open(t, disk)
				checkStored(t, stored, len(writeSequence)-1, note)
			}
		}
	}
}

func TestFailedSyncClosesJournal(t *testing.T) {
	disk := newMemoryDisk()
	journal, _ := open(t, disk)
	disk.failFrom = disk.operations + 2 // the write succeeds, its sync fails
	err := journal.Write(writeSequence[1].write)
	qt.Assert(t, errors.Is(err, journaler.ErrWriteFailed), qt.IsTrue)
	qt.Assert(t, err, qt.ErrorMatches, ".*data/log-0*1 .nothing that was acknowledged is lost; free space.*")
	disk.failFrom = 0
	err = journal.Write(writeSequence[1].write)
	qt.Assert(t, errors.Is(err, journaler.ErrClosed), qt.IsTrue)
}

// TestCorruptByte flips bits in each byte of a log file in turn. In a record
// that is followed by others this is an error; the last record is truncated
// like a torn one.
func TestCorruptByte(t *testing.T) {
	disk := newMemoryDisk()
	journal, _ := open(t, disk)
	qt.Assert(t, journal.Write(writeSequence[0].write), qt.IsNil)
	qt.Assert(t, journal.Write(writeSequence[1].write), qt.IsNil)
	middle := len(disk.names[logPath].data)
	qt.Assert(t, journal.Write(writeSequence[2].write), qt.IsNil)
	good := disk.names[logPath].data
	for at := range good {
		data := append([]byte(nil), good...)
		data[at] ^= 0x55
		disk.names[logPath].data = data
		disk.locked = false
		_, stored, err := journaler.Open(disk, directory, identity)
		if at < middle {
			qt.Assert(t, errors.Is(err, journaler.ErrCorrupt), qt.IsTrue, qt.Commentf("byte %d: %v", at, err))
			continue
		}
		qt.Assert(t, err, qt.IsNil, qt.Commentf("byte %d", at))
		qt.Assert(t, stored.TruncatedBytes, qt.Equals, len(good)-middle)
		checkStored(t, stored, 1, fmt.Sprint("byte ", at))
	}
}

func TestOpenErrors(t *testing.T) {
	otherReplica := identity
	otherReplica.Name = "b"
	tests := []struct {
		name     string
		prepare  func(*memoryDisk)
		identity journaler.Identity
		want     error
	}{
		{"another replica", func(*memoryDisk) {}, otherReplica, journaler.ErrIdentityMismatch},
		{"locked", func(d *memoryDisk) { d.locked = true }, identity, journaler.ErrLocked},
		{"identity lost", func(d *memoryDisk) { delete(d.names, "data/identity") }, identity, journaler.ErrCorrupt},
		{"identity damaged", func(d *memoryDisk) { d.names["data/identity"].data[40] ^= 1 }, identity, journaler.ErrCorrupt},
		{"only the identity file remains", func(d *memoryDisk) {
			for path := range d.names {
				if path != "data/identity" {
					delete(d.names, path)
				}
			}
		}, identity, journaler.ErrCorrupt},
		{"log lost", func(d *memoryDisk) { delete(d.names, "data/log-00000000000000000003") }, identity, journaler.ErrCorrupt},
		{"snapshot lost", func(d *memoryDisk) { delete(d.names, "data/snapshot-00000000000000000020") }, identity, journaler.ErrCorrupt},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			disk := newMemoryDisk()
			_, _, err := write(disk)
			qt.Assert(t, err, qt.IsNil)
			disk.locked = false
			test.prepare(disk)
			_, _, err = journaler.Open(disk, directory, test.identity)
			qt.Assert(t, errors.Is(err, test.want), qt.IsTrue, qt.Commentf("got %v", err))
		})
	}
}

func TestOSDiskLocksDirectory(t *testing.T) {
	path := t.TempDir()
	journal, _, err := journaler.Open(journaler.OSDisk{}, path, identity)
	qt.Assert(t, err, qt.IsNil)
	_, _, err = journaler.Open(journaler.OSDisk{}, path, identity)
	qt.Check(t, errors.Is(err, journaler.ErrLocked), qt.IsTrue)
	qt.Assert(t, journal.Close(), qt.IsNil)
	journal, _, err = journaler.Open(journaler.OSDisk{}, path, identity)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, journal.Close(), qt.IsNil)
}

// FuzzRead checks that the content of a log file is either reported as corrupt or has
// a valid part that yields the same records when it is read alone.
func FuzzRead(f *testing.F) {
	disk := newMemoryDisk()
	journal, _ := open(f, disk)
	for _, s := range writeSequence[:3] {
		qt.Assert(f, journal.Write(s.write), qt.IsNil)
	}
	good := disk.names[logPath].data
	f.Add(good)
	f.Add(good[:len(good)-3])
	f.Add(append([]byte("MHR1"), good...))
	f.Fuzz(func(t *testing.T, data []byte) {
		log, err := journaler.ReadLog(data)
		if err != nil {
			qt.Assert(t, errors.Is(err, journaler.ErrCorrupt), qt.IsTrue)
			return
		}
		again, err := journaler.ReadLog(data[:log.ValidBytes])
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again, qt.DeepEquals, log)
	})
}

func TestProbe(t *testing.T) {
	disk := newMemoryDisk()
	qt.Assert(t, journaler.Probe(disk, directory), qt.IsNil)
	names, err := disk.List(directory)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, names, qt.HasLen, 0)
	disk.failFrom = disk.operations + 1
	err = journaler.Probe(disk, directory)
	qt.Assert(t, errors.Is(err, journaler.ErrWriteFailed), qt.IsTrue, qt.Commentf("got %v", err))
	// Errors of a directory that cannot be listed are reported by Open.
	qt.Assert(t, journaler.Probe(journaler.OSDisk{}, filepath.Join(t.TempDir(), "missing")), qt.IsNil)
}
