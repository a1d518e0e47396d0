package searcher

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/splitter"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/holder"
)

const (
	// maxOverlap is how long two servers that are up may hold one key.
	maxOverlap = 500 * time.Millisecond
	// thawSlack is how long after a thaw the grants of a router do not count.
	thawSlack = 300 * time.Millisecond
	// recoveryTime is how long after the last fault all keys are held again.
	recoveryTime = 8 * time.Second
)

// The rules that are checked.
const (
	ruleFence   = "fence not above an earlier one"
	ruleOverlap = "two servers hold a key for over 0.5 s"
	ruleShared  = "two servers begin requests on a key that both hold"
	ruleUsable  = "two servers that hold a key are both usable"
	ruleWork    = "a key is granted while another server is at work on it"
	ruleLost    = "keys are not held after the last fault"
)

// violation is one broken rule.
type violation struct {
	rule  string
	at    time.Duration
	text  string
	trace string
}

// lastTaken is the highest fence under which a key was taken, and who took it.
type lastTaken struct {
	fence uint64
	life  int
}

// overlapID identifies two servers that hold keys under two grants.
type overlapID struct {
	lives  [2]int
	fences [2]uint64
}

// overlap is a time in which two servers hold keys.
type overlap struct {
	since time.Time
	// from is a key that both hold.
	from   uint32
	begun  [2]bool
	usable [2]bool
}

// checker has the state of the checks. world.mu guards it.
type checker struct {
	taken    *splitter.Map[lastTaken]
	overlaps map[overlapID]*overlap
}

func newChecker() checker {
	return checker{taken: splitter.New[lastTaken](messenger.LastKey), overlaps: make(map[overlapID]*overlap)}
}

// violate records a violation with the latest events that concern some hosts and a key.
func (w *world) violate(rule string, hosts []int, key uint32, format string, arguments ...any) {
	for _, v := range w.violations {
		if v.rule == rule {
			return
		}
	}
	if len(w.violations) > 0 && !*keepGoing {
		return
	}
	w.traceMu.Lock()
	defer w.traceMu.Unlock()
	var lines []string
	for _, e := range w.events {
		if (e.host < 0 || slices.Contains(hosts, e.host)) && e.concerns(key) {
			lines = append(lines, fmt.Sprintf("  %7.3f %s", e.at.Seconds(), e.text))
		}
	}
	lines = lines[max(0, len(lines)-*traceLines):]
	w.violations = append(w.violations, violation{
		rule: rule, at: time.Since(w.started), text: fmt.Sprintf(format, arguments...), trace: strings.Join(lines, "\n"),
	})
}

// checkTaken checks the fence of a grant that a server took, and that no other server
// is at work on its keys.
func (w *world) checkTaken(s *server, call *holder.Call, thawed, late bool) {
	now := time.Now()
	for _, piece := range w.taken.Within(call.From, call.To) {
		before := piece.Value
		if before.life != 0 && before.life != s.life && before.fence >= call.Fence && !thawed {
			other := w.lives[before.life]
			w.violate(ruleFence, []int{s.host.number, other.host.number}, piece.From, "%s takes [%d,%d] fence %d, %s had it with fence %d (up %t)",
				s, piece.From, piece.To, call.Fence, other, before.fence, other.up)
		}
	}
	w.taken.Update(call.From, call.To, func(before lastTaken) lastTaken {
		if before.fence > call.Fence {
			return before
		}
		return lastTaken{call.Fence, s.life}
	})
	for _, h := range w.hosts {
		other := h.server
		if other == nil || other == s || !other.up || thawed || late {
			continue
		}
		for _, entry := range other.running {
			if !entry.thawed && entry.key >= call.From && entry.key <= call.To && entry.end().After(now) {
				w.violate(ruleWork, []int{s.host.number, h.number}, entry.key, "%s takes key %d fence %d while %s is at work on it under fence %d until %.3f",
					s, entry.key, call.Fence, other, entry.fence, w.seconds(entry.end()))
			}
		}
	}
}

