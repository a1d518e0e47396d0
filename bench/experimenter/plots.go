package experimenter

import (
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Sizes of the plots.
const (
	plotWidth  = 25 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	barWidth   = 10
)

// chart is a bar chart of one value of each run.
type chart struct {
	file  string
	title string
	value func(Row) float64
}

func charts() []chart {
	return []chart{
		{"latency.png", "interactive p99 with background work relative to p99 without", Row.Ratio},
		{"unavailable.png", "longest unavailability of a key, seconds", func(r Row) float64 { return r.Report.Unavailable.Worst.Seconds() }},
		{"imbalance.png", "imbalance: largest relative to mean busy time of servers", func(r Row) float64 { return r.Report.Imbalance }},
		{"churn.png", "churn: server changes per key and hour", func(r Row) float64 { return r.Report.Churn }},
	}
}

// Plot writes the bar charts of one service as PNG files to directory and returns
// their paths.
func Plot(rows []Row, service, directory string) ([]string, error) {
	rows = slices.DeleteFunc(slices.Clone(rows), func(r Row) bool { return r.Service != service })
	var paths []string
	for _, chart := range charts() {
		path := filepath.Join(directory, service+"-"+chart.file)
		if err := chart.save(rows, service, path); err != nil {
			return paths, err
		}
		paths = append(paths, path)
	}
	return paths, nil
}

// save draws a group of bars for each scenario, with one bar per variant.
func (c chart) save(rows []Row, service, path string) error {
	figure := plot.New()
	figure.Title.Text = service + ": " + c.title
	figure.Y.Min = 0
	figure.Legend.Top = true
	var scenarios []string
	for _, row := range rows {
		if !slices.Contains(scenarios, row.Scenario) {
			scenarios = append(scenarios, row.Scenario)
		}
	}
	variants := Variants()
	for i, variant := range variants {
		values := make(plotter.Values, len(scenarios))
		for _, row := range rows {
			if row.Variant == variant {
				values[slices.Index(scenarios, row.Scenario)] = c.value(row)
			}
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return Error.New("drawing %s: %w", path, err)
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(variants)-1)/2))
		figure.Add(bars)
		figure.Legend.Add(string(variant), bars)
	}
	figure.NominalX(scenarios...)
	if err := figure.Save(plotWidth, plotHeight, path); err != nil {
		return Error.New("saving %s: %w", path, err)
	}
	return nil
}
