package journaler

import (
	"io"
	"os"
	"syscall"
)

// Disk is the file system interface used by the journal. Tests replace it.
type Disk interface {
	// List returns the names of the files in a folder.
	List(folder string) ([]string, error)
	// Read returns the content of a file.
	Read(path string) ([]byte, error)
	// Create opens a new, empty file for writing, in place of an older one.
	Create(path string) (File, error)
	// Append opens a file for writing at its end.
	Append(path string) (File, error)
	// Truncate cuts a file to size bytes and syncs it.
	Truncate(path string, size int64) error
	Rename(from, to string) error
	Remove(path string) error
	// SyncFolder makes created, renamed and removed names durable.
	SyncFolder(folder string) error
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

// OS is the file system of the operating system.
type OS struct{}

var _ Disk = OS{}

// List implements [Disk].
func (OS) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
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
func (OS) Read(path string) ([]byte, error) {
	return os.ReadFile(path)
}

// Create implements [Disk].
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Append implements [Disk].
func (OS) Append(path string) (File, error) {
	return os.OpenFile(path, os.O_APPEND|os.O_WRONLY, fileMode)
}

// Truncate implements [Disk].
func (OS) Truncate(path string, size int64) error {
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
func (OS) Rename(from, to string) error {
	return os.Rename(from, to)
}

// Remove implements [Disk].
func (OS) Remove(path string) error {
	return os.Remove(path)
}

// SyncFolder implements [Disk].
func (OS) SyncFolder(folder string) error {
	file, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return file.Sync()
}

// Lock implements [Disk].
func (OS) Lock(path string) (io.Closer, error) {
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
