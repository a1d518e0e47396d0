package journaler

import (
	"io"
	"os"
	"syscall"
)

// Disk is the file system interface used by the journal. Tests replace it.
type Disk interface {
	// List returns the names of the files in a directory.
	List(directory string) ([]string, error)
	// Read returns the content of a file.
	Read(path string) ([]byte, error)
	// Create opens an empty file for writing at its end, replacing an existing one.
	Create(path string) (File, error)
	// Append opens a file for writing at its end.
	Append(path string) (File, error)
	// Truncate cuts a file to size bytes and syncs it.
	Truncate(path string, size int64) error
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes created, renamed and removed names durable.
	SyncDir(directory string) error
	// Lock locks a file, which it creates, until the returned Closer is
	// closed. It fails when another process holds the lock.
	Lock(path string) (io.Closer, error)
}

// File is a file that is open for writing.
type File interface {
	io.Writer
	// Sync returns once everything written so far is durable.
	Sync() error
	Close() error
}

// fileMode makes the files accessible only to the user of the process.
const fileMode = 0o600

// OSDisk is the file system of the operating system.
type OSDisk struct{}

var _ Disk = OSDisk{}

// List implements [Disk].
func (OSDisk) List(directory string) ([]string, error) {
	entries, err := os.ReadDir(directory)
	if err != nil {
		return nil, Error.New("listing: %w", err)
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

// Read implements [Disk].
func (OSDisk) Read(path string) ([]byte, error) {
	return os.ReadFile(path)
}

// Create implements [Disk].
func (OSDisk) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_APPEND|os.O_WRONLY, fileMode)
}

// Append implements [Disk].
func (OSDisk) Append(path string) (File, error) {
	return os.OpenFile(path, os.O_APPEND|os.O_WRONLY, fileMode)
}

// Truncate implements [Disk].
func (OSDisk) Truncate(path string, size int64) error {
	file, err := os.OpenFile(path, os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if err := file.Truncate(size); err != nil {
		return err
	}
	return file.Sync()
}

// Rename implements [Disk].
func (OSDisk) Rename(from, to string) error {
	return os.Rename(from, to)
}

// Remove implements [Disk].
func (OSDisk) Remove(path string) error {
	return os.Remove(path)
}

// SyncDir implements [Disk].
func (OSDisk) SyncDir(directory string) error {
	file, err := os.Open(directory)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return file.Sync()
}

// Lock implements [Disk].
func (OSDisk) Lock(path string) (io.Closer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, err
	}
	return file, nil
}
