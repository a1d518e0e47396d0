package journaler

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"marigoldhill/control/elector"
)

// Names in the data folder.
const (
	lockName       = "lock"
	logPrefix      = "log-"
	snapshotPrefix = "snapshot-"
	unfinished     = ".new"
)

// isState reports whether a file holds state of a replica.
func isState(name string) bool {
	return strings.HasPrefix(name, logPrefix) || strings.HasPrefix(name, snapshotPrefix)
}

func numbered(prefix string, number uint64) string {
	return fmt.Sprintf("%s%020d", prefix, number)
}

// files are the numbers of the files in a data folder, oldest first.
type files struct {
	logs      []uint64
	snapshots []uint64
}

// sortFiles sorts the names and removes what a crash left unfinished.
func (j *Journal) sortFiles(names []string) (*files, error) {
	found := &files{}
	for _, name := range names {
		if strings.HasSuffix(name, unfinished) {
			if err := j.remove(name); err != nil {
				return nil, err
			}
			continue
		}
		if digits, ok := strings.CutPrefix(name, logPrefix); ok {
			found.logs = appendNumber(found.logs, digits)
		}
		if digits, ok := strings.CutPrefix(name, snapshotPrefix); ok {
			found.snapshots = appendNumber(found.snapshots, digits)
		}
	}
	slices.Sort(found.logs)
	slices.Sort(found.snapshots)
	return found, nil
}

// appendNumber appends the number in a name; other names are not ours.
func appendNumber(numbers []uint64, digits string) []uint64 {
	number, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return numbers
	}
	return append(numbers, number)
}

func (j *Journal) remove(name string) error {
	path := filepath.Join(j.folder, name)
	if err := j.disk.Remove(path); err != nil {
		return Error.New("removing %s: %w", path, err)
	}
	return nil
}

// removeOld removes all but the newest log and snapshot.
func (j *Journal) removeOld(found *files) error {
	for _, number := range found.logs {
		if number != j.number {
			if err := j.remove(numbered(logPrefix, number)); err != nil {
				return err
			}
		}
	}
	if len(found.snapshots) == 0 {
		return nil
	}
	for _, number := range found.snapshots[:len(found.snapshots)-1] {
		if err := j.remove(numbered(snapshotPrefix, number)); err != nil {
			return err
		}
	}
	return nil
}

// loadSnapshot reads the newest snapshot, if there is one.
func (j *Journal) loadSnapshot(found *files, stored *Stored) error {
	if len(found.snapshots) == 0 {
		return nil
	}
	newest := found.snapshots[len(found.snapshots)-1]
	path := filepath.Join(j.folder, numbered(snapshotPrefix, newest))
	data, err := j.disk.Read(path)
	if err != nil {
		return Error.New("reading %s: %w", path, err)
	}
	stored.Snapshot = &elector.Snapshot{}
	if err := decodeFile(data, stored.Snapshot); err != nil {
		return corrupt(path, err)
	}
	return nil
}

// corrupt says what to do about a damaged file.
func corrupt(path string, err error) error {
	return Error.New("%s (restore the disk, or remove this member, empty its data folder "+
		"and add it again as a new member): %w", path, err)
}

// loadLog reads the newest log file and opens it for appending.
func (j *Journal) loadLog(found *files, stored *Stored) error {
	if len(found.logs) == 0 {
		return corrupt(j.folder, Error.New("%w: the log is missing", ErrCorrupt))
	}
	j.number = found.logs[len(found.logs)-1]
	j.path = filepath.Join(j.folder, numbered(logPrefix, j.number))
	data, err := j.disk.Read(j.path)
	if err != nil {
		return Error.New("reading %s: %w", j.path, err)
	}
	log, err := ReadLog(data)
	if err != nil {
		return corrupt(j.path, err)
	}
	if err := j.reopen(log, len(data)); err != nil {
		return err
	}
	stored.Cut = len(data) - log.Length
	if err := replay(log.Records, stored); err != nil {
		return corrupt(j.path, err)
	}
	return nil
}

// reopen cuts a torn last record and opens the log file for appending.
func (j *Journal) reopen(log *Log, size int) error {
	if log.Length < size {
		if err := j.disk.Truncate(j.path, int64(log.Length)); err != nil {
			return writeError(j.path, err)
		}
	}
	file, err := j.disk.Append(j.path)
	if err != nil {
		return writeError(j.path, err)
	}
	j.file = file
	j.sequence = uint64(len(log.Records))
	return nil
}

// startLog starts a new log file with one record and makes it the current one.
func (j *Journal) startLog(record *Record) error {
	data, err := encodeRecord(1, record)
	if err != nil {
		return err
	}
	name := numbered(logPrefix, j.number+1)
	file, err := j.createWith(name, data)
	if err != nil {
		return err
	}
	j.number++
	j.path = filepath.Join(j.folder, name)
	j.file = file
	j.sequence = 1
	return nil
}

// rotate stores a snapshot and starts a new log file.
func (j *Journal) rotate(write Write) error {
	if err := j.writeFile(numbered(snapshotPrefix, write.Snapshot.Index), write.Snapshot); err != nil {
		return err
	}
	old := j.file
	hard := j.hard
	if err := j.startLog(&Record{Save: &hard, Entries: write.Tail}); err != nil {
		return err
	}
	if err := old.Close(); err != nil {
		return writeError(j.folder, err)
	}
	names, err := j.disk.List(j.folder)
	if err != nil {
		return Error.New("listing %s: %w", j.folder, err)
	}
	found, err := j.sortFiles(names)
	if err != nil {
		return err
	}
	return j.removeOld(found)
}
