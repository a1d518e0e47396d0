package queuer_test

import (
	"encoding/csv"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// figureStep is the resolution of a figureSeries.
const figureStep = 4 * ms

// figureSeries is a load figure over time, one value for each figureStep. It repeats.
type figureSeries struct {
	values []float64
	// sums are the sums of the values before each one.
	sums []float64
}

func newFigureSeries(values []float64) figureSeries {
	series := figureSeries{values: values, sums: make([]float64, len(values)+1)}
	for n, value := range values {
		series.sums[n+1] = series.sums[n] + value
	}
	return series
}

func (s figureSeries) at(now time.Duration) float64 {
	return s.values[int(max(now, 0)/figureStep)%len(s.values)]
}

// mean returns the mean from a time to another one, both included.
func (s figureSeries) mean(from, to time.Duration) float64 {
	sumBefore := func(n int) float64 {
		return float64(n/len(s.values))*s.sums[len(s.values)] + s.sums[n%len(s.values)]
	}
	first, end := int(max(from, 0)/figureStep), int(max(to, 0)/figureStep)+1
	return (sumBefore(end) - sumBefore(first)) / float64(end-first)
}

// readFigureSeries reads the recorded series, which has one line per response.
func readFigureSeries(t *testing.T) figureSeries {
	file, err := os.Open("testdata/load_figure.csv")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = file.Close() }()
	records, err := csv.NewReader(file).ReadAll()
	qt.Assert(t, err, qt.IsNil)
	var series []float64
	previous := 100.0
	for _, record := range records[1:] {
		millis, err := strconv.Atoi(record[0])
		qt.Assert(t, err, qt.IsNil)
		figure, err := strconv.ParseFloat(record[4], 64)
		qt.Assert(t, err, qt.IsNil)
		for time.Duration(len(series))*figureStep < time.Duration(millis)*ms {
			series = append(series, previous)
		}
		previous = figure
	}
	return newFigureSeries(series)
}

// generateFigureSeries draws 60 s of a log-normal figure with a correlation time and a
// spread.
func generateFigureSeries(seed uint64, correlation time.Duration, spread float64) figureSeries {
	random := rand.New(rand.NewPCG(seed, 7))
	series := make([]float64, int(time.Minute/figureStep))
	keep := math.Exp(-figureStep.Seconds() / correlation.Seconds())
	state := random.NormFloat64()
	for n := range series {
		series[n] = 100 * math.Exp(spread*state-spread*spread/2)
		state = keep*state + math.Sqrt(1-keep*keep)*random.NormFloat64()
	}
	return newFigureSeries(series)
}

// timeModel returns how long work takes that starts at a time.
type timeModel func(series figureSeries, start, work time.Duration) time.Duration

var timeModels = []struct {
	name  string
	model timeModel
}{
	{name: "start", model: func(series figureSeries, start, work time.Duration) time.Duration {
		return time.Duration(float64(work) * series.at(start) / 100)
	}},
	{name: "running", model: func(series figureSeries, start, work time.Duration) time.Duration {
		now := start
		for left := work.Seconds(); left > 0; now += figureStep {
			left -= figureStep.Seconds() * 100 / series.at(now)
		}
		return now - start
	}},
}

// figureVariant is a way to use a figure: it returns the factor of the expected time
// from the figures known until a time.
type figureVariant struct {
	name string
	use  func(series figureSeries, known time.Duration) float64
	// raw means that the measured cost isn't divided by the figure.
	raw bool
}

var figureVariants = []figureVariant{
	{name: "ignored", use: func(figureSeries, time.Duration) float64 { return 100 }},
	{name: "last", use: figureSeries.at},
	{name: "mean 0.1 s", use: meanOver(100 * ms)},
	{name: "mean 0.5 s", use: meanOver(500 * ms)},
	{name: "mean 2 s", use: meanOver(2 * time.Second)},
	{name: "half", use: func(series figureSeries, known time.Duration) float64 {
		return (series.at(known) + series.mean(known-10*time.Second, known)) / 2
	}},
	{name: "by its mean", raw: true, use: func(series figureSeries, known time.Duration) float64 {
		return 100 * series.at(known) / series.mean(known-10*time.Second, known)
	}},
}

func meanOver(window time.Duration) func(figureSeries, time.Duration) float64 {
	return func(series figureSeries, known time.Duration) float64 { return series.mean(known-window, known) }
}

// drawWork draws the time of a request at figure 100: 160 ms on average, spread 0.5.
func drawWork(random *rand.Rand) time.Duration {
	const spread = 0.5
	return time.Duration(160 * float64(ms) * math.Exp(spread*random.NormFloat64()-spread*spread/2))
}

