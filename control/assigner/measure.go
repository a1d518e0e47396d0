package assigner

import (
	"math"
	"time"
)

const (
	// minuteMillis and hourMillis are the lengths in milliseconds of the
	// buckets for owner changes and unavailable times.
	minuteMillis = 60_000
	hourMillis   = 60 * minuteMillis
	// churnMinutes is the window over which churn is computed, in minutes.
	churnMinutes = 60
	// gapBuckets and gapBase define the histogram of unavailable times: the
	// upper bound of bucket n is gapBase to the power of n, in milliseconds.
	gapBuckets = 96
	gapBase    = 1.2
)

// Measures holds the owner changes and unavailable times of one service.
type Measures struct {
	// Minute is the minute of the newest bucket of Changes.
	Minute  int64
	Changes [churnMinutes]uint32
	// Hour is the hour that Recent covers; Earlier covers the hour before.
	Hour    int64
	Recent  Gaps
	Earlier Gaps
}

// Gaps is a histogram of unavailable times of shards.
type Gaps struct {
	Buckets [gapBuckets]uint32
	Count   uint64
	// Worst and Total are in milliseconds.
	Worst int64
	Total int64
}

// advance moves the windows forward to a time.
func (m *Measures) advance(time int64) {
	minute := time / minuteMillis
	for passed := min(minute-m.Minute, churnMinutes); passed > 0; passed-- {
		m.Changes[(minute-passed+1)%churnMinutes] = 0
	}
	m.Minute = max(m.Minute, minute)
	hour := time / hourMillis
	if hour <= m.Hour {
		return
	}
	m.Earlier = Gaps{}
	if hour == m.Hour+1 {
		m.Earlier = m.Recent
	}
	m.Recent = Gaps{}
	m.Hour = hour
}

// addChange counts an owner change.
func (m *Measures) addChange(time int64) {
	m.advance(time)
	m.Changes[m.Minute%churnMinutes]++
}

// addGap adds a period during which no owner served a shard.
func (m *Measures) addGap(time, gap int64) {
	m.advance(time)
	gap = max(gap, 0)
	m.Recent.Buckets[gapBucket(gap)]++
	m.Recent.Count++
	m.Recent.Worst = max(m.Recent.Worst, gap)
	m.Recent.Total += gap
}

func gapBucket(gap int64) int {
	if gap <= 1 {
		return 0
	}
	bucket := int(math.Ceil(math.Log(float64(gap)) / math.Log(gapBase)))
	return min(bucket, gapBuckets-1)
}

// Unavailability is a summary of unavailable times.
type Unavailability struct {
	Worst time.Duration
	P99   time.Duration
	Total time.Duration
}

// Churn returns the number of owner changes per shard in the last hour.
func (t *Table) Churn(now int64) float64 {
	measures := t.measures
	measures.advance(now)
	total := 0.0
	for _, count := range measures.Changes {
		total += float64(count)
	}
	return total / float64(t.Service.Shards)
}

// Unavailability summarizes the unavailable times of the current and the previous
// hour.
func (t *Table) Unavailability(now int64) Unavailability {
	measures := t.measures
	measures.advance(now)
	recent, earlier := &measures.Recent, &measures.Earlier
	worst := max(recent.Worst, earlier.Worst)
	return Unavailability{
		Worst: milliseconds(worst),
		P99:   milliseconds(min(worst, p99(recent, earlier))),
		Total: milliseconds(recent.Total + earlier.Total),
	}
}

// p99 returns the upper bound of the bucket that contains the 99th percentile.
func p99(recent, earlier *Gaps) int64 {
	remaining := (recent.Count + earlier.Count) / 100
	for n := gapBuckets - 1; n > 0; n-- {
		count := uint64(recent.Buckets[n]) + uint64(earlier.Buckets[n])
		if count > remaining {
			return int64(math.Pow(gapBase, float64(n)))
		}
		remaining -= count
	}
	return 0
}

func milliseconds(count int64) time.Duration {
	return time.Duration(count) * time.Millisecond
}
