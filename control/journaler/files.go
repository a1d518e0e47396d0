package journaler

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"marigoldhill/control/elector"
)

// Names of files in the data directory.
const (
	lockName        = "lock"
	logPrefix       = "log-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".new"
)

// isStateFile reports whether a file holds state of a replica.
func isStateFile(name string) bool {
	return strings.HasPrefix(name, logPrefix) || strings.HasPrefix(name, snapshotPrefix)
}

func numberedName(prefix string, number uint64) string {
	return fmt.Sprintf("%s%020d", prefix, number)
}

// fileNumbers are the numbers of the log and snapshot files in a data directory, in
// ascending order.
type fileNumbers struct {
	logs      []uint64
	snapshots []uint64
}

// scanFiles collects the numbers of the log and snapshot files and removes
// temporary files left by a crash.
func (j *Journal) scanFiles(names []string) (*fileNumbers, error) {
	numbers := &fileNumbers{}
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			if err := j.remove(name); err != nil {
				return nil, err
			}
			continue
		}
		if digits, ok := strings.CutPrefix(name, logPrefix); ok {
			numbers.logs = appendNumber(numbers.logs, digits)
		}
		if digits, ok := strings.CutPrefix(name, snapshotPrefix); ok {
			numbers.snapshots = appendNumber(numbers.snapshots, digits)
		}
	}
	slices.Sort(numbers.logs)
	slices.Sort(numbers.snapshots)
	return numbers, nil
}

// appendNumber parses the number in a file name and appends it. The journal creates
// no names without a number, so other ones are ignored.
func appendNumber(numbers []uint64, digits string) []uint64 {
	number, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return numbers
	}
	return append(numbers, number)
}

func (j *Journal) remove(name string) error {
	path := filepath.Join(j.directory, name)
	if err := j.disk.Remove(path); err != nil {
		return Error.New("removing %s: %w", path, err)
	}
	return nil
}

// removeOld removes all log and snapshot files but the newest of each.
func (j *Journal) removeOld(numbers *fileNumbers) error {
	for _, number := range numbers.logs {
		if number != j.number {
			if err := j.remove(numberedName(logPrefix, number)); err != nil {
				return err
			}
		}
	}
	if len(numbers.snapshots) == 0 {
		return nil
	}
	for _, number := range numbers.snapshots[:len(numbers.snapshots)-1] {
		if err := j.remove(numberedName(snapshotPrefix, number)); err != nil {
			return err
		}
	}
	return nil
}

// loadSnapshot reads the newest snapshot, if there is one.
func (j *Journal) loadSnapshot(numbers *fileNumbers, stored *Stored) error {
	if len(numbers.snapshots) == 0 {
		return nil
	}
	newest := numbers.snapshots[len(numbers.snapshots)-1]
	path := filepath.Join(j.directory, numberedName(snapshotPrefix, newest))
	data, err := j.disk.Read(path)
	if err != nil {
		return Error.New("reading %s: %w", path, err)
	}
	stored.Snapshot = &elector.Snapshot{}
	if err := decodeFile(data, stored.Snapshot); err != nil {
		return corruptError(path, err)
	}
	return nil
}

// corruptError adds to an error how to recover from a damaged file.
func corruptError(path string, err error) error {
	return Error.New("%s (restore the disk, or remove this member, empty its data directory "+
		"and add it again as a new member): %w", path, err)
}

// loadLog reads the newest log file and opens it for appending.
func (j *Journal) loadLog(numbers *fileNumbers, stored *Stored) error {
	if len(numbers.logs) == 0 {
		return corruptError(j.directory, Error.New("%w: no log file", ErrCorrupt))
	}
	j.number = numbers.logs[len(numbers.logs)-1]
	j.logPath = filepath.Join(j.directory, numberedName(logPrefix, j.number))
	data, err := j.disk.Read(j.logPath)
	if err != nil {
		return Error.New("reading %s: %w", j.logPath, err)
	}
	log, err := ReadLog(data)
	if err != nil {
		return corruptError(j.logPath, err)
	}
	if err := j.reopenLog(log, len(data)); err != nil {
		return err
	}
	stored.TruncatedBytes = len(data) - log.ValidBytes
	if err := replay(log.Records, stored); err != nil {
		return corruptError(j.logPath, err)
	}
	return nil
}

// reopenLog truncates a torn last record, opens the log file for appending and syncs
// it: the process that wrote the last record may have ended before its sync, and what
// is loaded counts as synced.
func (j *Journal) reopenLog(log *Log, size int) error {
	if log.ValidBytes < size {
		if err := j.disk.Truncate(j.logPath, int64(log.ValidBytes)); err != nil {
			return writeError(j.logPath, err)
		}
	}
	file, err := j.disk.Append(j.logPath)
	if err != nil {
		return writeError(j.logPath, err)
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return writeError(j.logPath, err)
	}
	j.file = file
	j.sequence = uint64(len(log.Records))
	j.size = int64(log.ValidBytes)
	return nil
}

// startLog creates a log file with one record and makes it the current one.
func (j *Journal) startLog(record *Record) error {
	data, err := encodeRecord(1, record)
	if err != nil {
		return err
	}
	name := numberedName(logPrefix, j.number+1)
	file, err := j.createFile(name, data)
	if err != nil {
		return err
	}
	j.number++
	j.logPath = filepath.Join(j.directory, name)
	j.file = file
	j.sequence = 1
	j.size = int64(len(data))
	return nil
}

// rotate stores a snapshot and starts a new log file.
func (j *Journal) rotate(write Write) error {
	if err := j.writeFile(numberedName(snapshotPrefix, write.Snapshot.Index), write.Snapshot); err != nil {
		return err
	}
	old := j.file
	hardState := j.hardState
	if err := j.startLog(&Record{Save: &hardState, Entries: write.TrailingEntries}); err != nil {
		return err
	}
	if err := old.Close(); err != nil {
		return writeError(j.directory, err)
	}
	return nil
}

// removeObsolete removes the files that the newest snapshot and log file replace.
func (j *Journal) removeObsolete() error {
	names, err := j.disk.List(j.directory)
	if err != nil {
		return Error.New("listing %s: %w", j.directory, err)
	}
	numbers, err := j.scanFiles(names)
	if err != nil {
		return err
	}
	return j.removeOld(numbers)
}
