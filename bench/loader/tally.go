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
	classes    map[messenger.Class]*hdrhistogram.Histogram
	counts     map[outcomeKey]int
	servers    map[string]serverWork
	gaps       *gaps
	resent     int
	total      int
}

func newTally(settings Settings) *tally {
	made := &tally{
		settings: settings,
		counts:   make(map[outcomeKey]int),
		classes:  make(map[messenger.Class]*hdrhistogram.Histogram),
		servers:  make(map[string]serverWork),
		gaps:     newGaps(),
	}
	for _, kind := range settings.Kinds {
		made.histograms = append(made.histograms, newHistogram())
		if made.classes[kind.Class] == nil {
			made.classes[kind.Class] = newHistogram()
		}
	}
	return made
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(latencyMin, latencyMax, latencyDigits)
}

func (t *tally) add(result result) {
	t.total++
	t.counts[outcomeKey{kind: result.kind, outcome: result.outcome, reason: result.reason}]++
	t.resent += max(result.attempts-1, 0)
	t.gaps.add(result)
	if result.outcome != messenger.OutcomeDone {
		return
	}
	kind := t.settings.Kinds[result.kind]
	server := t.servers[result.server]
	server.done++
	server.busy += kind.Work
	t.servers[result.server] = server
	// Latencies outside the range are counted at its edges.
	latency := min(max(int64(result.latency), latencyMin), latencyMax)
	_ = t.histograms[result.kind].RecordValue(latency)
	_ = t.classes[kind.Class].RecordValue(latency)
}

// report makes the report of a run that took elapsed.
func (t *tally) report(elapsed time.Duration) Report {
	t.gaps.sort()
	made := Report{
		Elapsed:     elapsed,
		Total:       t.total,
		Resent:      t.resent,
		Unavailable: t.gaps.report(),
		Churn:       t.gaps.churn(elapsed),
		Imbalance:   imbalance(t.servers),
	}
	for i, kind := range t.settings.Kinds {
		made.Latencies = append(made.Latencies, latencyOf(kind.Name, kind.Class, t.histograms[i]))
	}
	for class, histogram := range t.classes {
		made.Classes = append(made.Classes, latencyOf("all", class, histogram))
	}
	slices.SortFunc(made.Classes, func(a, b Latency) int { return cmp.Compare(b.Class, a.Class) })
	for key, count := range t.counts {
		made.Outcomes = append(made.Outcomes, OutcomeCount{
			Kind: t.settings.Kinds[key.kind].Name, Outcome: key.outcome, Reason: key.reason, Count: count,
		})
	}
	slices.SortFunc(made.Outcomes, compareOutcomes)
	for server, work := range t.servers {
		made.Servers = append(made.Servers, ServerCount{Server: server, Done: work.done, Busy: work.busy})
	}
	slices.SortFunc(made.Servers, func(a, b ServerCount) int { return cmp.Compare(a.Server, b.Server) })
	return made
}

func compareOutcomes(a, b OutcomeCount) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
}

func latencyOf(kind string, class messenger.Class, histogram *hdrhistogram.Histogram) Latency {
	at := func(percentile float64) time.Duration {
		return time.Duration(histogram.ValueAtPercentile(percentile))
	}
	return Latency{
		Kind: kind, Class: class, Count: int(histogram.TotalCount()),
		P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: time.Duration(histogram.Max()),
	}
}

// serverWork is what one server did: requests, and the time that they asked for.
type serverWork struct {
	done int
	busy time.Duration
}

// imbalance is the largest to the mean of the servers' work.
func imbalance(servers map[string]serverWork) float64 {
	most, sum := time.Duration(0), time.Duration(0)
	for _, work := range servers {
		most = max(most, work.busy)
		sum += work.busy
	}
	if sum == 0 {
		return 0
	}
	return float64(most) * float64(len(servers)) / float64(sum)
}
