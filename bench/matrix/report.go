package matrix

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"marigoldhill/kernel/messenger"
)

// Report collects the results of cells and prints them as tables. Its methods are
// safe for concurrent use.
type Report struct {
	mu   sync.Mutex
	rows []reportRow
}

// reportRow is one cell with its result.
type reportRow struct {
	cell   Cell
	result Result
}

// Add adds a cell.
func (r *Report) Add(cell Cell, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rows = append(r.rows, reportRow{cell, result})
}

// Write writes two Markdown tables: one with a row for each injection point of each
// activity, and one with a row for each fault.
func (r *Report) Write(out io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	byStep := func(row reportRow) string { return row.cell.Activity.Name + " | " + row.cell.InjectionPoint.Name }
	byFault := func(row reportRow) string { return row.cell.Fault.Name }
	if err := r.table(out, "| busy with | step |", "| --- | --- |", byStep); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(out); err != nil {
		return Error.New("writing the report: %w", err)
	}
	return r.table(out, "| fault |", "| --- |", byFault)
}

// table writes one table with a row for each value of group, in the order of
// [Cells].
func (r *Report) table(out io.Writer, header, separator string, group func(reportRow) string) error {
	_, err := fmt.Fprintf(out, "%s cells | red | done | refused | unknown | unavailable: median | worst |\n%s --- | --- | --- | --- | --- | --- | --- |\n", header, separator)
	if err != nil {
		return Error.New("writing the report: %w", err)
	}
	totals := make(map[string]*reportTotals)
	var order []string
	for _, cell := range Cells() {
		name := group(reportRow{cell: cell})
		if totals[name] == nil {
			totals[name] = &reportTotals{}
			order = append(order, name)
		}
	}
	for _, row := range r.rows {
		totals[group(row)].add(row.result)
	}
	for _, name := range order {
		if _, err := fmt.Fprintf(out, "| %s | %s |\n", name, totals[name]); err != nil {
			return Error.New("writing the report: %w", err)
		}
	}
	return nil
}

// reportTotals are the totals of the cells of one row.
type reportTotals struct {
	failed      int
	outcomes    [3]int
	unavailable []time.Duration
}

func (t *reportTotals) add(result Result) {
	if len(result.Violations) > 0 || !result.Reached {
		t.failed++
	}
	for i, outcome := range []messenger.Outcome{messenger.OutcomeDone, messenger.OutcomeRefused, messenger.OutcomeUnknown} {
		t.outcomes[i] += result.Outcomes[outcome]
	}
	t.unavailable = append(t.unavailable, result.Unavailable)
}

// String returns the table columns after the name.
func (t *reportTotals) String() string {
	if len(t.unavailable) == 0 {
		return "0 | | | | | |"
	}
	slices.SortFunc(t.unavailable, cmp.Compare[time.Duration])
	median := t.unavailable[len(t.unavailable)/2].Seconds()
	worst := t.unavailable[len(t.unavailable)-1].Seconds()
	return fmt.Sprintf("%d | %d | %d | %d | %d | %.2f s | %.2f s",
		len(t.unavailable), t.failed, t.outcomes[0], t.outcomes[1], t.outcomes[2], median, worst)
}
