package responder

import (
	"cmp"
	"maps"
	"slices"
	"sync"
)

// ledgerSize is the most distinct requests that a Ledger tells apart.
const ledgerSize = 1 << 20

// RunKey identifies a request that carries an Idempotency-Key.
type RunKey struct {
	Key    string `json:"key"`
	Number string `json:"number"`
}

// RunCount is how often one request ran.
type RunCount struct {
	RunKey
	Runs int `json:"runs"`
}

// RunTotals is the answer to GET /runs.
type RunTotals struct {
	Server string `json:"server"`
	// Total counts every run, Distinct the requests with a number.
	Total    int `json:"total"`
	Distinct int `json:"distinct"`
	// Untold counts runs that the ledger had no room to tell apart.
	Untold int `json:"untold"`
	// Runs are the requests that ran more than once, or with ?all=1 all that
	// have a number.
	Runs []RunCount `json:"runs"`
}

// Ledger counts the runs of one server. It is the bench's own record, so it
// outlives a crash of the server.
type Ledger struct {
	mutex  sync.Mutex
	total  int
	untold int
	runs   map[RunKey]int
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: make(map[RunKey]int)}
}

// Add counts one run and returns how often that request has run here.
func (l *Ledger) Add(run RunKey) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.total++
	if run.Number == "" {
		return 1
	}
	if _, known := l.runs[run]; !known && len(l.runs) >= ledgerSize {
		l.untold++
		return 1
	}
	l.runs[run]++
	return l.runs[run]
}

// Totals returns the counts, with all numbered requests or only those that ran
// more than once.
func (l *Ledger) Totals(all bool) RunTotals {
	l.mutex.Lock()
	runs := maps.Clone(l.runs)
	totals := RunTotals{Total: l.total, Distinct: len(l.runs), Untold: l.untold, Runs: []RunCount{}}
	l.mutex.Unlock()

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
