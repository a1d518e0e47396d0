package matrix

import (
	"maps"
	"sync"

	"github.com/zeebo/errs"

	"marigoldhill/control/journaler"
)

// Error is the class of all errors of this package.
var Error = errs.Class("matrix")

// errCrashed is what a process gets that still uses the disk of a crashed VM.
var errCrashed = errs.New("the VM has crashed")

// Disk is the disk of one VM, in memory. What was not synced is lost in a
// crash. Its methods are safe for concurrent use.
type Disk struct {
	mu sync.Mutex
	// names are the files as a process sees them, lasting those that a crash
	// leaves.
	names   map[string]*blob
	lasting map[string]*blob
	// life counts crashes; handles of an earlier life fail.
	life   int
	locked map[string]bool

	failSyncs bool
	room      int
}

// blob is the content of one file.
type blob struct {
	data   []byte
	synced int
}

// unlimited is more than a cell writes, in bytes.
const unlimited = 1 << 30

// NewDisk returns an empty disk.
func NewDisk() *Disk {
	return &Disk{
		names:   make(map[string]*blob),
		lasting: make(map[string]*blob),
		locked:  make(map[string]bool),
		room:    unlimited,
	}
}

// Crash loses what was not synced, but for the first torn bytes of each file's
// unsynced end.
func (d *Disk) Crash(torn int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.life++
	d.locked = make(map[string]bool)
	d.names = maps.Clone(d.lasting)
	for _, b := range d.names {
		kept := min(len(b.data), b.synced+torn)
		b.data = b.data[:kept:kept]
		b.synced = kept
	}
}

// Wipe loses everything.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.life++
	d.locked = make(map[string]bool)
	d.names = make(map[string]*blob)
	d.lasting = make(map[string]*blob)
}

// FailSyncs makes each sync fail from now on, or work again.
func (d *Disk) FailSyncs(fail bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failSyncs = fail
}

// Fill leaves room for so many more bytes.
func (d *Disk) Fill(room int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.room = room
}

// View returns the disk as a process that starts now sees it: once the VM has
// crashed, all its calls fail.
func (d *Disk) View() journaler.Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &view{disk: d, life: d.life}
}
