package matrix

import (
	"bytes"
	"flag"
	"os"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

var (
	cellStride = flag.Int("every", 24, "run each cell whose index is a multiple of this; 1 runs all")
	reportPath = flag.String("report", "", "write a report in Markdown to this file")
	printLogs  = flag.Bool("log", false, "print the log lines of all processes of failing cells")
)

// runCell runs a cell in a bubble of its own.
func runCell(t *testing.T, cell Cell) Result {
	var result Result
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		var err error
		result, err = cell.Run(&log)
		qt.Check(t, err, qt.IsNil)
		if *printLogs && (t.Failed() || len(result.Violations) > 0) {
			t.Log(log.String())
		}
	})
	return result
}

// TestMatrix runs every fault at every injection point. "make matrix" runs all cells,
// a plain run a fixed part of them.
func TestMatrix(t *testing.T) {
	var summary Report
	t.Cleanup(func() { writeReport(t, &summary) })
	for i, cell := range Cells() {
		if i%*cellStride != 0 {
			continue
		}
		t.Run(cell.Name(), func(t *testing.T) {
			t.Parallel()
			result := runCell(t, cell)
			summary.Add(cell, result)
			for _, violation := range result.Violations {
				t.Errorf("seed %d, %+v: %s", cell.Seed(), result.Target, violation)
			}
			qt.Check(t, result.Reached, qt.IsTrue)
			t.Logf("unavailable %v outcomes %v %v", result.Unavailable, result.Outcomes, result.Reasons)
		})
	}
}

// writeReport writes the report to the file of -report, if that is set.
func writeReport(t *testing.T, summary *Report) {
	if *reportPath == "" {
		return
	}
	file, err := os.Create(*reportPath)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, summary.Write(file), qt.IsNil)
	qt.Check(t, file.Close(), qt.IsNil)
}
