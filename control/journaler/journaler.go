// Package journaler keeps the log, the snapshots and the identity of a replica
// in one data folder.
//
// The folder holds these files:
//
//	identity     cluster, name, incarnation and founding members
//	lock         locked while a process uses the folder
//	log-N        the log: one record for each synced write
//	snapshot-N   the state after the entry N
//
// Each record has a length, a sequence number and checksums. A record that was
// cut short by a crash can only be the last one, since each write is synced
// before the next: it was never acknowledged and is removed. A bad record with a
// good one after it, or a failed sync, ends the use of the folder with an error;
// nothing is guessed.
//
// Each snapshot starts a new log file, which holds all that is needed together
// with the snapshot; the older files are removed after it was synced.
//
// # Usage
//
//	journal, stored, err := journaler.Open(journaler.OS{}, folder, identity)
//	err = journal.Write(journaler.Write{Save: &hard, Entries: entries})
//	err = journal.Close()
package journaler

import (
	"io"
	"path/filepath"
	"slices"

	"github.com/zeebo/errs"

	"marigoldhill/control/elector"
)

// Error is the class of all errors of this package.
var Error = errs.Class("journaler")

// Errors that callers tell apart; the returned ones wrap them.
var (
	// ErrFolder means that the data folder does not exist.
	ErrFolder = errs.New("data folder is missing")
	// ErrLocked means that another process uses the data folder.
	ErrLocked = errs.New("data folder is in use by another process")
	// ErrIdentity means that the data folder is of another replica.
	ErrIdentity = errs.New("data folder belongs to another replica")
	// ErrCorrupt means that a file was damaged after it was synced.
	ErrCorrupt = errs.New("file is damaged")
	// ErrWrite means that a write or a sync failed, so that it is not known
	// what is on the disk.
	ErrWrite = errs.New("write failed")
	// ErrClosed is for use after a failure or after Close.
	ErrClosed = errs.New("journal is closed")
)

// Write is what one step of the elector wants on the disk, in this order:
// Snapshot, Save, Entries.
type Write struct {
	// Snapshot starts a new log file. With Install the entries so far are void;
	// otherwise Tail are the ones to keep.
	Snapshot *elector.Snapshot
	Install  bool
	Tail     []elector.Entry
	Save     *elector.HardState
	// Entries are appended; the first replaces what stands at its index and
	// after.
	Entries []elector.Entry
}

// Journal is an open data folder. Its methods must be called from one goroutine.
type Journal struct {
	disk     Disk
	folder   string
	lock     io.Closer
	hard     elector.HardState
	file     File
	path     string
	number   uint64
	sequence uint64
	failure  error
}

// Open locks and reads the data folder at path. A folder that is empty becomes
// that of a new replica with the given identity; otherwise only its cluster and
// name are compared, and the stored identity is returned.
func Open(disk Disk, path string, wanted Identity) (*Journal, *Stored, error) {
	names, err := disk.List(path)
	if err != nil {
		return nil, nil, Error.New("%w: %s (create it, or mount the disk that holds it): %w", ErrFolder, path, err)
	}
	lock, err := disk.Lock(filepath.Join(path, lockName))
	if err != nil {
		return nil, nil, Error.New("%w: %s (stop the other process, or give each its own folder): %w",
			ErrLocked, path, err)
	}
	journal := &Journal{disk: disk, folder: path, lock: lock}
	stored, err := journal.load(names, wanted)
	if err != nil {
		_ = lock.Close()
		return nil, nil, err
	}
	return journal, stored, nil
}

// Stored is what a data folder holds.
type Stored struct {
	Identity Identity
	Hard     elector.HardState
	Snapshot *elector.Snapshot
	Entries  []elector.Entry
	// Cut is how many bytes of a torn last record were removed.
	Cut int
}

func (j *Journal) load(names []string, wanted Identity) (*Stored, error) {
	if !slices.Contains(names, identityName) {
		return j.found(names, wanted)
	}
	identity, err := j.loadIdentity(wanted)
	if err != nil {
		return nil, err
	}
	files, err := j.sortFiles(names)
	if err != nil {
		return nil, err
	}
	stored := &Stored{Identity: *identity}
	if err := j.loadSnapshot(files, stored); err != nil {
		return nil, err
	}
	if err := j.loadLog(files, stored); err != nil {
		return nil, err
	}
	if err := j.removeOld(files); err != nil {
		return nil, err
	}
	j.hard = stored.Hard
	return stored, nil
}

// Write writes and syncs, in order. After an error the journal is closed for
// good, since it is not known what is on the disk; the caller must stop.
func (j *Journal) Write(writes ...Write) error {
	if j.failure != nil {
		return Error.New("%w: %w", ErrClosed, j.failure)
	}
	if err := j.write(writes); err != nil {
		j.failure = err
		return err
	}
	return nil
}

func (j *Journal) write(writes []Write) error {
	var record Record
	for _, write := range writes {
		if write.Snapshot != nil {
			if err := j.flush(&record); err != nil {
				return err
			}
			if err := j.rotate(write); err != nil {
				return err
			}
		}
		if write.Save != nil {
			record.Save = write.Save
		}
		record.Entries = append(record.Entries, write.Entries...)
	}
	return j.flush(&record)
}

// flush writes and syncs a record unless it is empty, and empties it.
func (j *Journal) flush(record *Record) error {
	if record.Save == nil && len(record.Entries) == 0 {
		return nil
	}
	if record.Save != nil {
		j.hard = *record.Save
	}
	data, err := encodeRecord(j.sequence+1, record)
	if err != nil {
		return err
	}
	if _, err := j.file.Write(data); err != nil {
		return writeError(j.path, err)
	}
	if err := j.file.Sync(); err != nil {
		return writeError(j.path, err)
	}
	j.sequence++
	*record = Record{}
	return nil
}

// writeError says what to do after a failed write or sync.
func writeError(path string, err error) error {
	return Error.New("%w: %s (nothing that was acknowledged is lost; "+
		"free space on the disk or replace it, then start again): %w", ErrWrite, path, err)
}

// Close closes the files and unlocks the folder.
func (j *Journal) Close() error {
	if j.failure == nil {
		j.failure = ErrClosed
	}
	failures := j.file.Close()
	if err := j.lock.Close(); failures == nil {
		failures = err
	}
	if failures != nil {
		return Error.New("closing %s: %w", j.folder, failures)
	}
	return nil
}
