// Package collector reads the output of "go test -bench" and collects the
// points of each series: one unit of one benchmark over its sizes.
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

// Series is what one unit of a benchmark came to at its sizes.
type Series struct {
	// Benchmark is the name without its size, such as "Heartbeat".
	Benchmark string `json:"benchmark"`
	// Variable is what the size counts, such as "sessions".
	Variable string `json:"variable"`
	// Unit is the unit of the values, such as "ns/op".
	Unit   string         `json:"unit"`
	Points []fitter.Point `json:"points"`
}

// Read reads all series, in the order in which they appear. Lines that are no
// results are passed over.
func Read(source io.Reader) ([]Series, error) {
	book := &book{places: make(map[seriesKey]int)}
	lines := bufio.NewScanner(source)
	for lines.Scan() {
		if err := book.addLine(lines.Text()); err != nil {
			return nil, err
		}
	}
	if err := lines.Err(); err != nil {
		return nil, Error.New("reading results: %w", err)
	}
	return book.series, nil
}

// seriesKey tells series apart.
type seriesKey struct {
	benchmark string
	variable  string
	unit      string
}

// book collects points.
type book struct {
	series []Series
	places map[seriesKey]int
}

func (b *book) addLine(line string) error {
	fields := strings.Fields(line)
	if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
		return nil
	}
	name, variable, size, ok := splitName(fields[0])
	if !ok {
		return nil
	}
	// The name and the number of rounds come first, then pairs of value and
	// unit.
	for i := 2; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return Error.New("value in %q: %w", line, err)
		}
		b.add(seriesKey{name, variable, fields[i+1]}, fitter.Point{X: size, Y: value})
	}
	return nil
}

func (b *book) add(key seriesKey, point fitter.Point) {
	place, known := b.places[key]
	if !known {
		place = len(b.series)
		b.places[key] = place
		b.series = append(b.series, Series{Benchmark: key.benchmark, Variable: key.variable, Unit: key.unit})
	}
	b.series[place].Points = append(b.series[place].Points, point)
}

// splitName splits "BenchmarkHeartbeat/sessions=300-10".
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

// cutLast cuts text at the last separator.
func cutLast(text, separator string) (before, after string, found bool) {
	place := strings.LastIndex(text, separator)
	if place < 0 {
		return text, "", false
	}
	return text[:place], text[place+len(separator):], true
}
