// Package matrix tests a cluster by fault injection. It runs the whole cluster in
// one process, on the fake clock of testing/synctest, injects each [Fault] at each
// [InjectionPoint] of each [Activity], and checks the guarantees of the system. Each
// such combination is a [Cell].
//
// A [History] records what callers sent and received, what backend servers ran and
// which revision each router had in force. [Check] returns each [Violation] of a
// [Guarantee] in a history.
//
// # Usage
//
//	history := matrix.NewHistory()
//	history.AddSend(matrix.Send{Number: "s1", Key: "door-17", At: now})
//	...
//	for _, violation := range matrix.Check(history) {
//		t.Error(violation)
//	}
//
// The tests of this package run the cells with [Cell.Run]. docs/FAULTS.md is written
// from their [Report].
package matrix

import (
	"sync"
	"time"

	"marigoldhill/kernel/messenger"
)

// Send is one attempt of a request, as the caller sent it.
type Send struct {
	// Number identifies the attempt.
	Number string
	// Identity is the Idempotency-Key, which all attempts of a request share. It
	// may be empty.
	Identity string
	Key      string
	// Idempotent reports whether the profile of the request is idempotent.
	Idempotent bool
	// Size is the padding of the response that was requested, in bytes.
	Size int
	// At is the time since the start of the history.
	At time.Duration
}

// Response is what the caller received for one attempt.
type Response struct {
	Number  string
	Outcome messenger.Outcome
	Reason  messenger.Reason
	// Echo is set only if the outcome is done.
	Echo Echo
	// Complete reports whether the padding has its full length. It is set only if
	// the outcome is done.
	Complete bool
	At       time.Duration
}

// Echo is the part of a response that identifies the request that ran.
type Echo struct {
	Key      string
	Identity string
	// Number identifies the attempt that the backend server ran.
	Number string
}

// Run is one run of a request at a backend server.
type Run struct {
	Server   string
	Key      string
	Identity string
	// Number identifies the attempt that ran.
	Number string
	Fence  uint64
	Start  time.Duration
	// End is 0 while it runs.
	End time.Duration
	// Frozen reports whether the backend server was frozen during the run. The server
	// itself must fence off what such a run does after the server resumes.
	Frozen bool
}

// Observation is the revision that a router had in force at a time.
type Observation struct {
	Router string
	// Restarts is how often the router was restarted before.
	Restarts int
	Revision uint64
	// Serving reports whether the router held a lease.
	Serving bool
	At      time.Duration
}

// Change is a change of configuration that was acknowledged.
type Change struct {
	Revision uint64
	At       time.Duration
}

// Drain is the time at which the drain of a backend server was acknowledged.
type Drain struct {
	Server string
	At     time.Duration
}

// Loss is the time at which a VM was lost: killed, frozen, partitioned, or with a
// failing disk.
type Loss struct {
	Node string
	At   time.Duration
}

// History records the events of one cell. Its Add, Freeze and Start methods are safe
// for concurrent use. The fields may be read after the cell has ended.
type History struct {
	start time.Time

	mu           sync.Mutex
	Sends        []Send
	Responses    []Response
	Runs         []Run
	Observations []Observation
	Changes      []Change
	Drains       []Drain
	Losses       []Loss
}

// NewHistory returns an empty history. Its times are relative to now.
func NewHistory() *History {
	return &History{start: time.Now()}
}

// Now returns the time since the start of the history.
func (h *History) Now() time.Duration {
	return time.Since(h.start)
}

// add appends a value to a list of the history, under its lock.
func add[T any](h *History, list *[]T, value T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = append(*list, value)
}

// AddSend records an attempt.
func (h *History) AddSend(send Send) {
	add(h, &h.Sends, send)
}

// AddResponse records what a caller received.
func (h *History) AddResponse(response Response) {
	add(h, &h.Responses, response)
}

// AddObservation records the revision of a router.
func (h *History) AddObservation(observation Observation) {
	add(h, &h.Observations, observation)
}

// AddChange records an acknowledged change.
func (h *History) AddChange(change Change) {
	add(h, &h.Changes, change)
}

// AddDrain records the acknowledged drain of a backend server.
func (h *History) AddDrain(drain Drain) {
	add(h, &h.Drains, drain)
}

// AddLoss records that a VM is lost now.
func (h *History) AddLoss(node string) {
	add(h, &h.Losses, Loss{Node: node, At: h.Now()})
}

// FreezeRuns marks the runs in progress at a backend server as frozen.
func (h *History) FreezeRuns(server string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.Runs {
		run := &h.Runs[i]
		run.Frozen = run.Frozen || (run.Server == server && run.End == 0)
	}
}

// StartRun records the start of a run and returns a function that records its end.
func (h *History) StartRun(run Run) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Runs = append(h.Runs, run)
	index := len(h.Runs) - 1
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.Runs[index].End = h.Now()
	}
}
