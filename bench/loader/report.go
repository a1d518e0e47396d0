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

// Latency has the latencies of the answered requests of one kind.
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

// OutcomeCount is how many requests of a kind had one outcome.
type OutcomeCount struct {
	Kind    string            `json:"kind"`
	Outcome messenger.Outcome `json:"outcome"`
	Reason  messenger.Reason  `json:"reason"`
	Count   int               `json:"count"`
}

// ServerCount is how many requests one server answered.
type ServerCount struct {
	Server string `json:"server"`
	Done   int    `json:"done"`
	// Busy is the time that the answered requests asked for.
	Busy time.Duration `json:"busy"`
}

// Report is what became of a run.
type Report struct {
	Elapsed time.Duration `json:"elapsed"`
	// Total is the number of arrivals; the outcomes add up to it.
	Total int `json:"total"`
	// Resent counts sends beyond the first of each arrival.
	Resent    int       `json:"resent"`
	Latencies []Latency `json:"latencies"`
	// Classes has the latencies of all kinds of a class together.
	Classes   []Latency      `json:"classes"`
	Outcomes  []OutcomeCount `json:"outcomes"`
	Servers   []ServerCount  `json:"servers"`
	Imbalance float64        `json:"imbalance"`
	// Churn is the changes of server for each key and hour.
	Churn       float64        `json:"churn"`
	Unavailable Unavailability `json:"unavailable"`
	// Checked says that the servers' runs were read; Repeated are the numbered
	// requests that ran more than once.
	Checked  bool                 `json:"checked"`
	Repeated []responder.RunCount `json:"repeated"`
}

// Ledger tells how often numbered requests ran on one server.
type Ledger interface {
	// Totals returns the counts of all numbered requests.
	Totals(all bool) responder.RunTotals
}

// readRuns asks all servers how often each numbered request ran.
func (r *Report) readRuns(ctx context.Context, settings Settings, client *http.Client) error {
	var all []responder.RunTotals
	for _, server := range settings.Servers {
		totals, err := readTotals(ctx, server, client)
		if err != nil {
			return err
		}
		all = append(all, totals)
	}
	r.addRuns(all)
	return nil
}

// CountRuns notes the numbered requests that ran more than once on all the
// servers together.
func (r *Report) CountRuns(ledgers []Ledger) {
	var all []responder.RunTotals
	for _, ledger := range ledgers {
		all = append(all, ledger.Totals(true))
	}
	r.addRuns(all)
}

// addRuns adds up the runs of all servers.
func (r *Report) addRuns(all []responder.RunTotals) {
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

func readTotals(ctx context.Context, server string, client *http.Client) (responder.RunTotals, error) {
	var totals responder.RunTotals
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, server+responder.PathRuns+"?all=1", nil)
	if err != nil {
		return totals, Error.New("asking %s for its runs: %w", server, err)
	}
	answer, err := client.Do(request)
	if err != nil {
		return totals, Error.New("asking %s for its runs: %w", server, err)
	}
	defer func() { _ = answer.Body.Close() }()
	if err := json.NewDecoder(answer.Body).Decode(&totals); err != nil {
		return totals, Error.New("reading the runs of %s: %w", server, err)
	}
	return totals, nil
}

// Count returns how many requests had an outcome, of all kinds and reasons.
func (r Report) Count(outcome messenger.Outcome) int {
	sum := 0
	for _, row := range r.Outcomes {
		if row.Outcome == outcome {
			sum += row.Count
		}
	}
	return sum
}

// Table returns the report for people.
func (r Report) Table() string {
	runs := "not checked"
	if r.Checked {
		runs = strconv.Itoa(len(r.Repeated))
	}
	return printer.Pairs(
		[2]string{"arrivals", fmt.Sprintf("%d in %s", r.Total, printer.Duration(r.Elapsed))},
		[2]string{"sent again", strconv.Itoa(r.Resent)},
		[2]string{"ran more than once", runs},
		[2]string{"imbalance", fmt.Sprintf("%.2f", r.Imbalance)},
		[2]string{"churn", fmt.Sprintf("%.3f for each key and hour", r.Churn)},
		[2]string{"unavailable", unavailableText(r.Unavailable)},
	) + "\n" + printer.Table(latencyColumns(), slices.Concat(r.Latencies, r.Classes)) +
		"\n" + printer.Table(outcomeColumns(), r.Outcomes) +
		"\n" + printer.Table(serverColumns(), r.Servers)
}

func unavailableText(found Unavailability) string {
	return fmt.Sprintf("%d keys, worst %s, p99 %s, total %s", found.Keys,
		printer.Duration(found.Worst), printer.Duration(found.P99), printer.Duration(found.Total))
}

func latencyColumns() []printer.Column[Latency] {
	text := func(length time.Duration) string { return length.Round(10 * time.Microsecond).String() }
	return []printer.Column[Latency]{
		{Title: "kind", Cell: func(r Latency) string { return r.Kind }},
		{Title: "class", Cell: func(r Latency) string { return string(r.Class) }},
		{Title: "done", Cell: func(r Latency) string { return strconv.Itoa(r.Count) }},
		{Title: "p50", Cell: func(r Latency) string { return text(r.P50) }},
		{Title: "p90", Cell: func(r Latency) string { return text(r.P90) }},
		{Title: "p99", Cell: func(r Latency) string { return text(r.P99) }},
		{Title: "p99.9", Cell: func(r Latency) string { return text(r.P999) }},
		{Title: "max", Cell: func(r Latency) string { return text(r.Max) }},
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
