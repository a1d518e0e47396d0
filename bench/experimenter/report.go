package experimenter

import (
	"fmt"
	"strconv"
	"time"

	"marigoldhill/bench/loader"
	"marigoldhill/kernel/messenger"
	"marigoldhill/operator/printer"
)

// Table returns the results as two text tables: the measures of each run, and all
// outcome counts.
func Table(rows []Row) string {
	return printer.Table(columns(), rows) + "\n" + printer.Table(outcomeColumns(), outcomes(rows))
}

func columns() []printer.Column[Row] {
	format := func(duration time.Duration) string { return duration.Round(100 * time.Microsecond).String() }
	count := func(outcome messenger.Outcome) func(Row) string {
		return func(r Row) string { return strconv.Itoa(r.Report.Count(outcome)) }
	}
	return []printer.Column[Row]{
		{Title: "scenario", Cell: func(r Row) string { return r.Scenario }},
		{Title: "variant", Cell: func(r Row) string { return string(r.Variant) }},
		{Title: "service", Cell: func(r Row) string { return r.Service }},
		{Title: "p99 alone", Cell: func(r Row) string { return format(r.InteractiveOnly.P99) }},
		{Title: "p99 beside", Cell: func(r Row) string { return format(r.Mixed.P99) }},
		{Title: "ratio", Cell: func(r Row) string { return fmt.Sprintf("%.2f", r.Ratio()) }},
		{Title: "imbalance", Cell: func(r Row) string { return fmt.Sprintf("%.2f", r.Report.Imbalance) }},
		{Title: "churn/h", Cell: func(r Row) string { return fmt.Sprintf("%.1f", r.Report.Churn) }},
		{Title: "unavailable worst", Cell: func(r Row) string { return format(r.Report.Unavailable.Worst) }},
		{Title: "total", Cell: func(r Row) string { return format(r.Report.Unavailable.Total) }},
		{Title: "done", Cell: count(messenger.OutcomeDone)},
		{Title: "refused", Cell: count(messenger.OutcomeRefused)},
		{Title: "unknown", Cell: count(messenger.OutcomeUnknown)},
		{Title: "lost", Cell: count(loader.OutcomeLost)},
		{Title: "foreign", Cell: count(loader.OutcomeForeign)},
		{Title: "unsent", Cell: count(loader.OutcomeUnsent)},
		{Title: "ran twice", Cell: func(r Row) string { return strconv.Itoa(len(r.Report.Repeated)) }},
		{Title: "own shard", Cell: func(r Row) string { return formatPromoted(r.Promoted) }},
	}
}

func formatPromoted(duration time.Duration) string {
	if duration == 0 {
		return ""
	}
	return duration.Round(100 * time.Millisecond).String()
}

// outcomeRow is an outcome count of a run.
type outcomeRow struct {
	run   Row
	count loader.OutcomeCount
}

func outcomes(rows []Row) []outcomeRow {
	var all []outcomeRow
	for _, row := range rows {
		for _, count := range row.Report.Outcomes {
			all = append(all, outcomeRow{run: row, count: count})
		}
	}
	return all
}

func outcomeColumns() []printer.Column[outcomeRow] {
	return []printer.Column[outcomeRow]{
		{Title: "scenario", Cell: func(r outcomeRow) string { return r.run.Scenario }},
		{Title: "variant", Cell: func(r outcomeRow) string { return string(r.run.Variant) }},
		{Title: "service", Cell: func(r outcomeRow) string { return r.run.Service }},
		{Title: "kind", Cell: func(r outcomeRow) string { return r.count.Kind }},
		{Title: "outcome", Cell: func(r outcomeRow) string { return string(r.count.Outcome) }},
		{Title: "reason", Cell: func(r outcomeRow) string { return string(r.count.Reason) }},
		{Title: "count", Cell: func(r outcomeRow) string { return strconv.Itoa(r.count.Count) }},
	}
}
