package loader

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"marigoldhill/bench/responder"
	"marigoldhill/kernel/messenger"
	"marigoldhill/operator/printer"
)

// Latency has the latency percentiles of the requests of one kind, or of all kinds
// of one class, whose outcome is done.
type Latency struct {
	Kind  string          `json:"kind"`
	Class messenger.Class `json:"class"`
	Count int             `json:"count"`
	P50   time.Duration   `json:"p50"`
	P90   time.Duration   `json:"p90"`
	P99   time.Duration   `json:"p99"`
	P999  time.Duration   `json:"p999"`
	Max   time.Duration   `json:"max"`
}

// OutcomeCount is the number of requests of a kind with one outcome and reason.
type OutcomeCount struct {
	Kind    string            `json:"kind"`
	Outcome messenger.Outcome `json:"outcome"`
	Reason  messenger.Reason  `json:"reason"`
	Count   int               `json:"count"`
}

// ServerCount is the number of requests that one server completed.
type ServerCount struct {
	Server string `json:"server"`
	Done   int    `json:"done"`
	// Busy is the sum of the requested processing times of these requests.
	Busy time.Duration `json:"busy"`
}

// Report is the result of a run.
type Report struct {
	Elapsed time.Duration `json:"elapsed"`
	// Total is the number of arrivals. The counts of Outcomes add up to it.
	Total int `json:"total"`
	// Resent is the number of sends beyond the first of each arrival.
	Resent    int       `json:"resent"`
	Latencies []Latency `json:"latencies"`
	// Classes has the latencies by class, of all its kinds together.
	Classes  []Latency      `json:"classes"`
	Outcomes []OutcomeCount `json:"outcomes"`
	Servers  []ServerCount  `json:"servers"`
	// Imbalance is the ratio of the largest to the mean Busy of the servers.
	Imbalance float64 `json:"imbalance"`
	// Churn is the number of server changes per key and hour.
	Churn       float64        `json:"churn"`
	Unavailable Unavailability `json:"unavailable"`
	// Checked reports whether the run counts of the servers were read. Repeated
	// has the requests with an Idempotency-Key that ran more than once.
	Checked  bool                 `json:"checked"`
	Repeated []responder.RunCount `json:"repeated"`
}

// RunCounter counts how often each request with an Idempotency-Key ran on one server.
type RunCounter interface {
	// Totals returns the counts. Its Runs has all requests with an Idempotency-Key if
	// all is set, otherwise only those that ran more than once.
	Totals(all bool) responder.RunTotals
}

// fetchRuns requests the run counts from all servers and sets Checked and Repeated.
func (r *Report) fetchRuns(ctx context.Context, settings Settings, client *http.Client) error {
	var all []responder.RunTotals
	for _, server := range settings.Servers {
		totals, err := fetchTotals(ctx, server, client)
		if err != nil {
			return err
		}
		all = append(all, totals)
	}
	r.findRepeated(all)
	return nil
}

// CountRuns sets Checked and Repeated from the run counters of all servers. The runs of
// a request on several servers are added up.
func (r *Report) CountRuns(counters []RunCounter) {
	var all []responder.RunTotals
	for _, counter := range counters {
		all = append(all, counter.Totals(true))
	}
	r.findRepeated(all)
}

// findRepeated adds up the runs of each request and records those with more than
// one.
func (r *Report) findRepeated(all []responder.RunTotals) {
	runs := make(map[responder.RunKey]int)
	for _, totals := range all {
		for _, run := range totals.Runs {
			runs[run.RunKey] += run.Runs
		}
	}
	for run, count := range runs {
		if count > 1 {
			r.Repeated = append(r.Repeated, responder.RunCount{RunKey: run, Runs: count})
		}
	}
	r.Checked = len(all) > 0
}

func fetchTotals(ctx context.Context, server string, client *http.Client) (responder.RunTotals, error) {
	var totals responder.RunTotals
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, server+responder.PathRuns+"?all=1", nil)
	if err != nil {
		return totals, Error.New("requesting the run counts of %s: %w", server, err)
	}
	response, err := client.Do(request)
	if err != nil {
		return totals, Error.New("requesting the run counts of %s: %w", server, err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&totals); err != nil {
		return totals, Error.New("decoding the run counts of %s: %w", server, err)
	}
	return totals, nil
}

// Count returns the number of requests with an outcome, of all kinds and reasons.
func (r Report) Count(outcome messenger.Outcome) int {
	sum := 0
	for _, row := range r.Outcomes {
		if row.Outcome == outcome {
			sum += row.Count
		}
	}
	return sum
}

// Table returns the report as text tables.
func (r Report) Table() string {
	runs := "not checked"
	if r.Checked {
		runs = strconv.Itoa(len(r.Repeated))
	}
	return printer.FormatPairs(
		[2]string{"arrivals", fmt.Sprintf("%d in %s", r.Total, printer.Duration(r.Elapsed))},
		[2]string{"sent again", strconv.Itoa(r.Resent)},
		[2]string{"ran more than once", runs},
		[2]string{"imbalance", fmt.Sprintf("%.2f", r.Imbalance)},
		[2]string{"churn", fmt.Sprintf("%.3f for each key and hour", r.Churn)},
		[2]string{"unavailable", formatUnavailability(r.Unavailable)},
	) + "\n" + printer.Table(latencyColumns(), slices.Concat(r.Latencies, r.Classes)) +
		"\n" + printer.Table(outcomeColumns(), r.Outcomes) +
		"\n" + printer.Table(serverColumns(), r.Servers)
}

func formatUnavailability(unavailability Unavailability) string {
	return fmt.Sprintf("%d keys, worst %s, p99 %s, total %s", unavailability.Keys,
		printer.Duration(unavailability.Worst), printer.Duration(unavailability.P99), printer.Duration(unavailability.Total))
}

func latencyColumns() []printer.Column[Latency] {
	format := func(duration time.Duration) string { return duration.Round(10 * time.Microsecond).String() }
	return []printer.Column[Latency]{
		{Title: "kind", Cell: func(r Latency) string { return r.Kind }},
		{Title: "class", Cell: func(r Latency) string { return string(r.Class) }},
		{Title: "done", Cell: func(r Latency) string { return strconv.Itoa(r.Count) }},
		{Title: "p50", Cell: func(r Latency) string { return format(r.P50) }},
		{Title: "p90", Cell: func(r Latency) string { return format(r.P90) }},
		{Title: "p99", Cell: func(r Latency) string { return format(r.P99) }},
		{Title: "p99.9", Cell: func(r Latency) string { return format(r.P999) }},
		{Title: "max", Cell: func(r Latency) string { return format(r.Max) }},
	}
}

func outcomeColumns() []printer.Column[OutcomeCount] {
	return []printer.Column[OutcomeCount]{
		{Title: "kind", Cell: func(r OutcomeCount) string { return r.Kind }},
		{Title: "outcome", Cell: func(r OutcomeCount) string { return string(r.Outcome) }},
		{Title: "reason", Cell: func(r OutcomeCount) string { return string(r.Reason) }},
		{Title: "count", Cell: func(r OutcomeCount) string { return strconv.Itoa(r.Count) }},
	}
}

func serverColumns() []printer.Column[ServerCount] {
	return []printer.Column[ServerCount]{
		{Title: "server", Cell: func(r ServerCount) string { return r.Server }},
		{Title: "done", Cell: func(r ServerCount) string { return strconv.Itoa(r.Done) }},
	}
}
