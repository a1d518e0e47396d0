package matrix

import (
	"bytes"
	"flag"
	"hash/fnv"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

var verbose = flag.Bool("log", false, "print the log lines of all processes of failing cells")

// runCell runs a cell in a bubble of its own.
func runCell(t *testing.T, cell Cell) Verdict {
	var verdict Verdict
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		var err error
		verdict, err = cell.Run(&log)
		qt.Check(t, err, qt.IsNil)
		if *verbose && (t.Failed() || len(verdict.Violations) > 0) {
			t.Log(log.String())
		}
	})
	return verdict
}

// seedOf is a seed that stays the same from run to run.
func seedOf(name string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(name))
	return sum.Sum64()
}

// TestMatrix runs every fault at every step.
func TestMatrix(t *testing.T) {
	for _, activity := range Activities() {
		for _, point := range activity.Points {
			for _, fault := range append([]Fault{{Name: "none"}}, Faults()...) {
				cell := Cell{Activity: activity, Point: point, Fault: fault}
				cell.Seed = seedOf(cell.Name())
				t.Run(cell.Name(), func(t *testing.T) {
					t.Parallel()
					verdict := runCell(t, cell)
					for _, violation := range verdict.Violations {
						t.Errorf("seed %d, %+v: %s", cell.Seed, verdict.Target, violation)
					}
					t.Logf("reached %v unavailable %v %v %v", verdict.Reached, verdict.Unavailable, verdict.Outcomes, verdict.Reasons)
				})
			}
		}
	}
}
