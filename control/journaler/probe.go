package journaler

import (
	"errors"
	"io/fs"
	"path/filepath"
)

const (
	probeName = "probe"
	// probeSize is the block size of common file systems: a disk without room
	// for one more block has none for a record.
	probeSize = 4096
)

// Probe reports whether the disk of a data folder takes writes, and wraps ErrWrite
// when it does not. A folder that can't be listed is left to Open to report.
func Probe(disk Disk, folder string) error {
	if _, err := disk.List(folder); err != nil {
		return nil
	}
	path := filepath.Join(folder, probeName)
	failure := writeProbe(disk, path)
	if err := disk.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) && failure == nil {
		failure = err
	}
	if failure != nil {
		return Error.New("%w: %s: %w", ErrWrite, path, failure)
	}
	return nil
}

func writeProbe(disk Disk, path string) error {
	file, err := disk.Create(path)
	if err != nil {
		return Error.New("creating: %w", err)
	}
	if _, err := file.Write(make([]byte, probeSize)); err != nil {
		_ = file.Close()
		return Error.New("writing: %w", err)
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return Error.New("syncing: %w", err)
	}
	if err := file.Close(); err != nil {
		return Error.New("closing: %w", err)
	}
	return nil
}