// checkBegun records that a server began a request.
func (w *world) checkBegun(s *server, key uint32) {
	w.updateOverlaps()
	for id, o := range w.overlaps {
		for n := range id.lives {
			if id.lives[n] != s.life || s.held.Find(key).Value.fence != id.fences[n] {
				continue
			}
			other := w.lives[id.lives[1-n]]
			if other.held.Find(key).Value.fence != id.fences[1-n] {
				continue
			}
			o.begun[n] = true
			if o.begun[0] && o.begun[1] {
				w.violate(ruleShared, []int{s.host.number, other.host.number}, key, "%s and %s, key %d, fences %v",
					w.lives[id.lives[0]], w.lives[id.lives[1]], key, id.fences)
			}
		}
	}
}

// updateOverlaps compares the holdings of all servers.
func (w *world) updateOverlaps() {
	now := time.Now()
	found := make(map[overlapID]uint32)
	for n, a := range w.hosts {
		for _, b := range w.hosts[n+1:] {
			if a.server != nil && b.server != nil && a.server.up && b.server.up {
				findOverlaps(found, now, a.server, b.server)
			}
		}
	}
	for id := range w.overlaps {
		if _, ok := found[id]; !ok {
			delete(w.overlaps, id)
		}
	}
	for id, key := range found {
		if w.overlaps[id] == nil {
			w.count("overlaps")
			w.overlaps[id] = &overlap{since: now, from: key}
			a, b := w.lives[id.lives[0]], w.lives[id.lives[1]]
			w.trace(-1, "%s and %s both hold key %d, fences %v", a, b, key, id.fences)
		}
	}
}

// findOverlaps adds the grants under which two servers hold common keys.
func findOverlaps(found map[overlapID]uint32, now time.Time, a, b *server) {
	for _, piece := range a.held.Pieces() {
		if !piece.Value.until.After(now) || piece.Value.thawed {
			continue
		}
		for _, other := range b.held.Within(piece.From, piece.To) {
			if !other.Value.until.After(now) || other.Value.thawed {
				continue
			}
			id := overlapID{[2]int{a.life, b.life}, [2]uint64{piece.Value.fence, other.Value.fence}}
			if _, ok := found[id]; !ok {
				found[id] = other.From
			}
		}
	}
}

// check checks the rules that concern a span of time.
func (w *world) check() {
	w.updateOverlaps()
	now := time.Now()
	for id, o := range w.overlaps {
		a, b := w.lives[id.lives[0]], w.lives[id.lives[1]]
		hosts := []int{a.host.number, b.host.number}
		isLate := a.held.Find(o.from).Value.late || b.held.Find(o.from).Value.late
		if now.Sub(o.since) > maxOverlap && !isLate {
			w.violate(ruleOverlap, hosts, o.from, "%s and %s hold key %d under fences %v since %.3f", a, b, o.from, id.fences, w.seconds(o.since))
		}
		for n, s := range []*server{a, b} {
			o.usable[n] = o.usable[n] || (!s.isFrozen(now) && s.host.passes(o.from))
		}
		if o.usable[0] && o.usable[1] {
			w.violate(ruleUsable, hosts, o.from, "%s and %s hold key %d under fences %v since %.3f", a, b, o.from, id.fences, w.seconds(o.since))
		}
	}
}

// passes reports whether the router of a host would pass a request for a key on now.
func (h *host) passes(key uint32) bool {
	p := h.process
	if p == nil || h.thaw != nil {
		return false
	}
	view := p.server.View()
	return view.Row != nil && view.Accepts(timer.Now(), true) && p.holder.CheckHeld(timer.Now(), key) == messenger.ReasonNone
}

// missingKeys counts the keys that no server holds or whose router passes no request
// on, and returns one of them.
func (w *world) missingKeys() (missing int, key uint32) {
	now := time.Now()
	held := splitter.New[bool](messenger.LastKey)
	for _, h := range w.hosts {
		if h.server == nil || !h.server.up {
			continue
		}
		for _, piece := range h.server.held.Pieces() {
			if piece.Value.until.After(now) && h.passes(piece.From) && h.passes(piece.To) {
				held.Set(piece.From, piece.To, true)
			}
		}
	}
	for _, piece := range held.Pieces() {
		if !piece.Value {
			missing += int(piece.To-piece.From) + 1
			key = piece.From
		}
	}
	return missing, key
}
