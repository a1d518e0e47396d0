// Package collector parses the output of "go test -bench" into series: the values
// of one unit of one benchmark at several sizes.
//
// A benchmark that is run at several sizes has sub-benchmarks named
// "variable=size", for example BenchmarkHeartbeat/sessions=300.
//
// # Usage
//
//	series, err := collector.Read(os.Stdin)
//	for _, s := range series {
//		line, err := fitter.Fit(s.Points)
//	}
package collector

import (
	"bufio"
	"io"
	"strconv"
	"strings"

	"github.com/zeebo/errs"

	"marigoldhill/bench/fitter"
)

// Error is the class of all errors of this package.
var Error = errs.Class("collector")

// Series has the values of one unit of a benchmark at each size.
type Series struct {
	// Benchmark is the benchmark name without the size, such as "Heartbeat".
	Benchmark string `json:"benchmark"`
	// Variable names what the size counts, such as "sessions".
	Variable string `json:"variable"`
	// Unit is the unit of the values, such as "ns/op".
	Unit   string         `json:"unit"`
	Points []fitter.Point `json:"points"`
}

// Read returns all series in order of first appearance. It skips lines that are
// not results of a benchmark with a size.
func Read(source io.Reader) ([]Series, error) {
	builder := &builder{indexes: make(map[seriesKey]int)}
	lines := bufio.NewScanner(source)
	for lines.Scan() {
		if err := builder.addLine(lines.Text()); err != nil {
			return nil, err
		}
	}
	if err := lines.Err(); err != nil {
		return nil, Error.New("reading benchmark output: %w", err)
	}
	return builder.series, nil
}

// seriesKey identifies a series.
type seriesKey struct {
	benchmark string
	variable  string
	unit      string
}

// builder groups points into series.
type builder struct {
	series  []Series
	indexes map[seriesKey]int
}

func (b *builder) addLine(line string) error {
	fields := strings.Fields(line)
	if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
		return nil
	}
	name, variable, size, ok := splitName(fields[0])
	if !ok {
		return nil
	}
	// A result is the name and the number of iterations, then pairs of value
	// and unit.
	for i := 2; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return Error.New("value in %q: %w", line, err)
		}
		b.add(seriesKey{name, variable, fields[i+1]}, fitter.Point{X: size, Y: value})
	}
	return nil
}

func (b *builder) add(key seriesKey, point fitter.Point) {
	index, known := b.indexes[key]
	if !known {
		index = len(b.series)
		b.indexes[key] = index
		b.series = append(b.series, Series{Benchmark: key.benchmark, Variable: key.variable, Unit: key.unit})
	}
	b.series[index].Points = append(b.series[index].Points, point)
}

// splitName splits a name such as "BenchmarkHeartbeat/sessions=300-10", where 10
// is GOMAXPROCS.
func splitName(full string) (name, variable string, size float64, ok bool) {
	name, rest, found := strings.Cut(strings.TrimPrefix(full, "Benchmark"), "/")
	if !found {
		return "", "", 0, false
	}
	if dash := strings.LastIndex(rest, "-"); dash >= 0 {
		rest = rest[:dash]
	}
	before, number, found := cutLast(rest, "=")
	if !found {
		return "", "", 0, false
	}
	size, err := strconv.ParseFloat(number, 64)
	if err != nil {
		return "", "", 0, false
	}
	if parent, last, nested := cutLast(before, "/"); nested {
		return name + "/" + parent, last, size, true
	}
	return name, before, size, true
}

// cutLast is like strings.Cut but cuts at the last separator.
func cutLast(text, separator string) (before, after string, found bool) {
	index := strings.LastIndex(text, separator)
	if index < 0 {
		return text, "", false
	}
	return text[:index], text[index+len(separator):], true
}
