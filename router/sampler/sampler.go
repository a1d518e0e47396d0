// Package sampler counts the requests for the keys of a backend server and aggregates
// them into a few key ranges of about equal load. It is used in routed mode; in
// sharded mode package aggregator aggregates by shard.
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
	// maxParts bounds the number of ranges in a report, in addition to one for each
	// owned range. At this number a part has about 2% of the load, too little for a
	// move to pay off.
	maxParts = 48
	// minReportInterval is the minimum time between two reports.
	minReportInterval = 500 * time.Millisecond
)

// Sampler counts requests since the last report. It is safe for concurrent use.
type Sampler struct {
	mu       sync.Mutex
	arrivals [messenger.LastKey + 1]uint32
	total    uint64
	finished uint64
	busy     time.Duration
	judged   uint64
	failed   uint64
	started  timer.Instant
}

func New() *Sampler {
	return &Sampler{started: timer.Now()}
}

// Arrived counts a request for a key.
func (s *Sampler) Arrived(key uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[key]++
	s.total++
}

// Finished counts a request that the server has finished, and its service time.
func (s *Sampler) Finished(serviceTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished++
	s.busy += serviceTime
}

// Judged counts a request whose outcome is evidence of the health of the server.
func (s *Sampler) Judged(failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.judged++
	if failed {
		s.failed++
	}
}

// Report returns the counts since the last report and resets them. It returns nil if
// the last report was less than minReportInterval ago or rows is empty.
func (s *Sampler) Report(now timer.Instant, rows []messenger.RangeRow) *messenger.RangeLoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	elapsed := now.SinceMonotonic(s.started)
	if elapsed < minReportInterval || len(rows) == 0 {
		return nil
	}
	report := &messenger.RangeLoadReport{Span: elapsed, Finished: s.finished, Busy: s.busy, Judged: s.judged, Failed: s.failed}
	arrivalsPerPart := s.total/maxParts + 1
	for _, row := range rows {
		report.Loads = append(report.Loads, s.split(row.From, row.To, arrivalsPerPart)...)
	}
	s.arrivals = [messenger.LastKey + 1]uint32{}
	s.total, s.finished, s.busy, s.started = 0, 0, 0, now
	s.judged, s.failed = 0, 0
	return report
}

// split divides a range into parts of about arrivalsPerPart arrivals each. A key that
// reaches this number on its own becomes a separate part.
func (s *Sampler) split(from, to uint32, arrivalsPerPart uint64) []messenger.RangeLoad {
	var loads []messenger.RangeLoad
	part := messenger.RangeLoad{From: from}
	for key := from; key <= to; key++ {
		count := uint64(s.arrivals[key])
		if count >= arrivalsPerPart && key > part.From {
			part.To = key - 1
			loads = append(loads, part)
			part = messenger.RangeLoad{From: key}
		}
		part.Arrivals += count
		if part.Arrivals >= arrivalsPerPart && key < to {
			part.To = key
			loads = append(loads, part)
			part = messenger.RangeLoad{From: key + 1}
		}
	}
	part.To = to
	return append(loads, part)
}
