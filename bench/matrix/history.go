// Package matrix drives a whole cluster, in one process and in the test clock,
// through faults at each step of its work, and checks what happened against the
// promises of the system.
//
// A [History] records what callers sent and received, what backend servers ran
// and which revision each router had in force. [Check] looks a history over and
// returns each [Violation].
//
// # Usage
//
//	history := matrix.NewHistory()
//	history.Send(matrix.Send{Number: "s1", Key: "door-17", At: now})
//	...
//	for _, violation := range matrix.Check(history) {
//		t.Error(violation)
//	}
//
// The cells of the matrix are in the tests of this package; docs/FAULTS.md is
// written from them.
package matrix

import (
	"sync"
	"time"

	"marigoldhill/kernel/messenger"
)

// Send is one request as a caller sent it.
type Send struct {
	// Number is unique for each send, also for resends.
	Number string
	// Identity is the Idempotency-Key, the same for all resends; may be empty.
	Identity string
	Key      string
	// Idempotent says that the profile of the request is idempotent.
	Idempotent bool
	// Size is the padding of the answer that was asked for, in bytes.
	Size int
	// At is the time since the start of the history.
	At time.Duration
}

// Receive is what the caller got for one send.
type Receive struct {
	Number  string
	Outcome messenger.Outcome
	Reason  messenger.Reason
	// Echo is what the answer says of the request that ran; only when done.
	Echo Echo
	// Whole says that the body had its full length and content; only when
	// done.
	Whole bool
	At    time.Duration
}

// Echo is the part of an answer that names the request it belongs to.
type Echo struct {
	Key      string
	Identity string
	// Number is the send that the backend server ran.
	Number string
}

// Run is one run of a request at a backend server.
type Run struct {
	Server   string
	Key      string
	Identity string
	// Number is the send that was run.
	Number string
	Fence  uint64
	Start  time.Duration
	// End is 0 while it runs.
	End time.Duration
	// Frozen says that the backend server was frozen while it ran. What such a
	// run does after the server wakes is for the server's own fence to stop.
	Frozen bool
}

// Sight is the revision that a router had in force at a moment.
type Sight struct {
	Router string
	// Instance tells restarts of the router apart.
	Instance int
	Revision uint64
	// Serving says that the router held its lease.
	Serving bool
	At      time.Duration
}

// Change is a change of configuration that was acknowledged.
type Change struct {
	Revision uint64
	At       time.Duration
}

// Leave is the moment when a backend server was told to leave.
type Leave struct {
	Server string
	At     time.Duration
}

// Loss is the moment when a VM was lost: killed, frozen or cut off.
type Loss struct {
	Node string
	At   time.Duration
}

// History is what happened in one cell. Its methods are safe for concurrent
// use; the fields may be read once the cell has ended.
type History struct {
	start time.Time

	mu       sync.Mutex
	Sends    []Send
	Receives []Receive
	Runs     []Run
	Sights   []Sight
	Changes  []Change
	Leaves   []Leave
	Losses   []Loss
}

// NewHistory returns an empty history that starts now.
func NewHistory() *History {
	return &History{start: time.Now()}
}

// Now returns the time since the start.
func (h *History) Now() time.Duration {
	return time.Since(h.start)
}

// add appends a value to one of the lists of a history.
func add[T any](h *History, list *[]T, value T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = append(*list, value)
}

// AddSend records a send.
func (h *History) AddSend(send Send) {
	add(h, &h.Sends, send)
}

// AddReceive records what a caller got.
func (h *History) AddReceive(receive Receive) {
	add(h, &h.Receives, receive)
}

// AddSight records the revision of a router.
func (h *History) AddSight(sight Sight) {
	add(h, &h.Sights, sight)
}

// AddChange records an acknowledged change.
func (h *History) AddChange(change Change) {
	add(h, &h.Changes, change)
}

// AddLeave records that a backend server was told to leave.
func (h *History) AddLeave(leave Leave) {
	add(h, &h.Leaves, leave)
}

// AddLoss records that a VM was lost.
func (h *History) AddLoss(node string) {
	add(h, &h.Losses, Loss{Node: node, At: h.Now()})
}

// FreezeRuns marks the runs that are under way at a backend server.
func (h *History) FreezeRuns(server string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.Runs {
		run := &h.Runs[i]
		run.Frozen = run.Frozen || (run.Server == server && run.End == 0)
	}
}

// StartRun records the start of a run and returns the function that ends it.
func (h *History) StartRun(run Run) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Runs = append(h.Runs, run)
	place := len(h.Runs) - 1
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.Runs[place].End = h.Now()
	}
}
