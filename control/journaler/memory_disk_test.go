package journaler_test

import (
	"errors"
	"io"
	"maps"
	"path/filepath"

	"marigoldhill/control/journaler"
)

var (
	errFull    = errors.New("no space left on device")
	errMissing = errors.New("no such file")
	errLocked  = errors.New("locked")
)

// memoryFile is a file whose first synced bytes are durable.
type memoryFile struct {
	disk   *memoryDisk
	data   []byte
	synced int
}

// memoryDisk is a disk in memory that keeps only synced data when it crashes.
// Starting with the operation number failFrom all changes fail with failure; 0 disables
// failures.
type memoryDisk struct {
	// names are the current directory entries, durable those that survive a
	// crash.
	names      map[string]*memoryFile
	durable    map[string]*memoryFile
	locked     bool
	operations int
	failFrom   int
	failure    error
}

var _ journaler.Disk = (*memoryDisk)(nil)

func newMemoryDisk() *memoryDisk {
	return &memoryDisk{names: make(map[string]*memoryFile), durable: make(map[string]*memoryFile), failure: errFull}
}

// crash discards unsynced data, except for the first torn bytes of it in each
// file.
func (d *memoryDisk) crash(torn int) {
	d.names = make(map[string]*memoryFile)
	for name, file := range d.durable {
		kept := min(len(file.data), file.synced+torn)
		d.names[name] = &memoryFile{disk: d, data: file.data[:kept:kept], synced: kept}
	}
	d.durable = maps.Clone(d.names)
	d.locked = false
	d.failFrom = 0
}

// countOperation counts an operation and returns an error if it must fail.
func (d *memoryDisk) countOperation() error {
	d.operations++
	if d.failFrom > 0 && d.operations >= d.failFrom {
		return d.failure
	}
	return nil
}

func (d *memoryDisk) List(string) ([]string, error) {
	var names []string
	for path := range d.names {
		names = append(names, filepath.Base(path))
	}
	return names, nil
}

func (d *memoryDisk) Read(path string) ([]byte, error) {
	file, ok := d.names[path]
	if !ok {
		return nil, errMissing
	}
	return file.data, nil
}

func (d *memoryDisk) Create(path string) (journaler.File, error) {
	if err := d.countOperation(); err != nil {
		return nil, err
	}
	d.names[path] = &memoryFile{disk: d}
	return d.names[path], nil
}

func (d *memoryDisk) Append(path string) (journaler.File, error) {
	return d.names[path], d.countOperation()
}

func (d *memoryDisk) Truncate(path string, size int64) error {
	if err := d.countOperation(); err != nil {
		return err
	}
	file := d.names[path]
	file.data = file.data[:size]
	file.synced = int(size)
	return nil
}

func (d *memoryDisk) Rename(from, to string) error {
	if err := d.countOperation(); err != nil {
		return err
	}
	d.names[to] = d.names[from]
	delete(d.names, from)
	return nil
}

func (d *memoryDisk) Remove(path string) error {
	if err := d.countOperation(); err != nil {
		return err
	}
	delete(d.names, path)
	return nil
}

func (d *memoryDisk) SyncDir(string) error {
	if err := d.countOperation(); err != nil {
		return err
	}
	d.durable = maps.Clone(d.names)
	return nil
}

// Lock implements journaler.Disk. The lock does not appear as a file in List.
func (d *memoryDisk) Lock(string) (io.Closer, error) {
	if d.locked {
		return nil, errLocked
	}
	d.locked = true
	return d, nil
}

// Close unlocks the disk.
func (d *memoryDisk) Close() error {
	d.locked = false
	return nil
}

// Write implements io.Writer. A failing write writes the first half of the
// data.
func (f *memoryFile) Write(data []byte) (int, error) {
	if err := f.disk.countOperation(); err != nil {
		f.data = append(f.data, data[:len(data)/2]...)
		return len(data) / 2, err
	}
	f.data = append(f.data, data...)
	return len(data), nil
}

func (f *memoryFile) Sync() error {
	if err := f.disk.countOperation(); err != nil {
		return err
	}
	f.synced = len(f.data)
	return nil
}

func (f *memoryFile) Close() error { return nil }