// timeError returns the mean error of the expected time, relative to the mean time, of 55
// requests per second for one minute whose figure is known with a mean age. The ages are
// spread evenly between 0 and twice the mean.
func timeError(series figureSeries, model timeModel, age time.Duration, v figureVariant) float64 {
	random := rand.New(rand.NewPCG(1, 1))
	cost, errorSum, timeSum := 0.16, 0.0, 0.0
	for now := time.Duration(0); now < time.Minute; now += time.Second / 55 {
		took := model(series, now, drawWork(random)).Seconds()
		known := now - time.Duration(2*random.Float64()*float64(age))
		errorSum += math.Abs(cost*v.use(series, known)/100 - took)
		timeSum += took
		sample := took
		if !v.raw {
			sample = took * 100 / v.use(series, now)
		}
		cost += 0.1 * (sample - cost)
	}
	return errorSum / timeSum
}

// choiceGain returns how much shorter the mean time of requests is if the one of two servers
// is chosen whose known figure is lower, compared with a random choice.
func choiceGain(first, second figureSeries, age time.Duration) float64 {
	random := rand.New(rand.NewPCG(3, 3))
	chosen, mean := 0.0, 0.0
	for now := 2 * time.Second; now < time.Minute; now += time.Second / 55 {
		knownFirst := first.at(now - time.Duration(2*random.Float64()*float64(age)))
		knownSecond := second.at(now - time.Duration(2*random.Float64()*float64(age)))
		best := first.at(now)
		if knownSecond < knownFirst || knownSecond == knownFirst && random.IntN(2) == 0 {
			best = second.at(now)
		}
		chosen += best
		mean += (first.at(now) + second.at(now)) / 2
	}
	return 1 - chosen/mean
}

// Guards against a use of the load figure that the replay does not support. Entry routers
// hear of it too late: the expected time becomes less accurate. At the owner, which hears of
// it every 12 ms, it helps if the figure at the start of a request sets its time, and harms
// if the figure while it runs does, and which one applies is not known.
func TestLoadFigureReplay(t *testing.T) {
	recorded := readFigureSeries(t)
	ignored, last := figureVariants[0], figureVariants[1]
	for _, m := range timeModels {
		for _, age := range []time.Duration{12 * ms, 650 * ms} {
			row := ""
			for _, v := range figureVariants {
				row += fmt.Sprintf(" | %s %.3f", v.name, timeError(recorded, m.model, age, v))
			}
			t.Logf("error, %s, age %s%s", m.name, age, row)
		}
		qt.Check(t, timeError(recorded, m.model, 650*ms, last) > timeError(recorded, m.model, 650*ms, ignored), qt.IsTrue, qt.Commentf(m.name))
		for _, load := range []float64{0.8, 1, 1.3} {
			row, load := "", figureLoad{series: recorded, model: m.model, load: load}
			for _, v := range figureVariants {
				inAim, served := load.mean(v)
				row += fmt.Sprintf(" | %s %.3f %.3f", v.name, inAim, served)
			}
			t.Logf("within aim and deadline, %s, load %.1f%s", m.name, load.load, row)
			same, _ := load.run(1, ignored)
			qt.Check(t, same, qt.Equals, load.runPresent(1), qt.Commentf("%s, load %.1f: not the rule of the queue", m.name, load.load))
		}
	}
	running := figureLoad{series: recorded, model: timeModels[1].model, load: 1}
	ignoredInAim, _ := running.mean(ignored)
	lastInAim, _ := running.mean(last)
	qt.Check(t, lastInAim < ignoredInAim, qt.IsTrue, qt.Commentf("last %.3f, ignored %.3f", lastInAim, ignoredInAim))
	half := len(recorded.values) / 2
	second := newFigureSeries(slices.Concat(recorded.values[half:], recorded.values[:half]))
	for _, age := range []time.Duration{12 * ms, 650 * ms, 1300 * ms} {
		t.Logf("choice between two servers, age %s: %.3f shorter", age, choiceGain(recorded, second, age))
	}
}

// Reports for synthetic series when the figure is useful; its age is 12 ms. Guards against a
// replay that shows a gain or loss where the figure hardly changes.
func TestLoadFigureSyntheticReplay(t *testing.T) {
	for _, spread := range []float64{0.1, 0.3, 0.6} {
		for _, correlation := range []time.Duration{20 * ms, 100 * ms, 500 * ms, 2 * time.Second} {
			series := generateFigureSeries(5, correlation, spread)
			row := fmt.Sprintf("| %.1f | %s", spread, correlation)
			for _, m := range timeModels {
				var shares []float64
				for _, v := range []figureVariant{figureVariants[0], figureVariants[1], figureVariants[5]} {
					inAim, _ := figureLoad{series: series, model: m.model, load: 1}.mean(v)
					row += fmt.Sprintf(" | %.3f, %.3f", timeError(series, m.model, 12*ms, v), inAim)
					shares = append(shares, inAim)
				}
				if spread < 0.2 {
					qt.Check(t, math.Abs(shares[1]-shares[0]) < 0.01, qt.IsTrue, qt.Commentf("%s, %s: %v", m.name, correlation, shares))
				}
			}
			t.Log(row)
		}
	}
}
