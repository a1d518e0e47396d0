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

// Report collects the verdicts of cells and prints them as a table. Its methods
// are safe for concurrent use.
type Report struct {
	mu   sync.Mutex
	rows []reportRow
}

// reportRow is one cell with its verdict.
type reportRow struct {
	cell    Cell
	verdict Verdict
}

// Add adds a cell.
func (r *Report) Add(cell Cell, verdict Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rows = append(r.rows, reportRow{cell, verdict})
}

// Write writes two Markdown tables: a row for each step of each activity, and a
// row for each fault.
func (r *Report) Write(out io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	byStep := func(row reportRow) string { return row.cell.Activity.Name + " | " + row.cell.Point.Name }
	byFault := func(row reportRow) string { return row.cell.Fault.Name }
	if err := r.table(out, "| busy with | step |", "| --- | --- |", byStep); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(out); err != nil {
		return Error.New("writing the report: %w", err)
	}
	return r.table(out, "| fault |", "| --- |", byFault)
}

// table writes one table, with a row for each value of group in the order of the
// matrix.
func (r *Report) table(out io.Writer, head, rule string, group func(reportRow) string) error {
	_, err := fmt.Fprintf(out, "%s cells | red | done | refused | unknown | unavailable: median | worst |\n%s --- | --- | --- | --- | --- | --- | --- |\n", head, rule)
	if err != nil {
		return Error.New("writing the report: %w", err)
	}
	sums := make(map[string]*reportSum)
	var order []string
	for _, cell := range Cells() {
		name := group(reportRow{cell: cell})
		if sums[name] == nil {
			sums[name] = &reportSum{}
			order = append(order, name)
		}
	}
	for _, row := range r.rows {
		sums[group(row)].add(row.verdict)
	}
	for _, name := range order {
		if _, err := fmt.Fprintf(out, "| %s | %s |\n", name, sums[name]); err != nil {
			return Error.New("writing the report: %w", err)
		}
	}
	return nil
}

// reportSum sums up cells.
type reportSum struct {
	red         int
	outcomes    [3]int
	unavailable []time.Duration
}

func (s *reportSum) add(verdict Verdict) {
	if len(verdict.Violations) > 0 || !verdict.Reached {
		s.red++
	}
	for i, outcome := range []messenger.Outcome{messenger.OutcomeDone, messenger.OutcomeRefused, messenger.OutcomeUnknown} {
		s.outcomes[i] += verdict.Outcomes[outcome]
	}
	s.unavailable = append(s.unavailable, verdict.Unavailable)
}

// String returns the columns after the name.
func (s *reportSum) String() string {
	if len(s.unavailable) == 0 {
		return "0 | | | | | |"
	}
	slices.SortFunc(s.unavailable, cmp.Compare[time.Duration])
	median := s.unavailable[len(s.unavailable)/2].Seconds()
	worst := s.unavailable[len(s.unavailable)-1].Seconds()
	return fmt.Sprintf("%d | %d | %d | %d | %d | %.2f s | %.2f s",
		len(s.unavailable), s.red, s.outcomes[0], s.outcomes[1], s.outcomes[2], median, worst)
}
