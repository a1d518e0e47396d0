package supervisor_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/assigner"
	"marigoldhill/control/supervisor"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/profiler"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// transcript is a whole session as text: the actions of operators, changes in the
// status of heartbeats, and each event of the control group.
type transcript struct {
	h       *harness
	routers []*fakeRouter
	silent  map[string]bool
	status  map[string]messenger.HeartbeatStatus
	seen    uint64
	start   time.Duration
	text    strings.Builder
}

func newTranscript(t *testing.T) *transcript {
	h := newHarness(t)
	s := &transcript{h: h, silent: make(map[string]bool), status: make(map[string]messenger.HeartbeatStatus), start: h.now.Wall}
	h.observe = func(uint64, []byte, assigner.Result) { s.events() }
	for _, profile := range profiler.DefaultProfiles() {
		h.propose(assigner.Command{PutProfile: &assigner.PutProfile{Profile: profile}})
	}
	service := profiler.DefaultService("findings")
	service.Shards = 16
	h.propose(assigner.Command{PutService: &assigner.PutService{Service: service}})
	for n := range 4 {
		s.routers = append(s.routers, newRouter(h, n+1, "findings"))
	}
	s.run(12 * time.Second)
	return s
}

func (s *transcript) line(format string, values ...any) {
	fmt.Fprintf(&s.text, "%7d ms  ", (s.h.now.Wall - s.start).Milliseconds())
	fmt.Fprintf(&s.text, format+"\n", values...)
}

// events writes the events since the last call.
func (s *transcript) events() {
	events := s.h.request(supervisor.EventsQuery{After: s.seen}).([]messenger.ClusterEvent)
	for _, event := range events {
		s.line("  log %3d: event %d  %s  %s", event.Revision, event.Number, event.Subject, event.Text)
		s.seen = event.Revision
	}
}

// run lets the routers follow the requests of the control group for a while.
func (s *transcript) run(span time.Duration) {
	for n := 0; time.Duration(n)*step < span; n++ {
		s.h.tick()
		for index, router := range s.routers {
			if n%12 == 3*index%12 && !s.silent[router.heartbeat.Router] {
				s.heartbeat(router)
			}
		}
	}
	s.h.commit()
}

// heartbeat sends a heartbeat and writes its status if that has changed.
func (s *transcript) heartbeat(router *fakeRouter) {
	status := router.send()
	if name := router.heartbeat.Router; status != s.status[name] {
		s.line("%s: heartbeat %s", name, status)
		s.status[name] = status
	}
	if status == messenger.HeartbeatExpired {
		router.heartbeat.Session, router.heartbeat.Revision = 0, 0
	}
	router.heartbeat.Released, router.heartbeat.Recovered = nil, nil
	for _, ref := range router.owned() {
		row := router.rows[messenger.ShardRef{Service: ref.Service, Shard: ref.Shard}]
		if row.Phase == messenger.PhaseMoving {
			router.heartbeat.Released = append(router.heartbeat.Released, ref)
		} else if len(row.Survivors) > 0 || row.Previous != 0 {
			router.heartbeat.Recovered = append(router.heartbeat.Recovered, ref)
		}
	}
	row := router.sessions[router.heartbeat.Session]
	router.heartbeat.Copied = slices.Clone(row.Joining)
}

// operate makes a change as an operator would.
func (s *transcript) operate(description string, command assigner.Command) {
	s.line("operator: %s", description)
	result := s.h.propose(command)
	s.line("  %v at %d", result.Verdict, result.Revision)
}

// TestGolden compares whole sessions with golden files, which are reviewed as text.
func TestGolden(t *testing.T) {
	tests := []struct {
		name   string
		script func(s *transcript)
	}{
		{name: "start", script: func(*transcript) {}},
		{name: "profile", script: scriptProfile},
		{name: "drain", script: scriptDrain},
		{name: "takeover", script: scriptTakeover},
		{name: "poison", script: scriptPoison},
		{name: "isolated", script: scriptIsolated},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTranscript(t)
			test.script(s)
			path := filepath.Join("testdata", test.name+".txt")
			if *update {
				qt.Assert(t, os.MkdirAll("testdata", 0o755), qt.IsNil)
				qt.Assert(t, os.WriteFile(path, []byte(s.text.String()), 0o644), qt.IsNil)
			}
			want, err := os.ReadFile(path)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, s.text.String(), qt.Equals, string(want))
		})
	}
}

// scriptProfile makes two operators change one profile from the same revision, and
// the first one send its change again.
func scriptProfile(s *transcript) {
	profile := messenger.Profile{Name: "archive", Class: messenger.ClassBackground, Deadline: time.Hour, Share: 0.5, Weight: 1}
	putProfile := func(number string, match uint64, queue int) assigner.Command {
		profile.Queue = queue
		condition := assigner.Condition{Idempotency: number, Revision: match}
		return assigner.Command{PutProfile: &assigner.PutProfile{Condition: condition, Profile: profile}}
	}
	s.operate("create archive", putProfile("a", 0, 1))
	s.run(time.Second)
	from := s.seen
	s.operate("first: archive with queue 2", putProfile("b", from, 2))
	s.operate("second: archive with queue 3, from the same revision", putProfile("c", from, 3))
	s.operate("first again, after its answer was lost", putProfile("b", from, 2))
	s.run(time.Second)
}

func scriptDrain(s *transcript) {
	s.operate("drain s1", assigner.Command{Drain: &assigner.Drain{Server: "s1", On: true}})
	s.run(10 * time.Second)
	s.operate("undrain s1", assigner.Command{Drain: &assigner.Drain{Server: "s1"}})
	s.run(10 * time.Second)
}

func scriptTakeover(s *transcript) {
	s.line("r2 falls silent")
	s.silent["r2"] = true
	s.run(5 * time.Second)
	s.line("r2 returns")
	s.silent["r2"] = false
	s.run(10 * time.Second)
}

// scriptPoison reports two deaths of backend servers. One request was in flight at
// both, each of two others at only one of them.
func scriptPoison(s *transcript) {
	row := func(print, key string) messenger.QuarantineRow {
		return messenger.QuarantineRow{Fingerprint: print, Service: "findings", Key: key, Route: "new"}
	}
	reportDeath := func(n int, rows ...messenger.QuarantineRow) {
		s.line("backend server of r%d dies", n+1)
		response := s.h.request(&messenger.Report{Session: s.routers[n].heartbeat.Session, Number: 1, Death: rows})
		s.h.apply(response.(*supervisor.ReportProposal).Command)
		s.run(time.Second)
	}
	reportDeath(0, row("00000000000000aa", "door-1"), row("00000000000000bb", "door-2"))
	reportDeath(1, row("00000000000000aa", "door-1"), row("00000000000000cc", "door-3"))
	s.operate("lift 00000000000000aa", assigner.Command{Lift: &assigner.Lift{Fingerprint: "00000000000000aa"}})
	s.run(time.Second)
}

// scriptIsolated takes the leader's majority away for longer than a lease, and then
// has it elected again.
func scriptIsolated(s *transcript) {
	s.line("the leader is isolated")
	s.h.raftStatus.Confirmed = false
	s.run(4 * time.Second)
	s.line("it is elected anew; r3 is gone for good")
	s.silent["r3"] = true
	s.h.raftStatus.Confirmed = true
	s.h.raftStatus.Since = s.h.now
	s.h.raftStatus.Term++
	s.run(5 * time.Second)
}
