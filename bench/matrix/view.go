package matrix

import (
	"io"
	"maps"
	"path/filepath"
	"slices"
	"syscall"

	"marigoldhill/control/journaler"
)

// view is the disk as one process sees it, which ends in a crash of the VM.
type view struct {
	disk *Disk
	life int
}

var _ journaler.Disk = (*view)(nil)

// enter locks the disk, unless the VM has crashed since the process started.
func (v *view) enter() (*Disk, error) {
	v.disk.mu.Lock()
	if v.life != v.disk.life {
		v.disk.mu.Unlock()
		return nil, errCrashed
	}
	return v.disk, nil
}

// List implements journaler.Disk.
func (v *view) List(folder string) ([]string, error) {
	d, err := v.enter()
	if err != nil {
		return nil, err
	}
	defer d.mu.Unlock()
	var found []string
	for path := range d.names {
		if filepath.Dir(path) == folder {
			found = append(found, filepath.Base(path))
		}
	}
	slices.Sort(found)
	return found, nil
}

// Read implements journaler.Disk.
func (v *view) Read(path string) ([]byte, error) {
	d, err := v.enter()
	if err != nil {
		return nil, err
	}
	defer d.mu.Unlock()
	b, ok := d.names[path]
	if !ok {
		return nil, Error.New("reading %s: %w", path, syscall.ENOENT)
	}
	return slices.Clone(b.data), nil
}

// Create implements journaler.Disk.
func (v *view) Create(path string) (journaler.File, error) {
	d, err := v.enter()
	if err != nil {
		return nil, err
	}
	defer d.mu.Unlock()
	b := &blob{}
	d.names[path] = b
	return &file{disk: d, blob: b, life: v.life}, nil
}

// Append implements journaler.Disk.
func (v *view) Append(path string) (journaler.File, error) {
	d, err := v.enter()
	if err != nil {
		return nil, err
	}
	defer d.mu.Unlock()
	b, ok := d.names[path]
	if !ok {
		return nil, Error.New("opening %s: %w", path, syscall.ENOENT)
	}
	return &file{disk: d, blob: b, life: v.life}, nil
}

// Truncate implements journaler.Disk.
func (v *view) Truncate(path string, size int64) error {
	d, err := v.enter()
	if err != nil {
		return err
	}
	defer d.mu.Unlock()
	b, ok := d.names[path]
	if !ok {
		return Error.New("cutting %s: %w", path, syscall.ENOENT)
	}
	if d.failSyncs {
		return Error.New("cutting %s: %w", path, syscall.EIO)
	}
	b.data = slices.Clone(b.data[:size])
	b.synced = len(b.data)
	return nil
}

// Rename implements journaler.Disk.
func (v *view) Rename(from, to string) error {
	d, err := v.enter()
	if err != nil {
		return err
	}
	defer d.mu.Unlock()
	b, ok := d.names[from]
	if !ok {
		return Error.New("renaming %s: %w", from, syscall.ENOENT)
	}
	delete(d.names, from)
	d.names[to] = b
	return nil
}

// Remove implements journaler.Disk.
func (v *view) Remove(path string) error {
	d, err := v.enter()
	if err != nil {
		return err
	}
	defer d.mu.Unlock()
	delete(d.names, path)
	return nil
}

// SyncFolder implements journaler.Disk.
func (v *view) SyncFolder(folder string) error {
	d, err := v.enter()
	if err != nil {
		return err
	}
	defer d.mu.Unlock()
	if d.failSyncs {
		return Error.New("syncing %s: %w", folder, syscall.EIO)
	}
	inFolder := func(path string, _ *blob) bool { return filepath.Dir(path) == folder }
	maps.DeleteFunc(d.lasting, inFolder)
	for path, b := range d.names {
		if inFolder(path, b) {
			d.lasting[path] = b
		}
	}
	return nil
}

// Lock implements journaler.Disk.
func (v *view) Lock(path string) (io.Closer, error) {
	d, err := v.enter()
	if err != nil {
		return nil, err
	}
	defer d.mu.Unlock()
	if d.locked[path] {
		return nil, Error.New("locking %s: %w", path, syscall.EAGAIN)
	}
	d.locked[path] = true
	return &lock{disk: d, path: path, life: v.life}, nil
}

// lock is a lock on one path.
type lock struct {
	disk *Disk
	path string
	life int
}

// Close implements io.Closer.
func (l *lock) Close() error {
	l.disk.mu.Lock()
	defer l.disk.mu.Unlock()
	if l.life == l.disk.life {
		delete(l.disk.locked, l.path)
	}
	return nil
}

// file is a file open for writing.
type file struct {
	disk *Disk
	blob *blob
	life int
}

// Write implements io.Writer.
func (f *file) Write(data []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.life != f.disk.life {
		return 0, errCrashed
	}
	fits := min(len(data), f.disk.room)
	f.blob.data = append(f.blob.data, data[:fits]...)
	f.disk.room -= fits
	if fits < len(data) {
		return fits, Error.New("writing: %w", syscall.ENOSPC)
	}
	return fits, nil
}

// Sync implements journaler.File.
func (f *file) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.life != f.disk.life {
		return errCrashed
	}
	if f.disk.failSyncs {
		return Error.New("syncing: %w", syscall.EIO)
	}
	f.blob.synced = len(f.blob.data)
	return nil
}

// Close implements io.Closer.
func (f *file) Close() error { return nil }
