package admitter

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecision is one arrival and one end of a request while others wait.
func BenchmarkDecision(b *testing.B) {
	for _, waiting := range []int{0, 100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			p := newPolicy(origin, 6, false)
			next := func(i int) Job {
				job := interactive(fmt.Sprint(i % 997))
				job.Queue = 20_000
				job.Timeout = time.Hour
				return job
			}
			var running []*ticket
			for i := range 6 + waiting {
				t, _, _ := p.arrive(origin, next(i))
				if !t.waiting {
					running = append(running, t)
				}
			}
			jobs := make([]Job, 997)
			for i := range jobs {
				jobs[i] = next(i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				if waiting == 0 {
					p.finish(origin, running[i%6], Sample{Time: time.Millisecond})
					running[i%6], _, _ = p.arrive(origin, jobs[i%997])
					continue
				}
				p.arrive(origin, jobs[i%997])
				running[i%6] = p.finish(origin, running[i%6], Sample{Time: time.Millisecond})[0].ticket
			}
		})
	}
}
