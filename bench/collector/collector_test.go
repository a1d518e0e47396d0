package collector_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/bench/collector"
	"marigoldhill/bench/fitter"
)

func TestRead(t *testing.T) {
	const output = `goos: linux
BenchmarkHeartbeat/sessions=100-10      1000    900.5 ns/op    70 answer-bytes
BenchmarkHeartbeat/sessions=300-10      1000    1000 ns/op     71 answer-bytes
BenchmarkForward/remote/body=64-10      10      5 ns/op
BenchmarkPlain-10      10      5 ns/op
PASS
`
	got, err := collector.Read(strings.NewReader(output))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, []collector.Series{
		{Benchmark: "Heartbeat", Variable: "sessions", Unit: "ns/op", Points: []fitter.Point{{X: 100, Y: 900.5}, {X: 300, Y: 1000}}},
		{Benchmark: "Heartbeat", Variable: "sessions", Unit: "answer-bytes", Points: []fitter.Point{{X: 100, Y: 70}, {X: 300, Y: 71}}},
		{Benchmark: "Forward/remote", Variable: "body", Unit: "ns/op", Points: []fitter.Point{{X: 64, Y: 5}}},
	})
}

func TestReadRejectsMalformedValues(t *testing.T) {
	_, err := collector.Read(strings.NewReader("BenchmarkA/size=1-10 10 five ns/op\n"))
	qt.Assert(t, err, qt.ErrorMatches, `collector: value in .*`)
}
