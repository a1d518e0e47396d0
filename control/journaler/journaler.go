// Package journaler stores the log, the snapshots and the identity of a replica
// in one data directory.
//
// The directory holds these files:
//
//	identity     cluster, name, incarnation and founding members
//	lock         locked while a process uses the directory
//	log-N        the log: one record for each synced write
//	snapshot-N   the state after the entry N
//
// Each record has a length, a sequence number and checksums. Only the last
// record can be torn by a crash, since each write is synced before the next
// one. A torn record was never acknowledged and is removed; a complete one whose
// sync is in doubt is synced when the directory is opened. A bad record that is
// followed by a good one, or a failed sync, is an error after which the directory
// is no longer used; no attempt is made to repair it. What a full disk refuses, at any
// step, is taken back and made again when there is room; see [Journal.OnFull].
//
// Each snapshot starts a new log file. The snapshot and this file together hold
// the complete state; older files are removed once it is synced.
//
// # Usage
//
//	journal, stored, err := journaler.Open(journaler.OSDisk{}, directory, identity)
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

// Errors that callers distinguish. Returned errors wrap them.
var (
	// ErrDirectoryMissing means that the data directory does not exist.
	ErrDirectoryMissing = errs.New("data directory is missing")
	// ErrLocked means that another process uses the data directory.
	ErrLocked = errs.New("data directory is in use by another process")
	// ErrIdentityMismatch means that the data directory belongs to another replica.
	ErrIdentityMismatch = errs.New("data directory belongs to another replica")
	// ErrCorrupt means that a file was damaged after it was synced.
	ErrCorrupt = errs.New("file is corrupt")
	// ErrWriteFailed means that a write or a sync failed, so that the state of the
	// disk is unknown.
	ErrWriteFailed = errs.New("write failed")
	// ErrClosed means that the journal was used after a failure or after Close.
	ErrClosed = errs.New("journal is closed")
)

// Write is what one step of the elector writes, in this order: Snapshot, Save,
// Entries.
type Write struct {
	// Snapshot starts a new log file. If Install is set, the stored entries are
	// void; otherwise TrailingEntries are the entries to keep.
	Snapshot        *elector.Snapshot
	Install         bool
	TrailingEntries []elector.Entry
	Save            *elector.HardState
	// Entries are appended. The first replaces the stored entries at its index
	// and after it.
	Entries []elector.Entry
}

// Journal is an open data directory. Its methods must be called from one goroutine.
type Journal struct {
	disk      Disk
	directory string
	lock      io.Closer
	hardState elector.HardState
	file      File
	logPath   string
	// number is the number of the current log file, sequence the sequence number of
	// its last record, and size its size in bytes with that record.
	number   uint64
	sequence uint64
	size     int64
	// torn is set while the log file may have bytes after size, of a record that a full
	// disk refused.
	torn    bool
	failure error
	onFull  func(err error) bool
}

// Open locks and reads the data directory at path. An empty directory is initialized
// for a new replica with the given identity. Otherwise only the cluster and the
// name are compared, and the stored identity is returned.
func Open(disk Disk, path string, configured Identity) (*Journal, *Stored, error) {
	names, err := disk.List(path)
	if err != nil {
		return nil, nil, Error.New("%w: %s (create it, or mount the disk that holds it): %w", ErrDirectoryMissing, path, err)
	}
	lock, err := disk.Lock(filepath.Join(path, lockName))
	if err != nil {
		return nil, nil, Error.New("%w: %s (stop the other process, or give each its own directory): %w",
			ErrLocked, path, err)
	}
	journal := &Journal{disk: disk, directory: path, lock: lock}
	stored, err := journal.load(names, configured)
	if err != nil {
		_ = lock.Close()
		return nil, nil, err
	}
	return journal, stored, nil
}

// Stored is the content of a data directory.
type Stored struct {
	Identity Identity
	Hard     elector.HardState
	Snapshot *elector.Snapshot
	Entries  []elector.Entry
	// TruncatedBytes is the number of bytes removed with a torn last record.
	TruncatedBytes int
}

func (j *Journal) load(names []string, configured Identity) (*Stored, error) {
	if !slices.Contains(names, identityName) {
		return j.initialize(names, configured)
	}
	identity, err := j.loadIdentity(configured)
	if err != nil {
		return nil, err
	}
	// The last file may have been renamed by a process that ended before the sync of
	// the directory.
	if err := j.disk.SyncDir(j.directory); err != nil {
		return nil, writeError(j.directory, err)
	}
	numbers, err := j.scanFiles(names)
	if err != nil {
		return nil, err
	}
	stored := &Stored{Identity: *identity}
	if err := j.loadSnapshot(numbers, stored); err != nil {
		return nil, err
	}
	if err := j.loadLog(numbers, stored); err != nil {
		return nil, err
	}
	if err := j.removeOld(numbers); err != nil {
		return nil, err
	}
	j.hardState = stored.Hard
	return stored, nil
}

// Write writes and syncs the given writes in order. After an error the journal
// is closed permanently, since the state of the disk is unknown, and the caller
// must stop.
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
			if err := j.retryWhenFull(func() error { return j.rotate(write) }); err != nil {
				return err
			}
			if err := j.retryWhenFull(j.removeObsolete); err != nil {
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

// flush writes and syncs a record unless it is empty, and resets it.
func (j *Journal) flush(record *Record) error {
	if record.Save == nil && len(record.Entries) == 0 {
		return nil
	}
	if record.Save != nil {
		j.hardState = *record.Save
	}
	data, err := encodeRecord(j.sequence+1, record)
	if err != nil {
		return err
	}
	if err := j.retryWhenFull(func() error { return j.appendLog(data) }); err != nil {
		return err
	}
	j.sequence++
	j.size += int64(len(data))
	*record = Record{}
	return nil
}

// writeError adds to an error how to recover from a failed write or sync.
func writeError(path string, err error) error {
	return Error.New("%w: %s (nothing that was acknowledged is lost; "+
		"free space on the disk or replace it, then start again): %w", ErrWriteFailed, path, err)
}

// Close closes the files and unlocks the directory.
func (j *Journal) Close() error {
	if j.failure == nil {
		j.failure = ErrClosed
	}
	closeErr := j.file.Close()
	if err := j.lock.Close(); closeErr == nil {
		closeErr = err
	}
	if closeErr != nil {
		return Error.New("closing %s: %w", j.directory, closeErr)
	}
	return nil
}
