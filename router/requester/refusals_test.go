package requester

import (
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against remembered refusals that take as much memory as callers' identifiers, which
// are as long as a header may be.
func TestRefusalsOfLongIDsTakeLittleMemory(t *testing.T) {
	remembered, used := newRefusals(), new(conn)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range maxRefusals {
		id := strings.Repeat("i", 16<<10)
		remembered.add(time.Now(), refusal{hash: remembered.hash(id), conn: used})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	taken := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	qt.Check(t, taken < 4<<20, qt.IsTrue, qt.Commentf("%d bytes", taken))
	qt.Check(t, remembered.has(strings.Repeat("i", 16<<10), used), qt.IsTrue)
}
