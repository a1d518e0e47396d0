package recorder

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// BenchmarkEntries stores entries with responses of 200 bytes, as received from another
// router, expires them, and reports bytes and times per entry.
func BenchmarkEntries(b *testing.B) {
	for _, size := range []int{10_000, 50_000, 200_000} {
		b.Run(fmt.Sprintf("entries=%d", size), func(b *testing.B) {
			var bytes, stored, expired float64
			for range b.N {
				before := heapBytes()
				started := time.Now()
				records := newFilledSet(size)
				stored += float64(time.Since(started))
				bytes += heapBytes() - before
				started = time.Now()
				for second := range 700 {
					records.expire(timer.Instant{}.Add(time.Hour + time.Duration(second)*time.Second))
				}
				expired += float64(time.Since(started))
				if len(records.entries) != 0 {
					b.Fatal("entries remain after their retention")
				}
			}
			total := float64(b.N * size)
			b.ReportMetric(bytes/total, "bytes/entry")
			b.ReportMetric(stored/total, "ns-store/entry")
			b.ReportMetric(expired/total, "ns-expire/entry")
		})
	}
}

func newFilledSet(size int) *recordSet {
	recordSet := newRecordSet()
	for i := range size {
		createdAt := timer.Instant{}.Add(time.Hour + time.Duration(i%60)*time.Second)
		// Each entry has its own strings, as a decoder allocates them.
		recordSet.storeReplica(newEntry(createdAt, &messenger.RecordEntry{
			Service:     "findings",
			Key:         fmt.Sprintf("certificate-%08d", i),
			Idempotency: fmt.Sprintf("9d1c4f6e-8a41-4c0b-9c55-%012d", i),
			Print:       fmt.Sprintf("%016x", i),
			State:       messenger.RecordDone,
			Status:      201,
			Body:        make([]byte, 200),
			Retention:   10 * time.Minute,
		}))
	}
	return recordSet
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
