// Package sampler counts what callers ask of the keys of a backend server, and
// sums it up in a few ranges of about equal load.
//
// # Usage
//
//	sample := sampler.New()
//	sample.Arrived(4711)
//	sample.Finished(120 * time.Millisecond)
//	sample.Judged(false)
//	report := sample.Report(now, rows) // once a second
package sampler

import (
	"sync"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

const (
	// maxParts is the most ranges of a report, beside one for each owned range.
	// A part then has 2% of the load, which is less than a move is worth.
	maxParts = 48
	// minSpan is the least time between two reports.
	minSpan = 500 * time.Millisecond
)

// Sampler is safe for concurrent use.
type Sampler struct {
	mu       sync.Mutex
	arrivals [messenger.LastKey + 1]uint32
	total    uint64
	finished uint64
	busy     time.Duration
	judged   uint64
	failed   uint64
	since    timer.Instant
}

// New returns a Sampler.
func New() *Sampler {
	return &Sampler{since: timer.Now()}
}

// Arrived counts a request for a key.
func (s *Sampler) Arrived(key uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[key]++
	s.total++
}

// Finished counts a request that the server finished, and how long it took.
func (s *Sampler) Finished(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished++
	s.busy += took
}

// Judged counts a request whose end speaks for or against the server.
func (s *Sampler) Judged(failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.judged++
	if failed {
		s.failed++
	}
}

// Report sums up what came since the last report, nil when that was just now.
func (s *Sampler) Report(now timer.Instant, rows []messenger.RangeRow) *messenger.RangeReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	span := now.Steady(s.since)
	if span < minSpan || len(rows) == 0 {
		return nil
	}
	report := &messenger.RangeReport{Span: span, Finished: s.finished, Busy: s.busy, Judged: s.judged, Failed: s.failed}
	step := s.total/maxParts + 1
	for _, row := range rows {
		report.Loads = append(report.Loads, s.divide(row.From, row.To, step)...)
	}
	s.arrivals = [messenger.LastKey + 1]uint32{}
	s.total, s.finished, s.busy, s.since = 0, 0, 0, now
	s.judged, s.failed = 0, 0
	return report
}

// divide cuts a range so that its parts have about step arrivals each. A key that
// has so many alone gets a part of its own.
func (s *Sampler) divide(from, to uint32, step uint64) []messenger.RangeLoad {
	var loads []messenger.RangeLoad
	part := messenger.RangeLoad{From: from}
	for key := from; key <= to; key++ {
		count := uint64(s.arrivals[key])
		if count >= step && key > part.From {
			part.To = key - 1
			loads = append(loads, part)
			part = messenger.RangeLoad{From: key}
		}
		part.Arrivals += count
		if part.Arrivals >= step && key < to {
			part.To = key
			loads = append(loads, part)
			part = messenger.RangeLoad{From: key + 1}
		}
	}
	part.To = to
	return append(loads, part)
}
