package loader

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"marigoldhill/kernel/messenger"
)

// Range, in nanoseconds, and precision, in decimal digits, of the latency
// histograms.
const (
	minLatency      = int64(time.Microsecond)
	maxLatency      = int64(10 * time.Minute)
	precisionDigits = 3
)

// outcomeKey identifies an outcome count.
type outcomeKey struct {
	kind    int
	outcome messenger.Outcome
	reason  messenger.Reason
}

// aggregator aggregates results. It is not safe for concurrent use.
type aggregator struct {
	settings     Settings
	histograms   []*hdrhistogram.Histogram
	classes      map[messenger.Class]*hdrhistogram.Histogram
	counts       map[outcomeKey]int
	servers      map[string]serverWork
	availability *availability
	resent       int
	total        int
}

func newAggregator(settings Settings) *aggregator {
	created := &aggregator{
		settings:     settings,
		counts:       make(map[outcomeKey]int),
		classes:      make(map[messenger.Class]*hdrhistogram.Histogram),
		servers:      make(map[string]serverWork),
		availability: newAvailability(),
	}
	for _, kind := range settings.Kinds {
		created.histograms = append(created.histograms, newHistogram())
		if created.classes[kind.Class] == nil {
			created.classes[kind.Class] = newHistogram()
		}
	}
	return created
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency, maxLatency, precisionDigits)
}

func (ag *aggregator) add(result result) {
	ag.total++
	ag.counts[outcomeKey{kind: result.kind, outcome: result.outcome, reason: result.reason}]++
	ag.resent += max(result.attempts-1, 0)
	ag.availability.add(result)
	if result.outcome != messenger.OutcomeDone {
		return
	}
	kind := ag.settings.Kinds[result.kind]
	server := ag.servers[result.server]
	server.done++
	server.busy += kind.Work
	ag.servers[result.server] = server
	// Latencies are clamped to the range of the histogram.
	latency := min(max(int64(result.latency), minLatency), maxLatency)
	_ = ag.histograms[result.kind].RecordValue(latency)
	_ = ag.classes[kind.Class].RecordValue(latency)
}

// report returns the report of a run with the given duration.
func (ag *aggregator) report(elapsed time.Duration) Report {
	ag.availability.sort()
	summary := Report{
		Elapsed:     elapsed,
		Total:       ag.total,
		Resent:      ag.resent,
		Unavailable: ag.availability.report(),
		Churn:       ag.availability.churn(elapsed),
		Imbalance:   imbalance(ag.servers),
	}
	for i, kind := range ag.settings.Kinds {
		summary.Latencies = append(summary.Latencies, summarizeLatency(kind.Name, kind.Class, ag.histograms[i]))
	}
	for class, histogram := range ag.classes {
		summary.Classes = append(summary.Classes, summarizeLatency("all", class, histogram))
	}
	slices.SortFunc(summary.Classes, func(a, b Latency) int { return cmp.Compare(b.Class, a.Class) })
	for key, count := range ag.counts {
		summary.Outcomes = append(summary.Outcomes, OutcomeCount{
			Kind: ag.settings.Kinds[key.kind].Name, Outcome: key.outcome, Reason: key.reason, Count: count,
		})
	}
	slices.SortFunc(summary.Outcomes, compareOutcomes)
	for server, work := range ag.servers {
		summary.Servers = append(summary.Servers, ServerCount{Server: server, Done: work.done, Busy: work.busy})
	}
	slices.SortFunc(summary.Servers, func(a, b ServerCount) int { return cmp.Compare(a.Server, b.Server) })
	return summary
}

func compareOutcomes(a, b OutcomeCount) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
}

func summarizeLatency(kind string, class messenger.Class, histogram *hdrhistogram.Histogram) Latency {
	valueAt := func(percentile float64) time.Duration {
		return time.Duration(histogram.ValueAtPercentile(percentile))
	}
	return Latency{
		Kind: kind, Class: class, Count: int(histogram.TotalCount()),
		P50: valueAt(50), P90: valueAt(90), P99: valueAt(99), P999: valueAt(99.9), Max: time.Duration(histogram.Max()),
	}
}

// serverWork is the number of requests that one server completed, and the sum of
// their requested processing times.
type serverWork struct {
	done int
	busy time.Duration
}

// imbalance returns the ratio of the largest to the mean busy time of the servers.
func imbalance(servers map[string]serverWork) float64 {
	largest, sum := time.Duration(0), time.Duration(0)
	for _, work := range servers {
		largest = max(largest, work.busy)
		sum += work.busy
	}
	if sum == 0 {
		return 0
	}
	return float64(largest) * float64(len(servers)) / float64(sum)
}
