package matrix

import (
	"maps"
	"sync"

	"github.com/zeebo/errs"

	"marigoldhill/control/journaler"
)

// Error is the class of all errors of this package.
var Error = errs.Class("matrix")

// errCrashed is returned to a process that uses the disk after its VM has crashed.
var errCrashed = errs.New("the VM has crashed")

// Disk is the disk of one VM, in memory. A crash loses unsynced data. Its methods are
// safe for concurrent use.
type Disk struct {
	mu sync.Mutex
	// entries are the directory entries that processes see, durableEntries those
	// that survive a crash.
	entries        map[string]*inode
	durableEntries map[string]*inode
	// generation counts crashes and wipes. Handles of an earlier generation fail.
	generation  int
	lockedPaths map[string]bool

	failSyncs bool
	freeBytes int
}

// inode is the content of one file.
type inode struct {
	data []byte
	// synced is how many bytes survive a crash.
	synced int
}

// unlimited is more bytes than a cell writes.
const unlimited = 1 << 30

// NewDisk returns an empty disk.
func NewDisk() *Disk {
	return &Disk{
		entries:        make(map[string]*inode),
		durableEntries: make(map[string]*inode),
		lockedPaths:    make(map[string]bool),
		freeBytes:      unlimited,
	}
}

// Crash loses unsynced data, except for the first keepUnsynced bytes of each file.
func (d *Disk) Crash(keepUnsynced int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	d.lockedPaths = make(map[string]bool)
	d.entries = maps.Clone(d.durableEntries)
	for _, i := range d.entries {
		kept := min(len(i.data), i.synced+keepUnsynced)
		i.data = i.data[:kept:kept]
		i.synced = kept
	}
}

// Wipe loses all data.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	d.lockedPaths = make(map[string]bool)
	d.entries = make(map[string]*inode)
	d.durableEntries = make(map[string]*inode)
}

// FailSyncs sets whether syncs fail.
func (d *Disk) FailSyncs(fail bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failSyncs = fail
}

// SetFreeBytes sets how many more bytes can be written.
func (d *Disk) SetFreeBytes(freeBytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.freeBytes = freeBytes
}

// View returns the disk for a process that starts now. All calls of the view fail
// after the next crash.
func (d *Disk) View() journaler.Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &diskView{disk: d, generation: d.generation}
}
