package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"marigoldhill/bench/collector"
	"marigoldhill/bench/fitter"
	"marigoldhill/operator/printer"
)

func cmdFit() command {
	return command{name: "fit", help: "Fit lines to the output of make bench on standard input.", action: &fitAction{}}
}

// fitAction fits lines to benchmark results at several sizes and extrapolates them.
type fitAction struct {
	At     map[string]float64 `help:"Size to extrapolate to, for each variable." default:"sessions=1000;shards=65536;nodes=1000"`
	Output printer.Format     `help:"Output format: table or json." enum:"table,json" default:"table" short:"o"`
}

// fittedSeries is a benchmark series with the line fitted to it.
type fittedSeries struct {
	collector.Series
	Line fitter.Line `json:"line"`
	// Size, Value and Margin are the extrapolation. Size is 0 if no size was
	// given for the variable.
	Size   float64 `json:"size,omitempty"`
	Value  float64 `json:"value,omitempty"`
	Margin float64 `json:"margin,omitempty"`
}

// Run implements the command.
func (a *fitAction) Run() error {
	series, err := collector.Read(os.Stdin)
	if err != nil {
		return Error.New("reading benchmark output: %w", err)
	}
	var rows []fittedSeries
	for _, s := range series {
		line, err := fitter.Fit(s.Points)
		if err != nil {
			// Series with fewer than fitter.MinPoints sizes cannot be fitted.
			continue
		}
		row := fittedSeries{Series: s, Line: line, Size: a.At[s.Variable]}
		row.Value, row.Margin = line.At(row.Size)
		rows = append(rows, row)
	}
	if a.Output == printer.FormatJSON {
		return printer.Printer{Out: os.Stdout, Err: os.Stderr, Format: a.Output}.JSON(rows)
	}
	return printFits(rows)
}

func printFits(rows []fittedSeries) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "BENCHMARK\tVARIABLE\tSIZES\tUNIT\tBASE\tSLOPE\tERROR\tFIT\tAT\tVALUE\tMARGIN")
	for _, r := range rows {
		sizes := fmt.Sprintf("%g..%g (%d)", r.Points[0].X, r.Points[len(r.Points)-1].X, len(r.Points))
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.2g\t%.3f\t%g\t%.4g\t%.2g\n",
			r.Benchmark, r.Variable, sizes, r.Unit, r.Line.Intercept, r.Line.Slope, r.Line.SlopeError, r.Line.RSquared,
			r.Size, r.Value, r.Margin)
	}
	if err := table.Flush(); err != nil {
		return Error.New("writing table: %w", err)
	}
	return nil
}
