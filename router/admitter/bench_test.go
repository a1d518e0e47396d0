package admitter

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecision measures one arrival and one completion while other requests wait.
func BenchmarkDecision(b *testing.B) {
	for _, waiting := range []int{0, 100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			p := newPolicy(epoch, 6, false)
			newJob := func(i int) Job {
				job := interactive(fmt.Sprint(i % 997))
				job.Queue = 20_000
				job.Timeout = time.Hour
				return job
			}
			var running []*entry
			for i := range 6 + waiting {
				e, _, _ := p.arrive(epoch, newJob(i))
				if !e.waiting {
					running = append(running, e)
				}
			}
			jobs := make([]Job, 997)
			for i := range jobs {
				jobs[i] = newJob(i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				if waiting == 0 {
					p.finish(epoch, running[i%6], Sample{Latency: time.Millisecond})
					running[i%6], _, _ = p.arrive(epoch, jobs[i%997])
					continue
				}
				p.arrive(epoch, jobs[i%997])
				running[i%6] = p.finish(epoch, running[i%6], Sample{Latency: time.Millisecond})[0].entry
			}
		})
	}
}
