package recorder

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// BenchmarkEntries makes entries with answers of 200 bytes, as they come from
// another router, lets them expire, and reports bytes and times for each.
func BenchmarkEntries(b *testing.B) {
	for _, size := range []int{10_000, 50_000, 200_000} {
		b.Run(fmt.Sprintf("entries=%d", size), func(b *testing.B) {
			var bytes, stored, expired float64
			for range b.N {
				before := heap()
				begun := time.Now()
				book := fill(size)
				stored += float64(time.Since(begun))
				bytes += heap() - before
				begun = time.Now()
				for second := range 700 {
					book.expire(timer.Instant{}.Add(time.Hour + time.Duration(second)*time.Second))
				}
				expired += float64(time.Since(begun))
				if len(book.entries) != 0 {
					b.Fatal("entries are left")
				}
			}
			total := float64(b.N * size)
			b.ReportMetric(bytes/total, "bytes/entry")
			b.ReportMetric(stored/total, "ns-store/entry")
			b.ReportMetric(expired/total, "ns-expire/entry")
		})
	}
}

func fill(size int) *book {
	book := newBook()
	for i := range size {
		made := timer.Instant{}.Add(time.Hour + time.Duration(i%60)*time.Second)
		// Strings of their own, as a decoder makes them.
		book.store(entryOf(made, &messenger.RecordEntry{
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
	return book
}

func heap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
