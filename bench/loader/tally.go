package loader

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"marigoldhill/kernel/messenger"
)

// The range and precision of latencies in the histograms.
const (
	latencyMin    = int64(time.Microsecond)
	latencyMax    = int64(10 * time.Minute)
	latencyDigits = 3
)

// outcomeKey groups the counts.
type outcomeKey struct {
	kind    int
	outcome messenger.Outcome
	reason  messenger.Reason
}

// tally adds up results. It is used by one goroutine.
type tally struct {
	settings   Settings
	histograms []*hdrhistogram.Histogram
	counts     map[outcomeKey]int
	servers    map[string]int
	gaps       *gaps
	resent     int
	total      int
}

func newTally(settings Settings) *tally {
	made := &tally{
		settings: settings,
		counts:   make(map[outcomeKey]int),
		servers:  make(map[string]int),
		gaps:     newGaps(),
	}
	for range settings.Kinds {
		made.histograms = append(made.histograms, hdrhistogram.New(latencyMin, latencyMax, latencyDigits))
	}
	return made
}

func (t *tally) add(result result) {
	t.total++
	t.counts[outcomeKey{kind: result.kind, outcome: result.outcome, reason: result.reason}]++
	t.resent += max(result.attempts-1, 0)
	t.gaps.add(result)
	if result.outcome != messenger.OutcomeDone {
		return
	}
	t.servers[result.server]++
	// Latencies outside the range are counted at its edges.
	_ = t.histograms[result.kind].RecordValue(min(max(int64(result.latency), latencyMin), latencyMax))
}

// report makes the report of a run that took elapsed.
func (t *tally) report(elapsed time.Duration) Report {
	made := Report{
		Elapsed:     elapsed,
		Total:       t.total,
		Resent:      t.resent,
		Unavailable: t.gaps.report(),
		Imbalance:   imbalance(t.servers),
	}
	for i, kind := range t.settings.Kinds {
		made.Latencies = append(made.Latencies, latencyOf(kind, t.histograms[i]))
	}
	for key, count := range t.counts {
		made.Outcomes = append(made.Outcomes, OutcomeCount{
			Kind: t.settings.Kinds[key.kind].Name, Outcome: key.outcome, Reason: key.reason, Count: count,
		})
	}
	slices.SortFunc(made.Outcomes, compareOutcomes)
	for server, count := range t.servers {
		made.Servers = append(made.Servers, ServerCount{Server: server, Done: count})
	}
	slices.SortFunc(made.Servers, func(a, b ServerCount) int { return cmp.Compare(a.Server, b.Server) })
	return made
}

func compareOutcomes(a, b OutcomeCount) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
}

func latencyOf(kind Kind, histogram *hdrhistogram.Histogram) Latency {
	at := func(percentile float64) time.Duration {
		return time.Duration(histogram.ValueAtPercentile(percentile))
	}
	return Latency{
		Kind: kind.Name, Class: kind.Class, Count: int(histogram.TotalCount()),
		P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: time.Duration(histogram.Max()),
	}
}

// imbalance is the largest to the mean of the servers' finished requests.
func imbalance(servers map[string]int) float64 {
	most, sum := 0, 0
	for _, count := range servers {
		most = max(most, count)
		sum += count
	}
	if sum == 0 {
		return 0
	}
	return float64(most) * float64(len(servers)) / float64(sum)
}
