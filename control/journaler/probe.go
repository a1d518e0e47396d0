package journaler

import (
	"errors"
	"io/fs"
	"path/filepath"
)

const (
	probeName = "probe"
	// probeBytes is the block size of common file systems: a disk without space
	// for one more block has none for a record.
	probeBytes = 4096
)

// Probe checks whether the disk of a data directory accepts writes, and returns an
// error that wraps ErrWriteFailed if not. It returns nil for a directory that
// cannot be listed, since Open reports that.
func Probe(disk Disk, directory string) error {
	if _, err := disk.List(directory); err != nil {
		return nil
	}
	path := filepath.Join(directory, probeName)
	probeErr := writeProbe(disk, path)
	if err := disk.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) && probeErr == nil {
		probeErr = err
	}
	if probeErr != nil {
		return Error.New("%w: %s: %w", ErrWriteFailed, path, probeErr)
	}
	return nil
}

func writeProbe(disk Disk, path string) error {
	file, err := disk.Create(path)
	if err != nil {
		return Error.New("creating: %w", err)
	}
	if _, err := file.Write(make([]byte, probeBytes)); err != nil {
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
