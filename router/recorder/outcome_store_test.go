package recorder

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

func TestOutcomeStore(t *testing.T) {
	now := timer.Instant{}.Add(time.Hour)
	done := messenger.OutcomeResponse{Outcome: messenger.OutcomeDone, Body: []byte("answer")}
	refused := messenger.OutcomeResponse{Outcome: messenger.OutcomeRefused, Reason: messenger.ReasonShed}
	t.Run("late arrival", func(t *testing.T) {
		n := NewOutcomeStore()
		qt.Assert(t, n.Query(now, "a", 0).Reason, qt.Equals, messenger.ReasonStale)
		qt.Assert(t, n.Begin(now.Add(OutcomeRetention), "a", true), qt.IsFalse)
		qt.Assert(t, n.Begin(now, "b", false), qt.IsTrue)
	})
	t.Run("running", func(t *testing.T) {
		n := NewOutcomeStore()
		n.Begin(now, "a", false)
		qt.Assert(t, n.Query(now, "a", 0).Outcome, qt.Equals, messenger.OutcomeRunning)
		qt.Assert(t, n.Begin(now, "a", false), qt.IsFalse)
	})
	t.Run("done", func(t *testing.T) {
		n := NewOutcomeStore()
		n.Begin(now, "a", false)
		n.End(now, "a", done, false)
		qt.Assert(t, n.Query(now, "a", 0), qt.DeepEquals, done)
		qt.Assert(t, n.Begin(now, "a", false), qt.IsFalse)
	})
	t.Run("done and idempotent", func(t *testing.T) {
		n := NewOutcomeStore()
		n.Begin(now, "a", true)
		n.End(now, "a", done, true)
		qt.Assert(t, n.Query(now, "a", 0).Reason, qt.Equals, messenger.ReasonLost)
		qt.Assert(t, n.Begin(now, "a", true), qt.IsTrue)
	})
	t.Run("refused and retried", func(t *testing.T) {
		n := NewOutcomeStore()
		n.Begin(now, "a", false)
		n.End(now, "a", refused, false)
		qt.Assert(t, n.Query(now, "a", 0), qt.DeepEquals, refused)
		qt.Assert(t, n.Begin(now, "a", false), qt.IsTrue)
	})
	t.Run("queried after OutcomeRetention", func(t *testing.T) {
		n := NewOutcomeStore()
		n.Begin(now, "a", false)
		n.End(now, "a", done, false)
		later := now.Add(OutcomeRetention)
		n.Begin(later, "b", false)
		n.Begin(later.Add(OutcomeRetention), "c", false)
		answer := n.Query(later.Add(OutcomeRetention), "a", 2*OutcomeRetention)
		qt.Assert(t, answer.Outcome, qt.Equals, messenger.OutcomeUnknown)
	})
}
