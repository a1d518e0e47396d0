package searcher

import (
	"fmt"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/splitter"
	"marigoldhill/router/holder"
)

// holding is the grant under which a server holds keys.
type holding struct {
	fence uint64
	until time.Time
	// thawed is set for a grant that arrived shortly after its router was thawed, late
	// for one that was held up on its way or taken late.
	thawed bool
	late   bool
}

// work is a request that a server runs.
type work struct {
	key   uint32
	fence uint64
	ends  time.Time
	// holdUntil is when the hold of its key runs out.
	holdUntil time.Time
	// thawed is set if the grant of its key came from a router shortly after its thaw.
	thawed bool
}

// server is one life of a backend server. world.mu guards it.
type server struct {
	host *host
	// life numbers all lives of all servers.
	life int
	name string
	born int64
	up   bool
	// frozenUntil is when a frozen server runs again.
	frozenUntil time.Time
	// refusesUntil is when the port of a server that works accepts connections again.
	refusesUntil time.Time
	// clockFactor is how much slower than real time its clock runs.
	clockFactor float64
	sequence    uint64
	draining    bool

	seen    *splitter.Map[uint64]
	held    *splitter.Map[holding]
	running []work
}

func newServer(h *host, life int, name string, born int64, clockFactor float64) *server {
	return &server{
		host: h, life: life, name: name, born: born, up: true, clockFactor: clockFactor,
		seen: splitter.New[uint64](messenger.LastKey), held: splitter.New[holding](messenger.LastKey),
	}
}

func (s *server) String() string {
	return fmt.Sprintf("%s/%s#%d", s.host.name, s.name, s.life)
}

func (s *server) isFrozen(now time.Time) bool {
	return s.frozenUntil.After(now)
}

// row returns the announcement of the server.
func (s *server) row() messenger.ServerRow {
	return messenger.ServerRow{Name: s.name, Service: service, URL: s.host.address, Slots: 6, Fences: true, Born: s.born}
}

// grant applies a grant that arrived earlier or now.
func (s *server) grant(w *world, call *holder.Call, arrived time.Time, thawed, late bool) holder.CallResult {
	now := time.Now()
	for _, piece := range s.seen.Within(call.From, call.To) {
		if piece.Value > call.Fence {
			w.count("fenced")
			w.traceCall(s.host.number, call, "%s refuses, has seen %d", s, piece.Value)
			return holder.Fenced
		}
	}
	s.seen.Update(call.From, call.To, func(fence uint64) uint64 { return max(fence, call.Fence) })
	until := arrived.Add(time.Duration(float64(call.Hold) * s.clockFactor))
	if !until.After(now) {
		return holder.Accepted
	}
	taken := holding{fence: call.Fence, until: until, thawed: thawed, late: late}
	isNew := false
	s.held.Update(call.From, call.To, func(before holding) holding {
		if before.fence != call.Fence || !before.until.After(now) {
			isNew = true
			return taken
		}
		if before.until.After(until) {
			return before
		}
		return taken
	})
	if isNew {
		w.count("grants")
		w.traceCall(s.host.number, call, "%s takes it until %.3f (thawed %t late %t)", s, w.seconds(until), thawed, late)
	} else {
		w.count("renewals")
		w.traceCall(s.host.number, call, "%s renews it until %.3f (thawed %t late %t)", s, w.seconds(until), thawed, late)
	}
	if thawed {
		w.count("thawed grants")
	}
	for n := range s.running {
		entry := &s.running[n]
		if entry.key >= call.From && entry.key <= call.To && entry.fence == call.Fence {
			entry.holdUntil = maxTime(entry.holdUntil, until)
		}
	}
	w.checkTaken(s, call, thawed, late)
	return holder.Accepted
}

// release stops new work on keys. It returns when the work on them that is running
// ends.
func (s *server) release(w *world, call *holder.Call) time.Time {
	now := time.Now()
	s.held.Update(call.From, call.To, func(before holding) holding {
		if before.fence > call.Fence {
			return before
		}
		return holding{}
	})
	w.count("releases")
	w.traceCall(s.host.number, call, "%s releases it", s)
	ends := now
	for _, entry := range s.running {
		if entry.key >= call.From && entry.key <= call.To && entry.fence <= call.Fence {
			ends = maxTime(ends, entry.end())
		}
	}
	return ends
}

// end returns when a request ends. Work that outlasts its lease is broken off.
func (w *work) end() time.Time {
	if w.holdUntil.Before(w.ends) {
		return w.holdUntil
	}
	return w.ends
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// begin begins a request and reports whether the server holds its key.
func (s *server) begin(w *world, key uint32, length time.Duration) bool {
	now := time.Now()
	held := s.held.Find(key).Value
	if !held.until.After(now) {
		return false
	}
	kept := s.running[:0]
	for _, entry := range s.running {
		if entry.end().After(now) {
			kept = append(kept, entry)
		}
	}
	s.running = append(kept, work{key: key, fence: held.fence, ends: now.Add(length), holdUntil: held.until, thawed: held.thawed})
	w.checkBegun(s, key)
	return true
}
