package responder

import (
	"cmp"
	"maps"
	"slices"
	"sync"
)

// maxTrackedRequests limits the distinct requests that a RunCounter counts separately.
// Runs of further ones are only counted in total.
const maxTrackedRequests = 1 << 20

// RunKey identifies a request that carries an Idempotency-Key.
type RunKey struct {
	Key    string `json:"key"`
	Number string `json:"number"`
}

// RunCount is the number of times that one request ran.
type RunCount struct {
	RunKey
	Runs int `json:"runs"`
}

// RunTotals is the response body of GET /runs.
type RunTotals struct {
	Server string `json:"server"`
	// Total counts all runs, Distinct the distinct requests with an
	// Idempotency-Key.
	Total    int `json:"total"`
	Distinct int `json:"distinct"`
	// Untracked counts runs of requests that were not tracked because the counter
	// was full.
	Untracked int `json:"untold"`
	// Runs has the requests that ran more than once, or with ?all=1 all that
	// have an Idempotency-Key.
	Runs []RunCount `json:"runs"`
}

// RunCounter counts the runs of each request on one server. It belongs to the bench
// and not to the server, so that the counts survive a crash of the server.
type RunCounter struct {
	mutex     sync.Mutex
	total     int
	untracked int
	runs      map[RunKey]int
}

// NewRunCounter returns an empty RunCounter.
func NewRunCounter() *RunCounter {
	return &RunCounter{runs: make(map[RunKey]int)}
}

// Add counts one run and returns how often the request has run on this server.
func (c *RunCounter) Add(run RunKey) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.total++
	if run.Number == "" {
		return 1
	}
	if _, known := c.runs[run]; !known && len(c.runs) >= maxTrackedRequests {
		c.untracked++
		return 1
	}
	c.runs[run]++
	return c.runs[run]
}

// Totals returns the counts. Its Runs has all requests with an Idempotency-Key if
// all is set, otherwise only those that ran more than once.
func (c *RunCounter) Totals(all bool) RunTotals {
	c.mutex.Lock()
	runs := maps.Clone(c.runs)
	totals := RunTotals{Total: c.total, Distinct: len(c.runs), Untracked: c.untracked, Runs: []RunCount{}}
	c.mutex.Unlock()

	for run, count := range runs {
		if all || count > 1 {
			totals.Runs = append(totals.Runs, RunCount{RunKey: run, Runs: count})
		}
	}
	slices.SortFunc(totals.Runs, compareRuns)
	return totals
}

func compareRuns(a, b RunCount) int {
	return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Number, b.Number))
}
