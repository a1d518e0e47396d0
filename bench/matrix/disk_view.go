package matrix

import (
	"io"
	"maps"
	"path/filepath"
	"slices"
	"syscall"

	"marigoldhill/control/journaler"
)

// diskView is the disk as seen by a process. It is invalid after a crash of the VM.
type diskView struct {
	disk       *Disk
	generation int
}

var _ journaler.Disk = (*diskView)(nil)

// lockDisk locks the mutex of the disk, unless the VM has crashed since the view was
// made.
func (v *diskView) lockDisk() (*Disk, error) {
	v.disk.mu.Lock()
	if v.generation != v.disk.generation {
		v.disk.mu.Unlock()
		return nil, errCrashed
	}
	return v.disk, nil
}

// List implements [journaler.Disk].
func (v *diskView) List(directory string) ([]string, error) {
	d, err := v.lockDisk()
	if err != nil {
		return nil, err
	}
	defer d.mu.Unlock()
	var found []string
	for path := range d.entries {
		if filepath.Dir(path) == directory {
			found = append(found, filepath.Base(path))
		}
	}
	slices.Sort(found)
	return found, nil
}

// Read implements [journaler.Disk].
func (v *diskView) Read(path string) ([]byte, error) {
	d, err := v.lockDisk()
	if err != nil {
		return nil, err
	}
	defer d.mu.Unlock()
	i, ok := d.entries[path]
	if !ok {
		return nil, Error.New("reading %s: %w", path, syscall.ENOENT)
	}
	return slices.Clone(i.data), nil
}

// Create implements [journaler.Disk].
func (v *diskView) Create(path string) (journaler.File, error) {
	d, err := v.lockDisk()
	if err != nil {
		return nil, err
	}
	defer d.mu.Unlock()
	i := &inode{}
	d.entries[path] = i
	return &openFile{disk: d, inode: i, generation: v.generation}, nil
}

// Append implements [journaler.Disk].
func (v *diskView) Append(path string) (journaler.File, error) {
	d, err := v.lockDisk()
	if err != nil {
		return nil, err
	}
	defer d.mu.Unlock()
	i, ok := d.entries[path]
	if !ok {
		return nil, Error.New("opening %s: %w", path, syscall.ENOENT)
	}
	return &openFile{disk: d, inode: i, generation: v.generation}, nil
}

// Truncate implements [journaler.Disk].
func (v *diskView) Truncate(path string, size int64) error {
	d, err := v.lockDisk()
	if err != nil {
		return err
	}
	defer d.mu.Unlock()
	i, ok := d.entries[path]
	if !ok {
		return Error.New("truncating %s: %w", path, syscall.ENOENT)
	}
	if d.failSyncs {
		return Error.New("truncating %s: %w", path, syscall.EIO)
	}
	i.data = slices.Clone(i.data[:size])
	i.synced = len(i.data)
	return nil
}

// Rename implements [journaler.Disk].
func (v *diskView) Rename(from, to string) error {
	d, err := v.lockDisk()
	if err != nil {
		return err
	}
	defer d.mu.Unlock()
	i, ok := d.entries[from]
	if !ok {
		return Error.New("renaming %s: %w", from, syscall.ENOENT)
	}
	delete(d.entries, from)
	d.entries[to] = i
	return nil
}

// Remove implements [journaler.Disk].
func (v *diskView) Remove(path string) error {
	d, err := v.lockDisk()
	if err != nil {
		return err
	}
	defer d.mu.Unlock()
	delete(d.entries, path)
	return nil
}

// SyncDir implements [journaler.Disk].
func (v *diskView) SyncDir(directory string) error {
	d, err := v.lockDisk()
	if err != nil {
		return err
	}
	defer d.mu.Unlock()
	if d.failSyncs {
		return Error.New("syncing %s: %w", directory, syscall.EIO)
	}
	inDirectory := func(path string, _ *inode) bool { return filepath.Dir(path) == directory }
	maps.DeleteFunc(d.durableEntries, inDirectory)
	for path, i := range d.entries {
		if inDirectory(path, i) {
			d.durableEntries[path] = i
		}
	}
	return nil
}

// Lock implements [journaler.Disk].
func (v *diskView) Lock(path string) (io.Closer, error) {
	d, err := v.lockDisk()
	if err != nil {
		return nil, err
	}
	defer d.mu.Unlock()
	if d.lockedPaths[path] {
		return nil, Error.New("locking %s: %w", path, syscall.EAGAIN)
	}
	d.lockedPaths[path] = true
	return &pathLock{disk: d, path: path, generation: v.generation}, nil
}

// pathLock is a lock on one path.
type pathLock struct {
	disk       *Disk
	path       string
	generation int
}

// Close implements [io.Closer].
func (l *pathLock) Close() error {
	l.disk.mu.Lock()
	defer l.disk.mu.Unlock()
	if l.generation == l.disk.generation {
		delete(l.disk.lockedPaths, l.path)
	}
	return nil
}

// openFile is a file that is open for writing.
type openFile struct {
	disk       *Disk
	inode      *inode
	generation int
}

// Write implements [io.Writer].
func (f *openFile) Write(data []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.generation != f.disk.generation {
		return 0, errCrashed
	}
	written := min(len(data), f.disk.freeBytes)
	f.inode.data = append(f.inode.data, data[:written]...)
	f.disk.freeBytes -= written
	if written < len(data) {
		return written, Error.New("writing: %w", syscall.ENOSPC)
	}
	return written, nil
}

// Sync implements [journaler.File].
func (f *openFile) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.generation != f.disk.generation {
		return errCrashed
	}
	if f.disk.failSyncs {
		return Error.New("syncing: %w", syscall.EIO)
	}
	f.inode.synced = len(f.inode.data)
	return nil
}

// Close implements [io.Closer].
func (f *openFile) Close() error { return nil }
