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
		store := NewOutcomeStore()
		qt.Assert(t, store.Query(now, "a", 0).Reason, qt.Equals, messenger.ReasonStale)
		qt.Assert(t, store.Begin(now.Add(OutcomeRetention), "a", true), qt.IsFalse)
		qt.Assert(t, store.Begin(now, "b", false), qt.IsTrue)
	})
	t.Run("running", func(t *testing.T) {
		store := NewOutcomeStore()
		store.Begin(now, "a", false)
		qt.Assert(t, store.Query(now, "a", 0).Outcome, qt.Equals, messenger.OutcomeRunning)
		qt.Assert(t, store.Begin(now, "a", false), qt.IsFalse)
	})
	t.Run("done", func(t *testing.T) {
		store := NewOutcomeStore()
		store.Begin(now, "a", false)
		store.End(now, "a", done, false)
		qt.Assert(t, store.Query(now, "a", 0), qt.DeepEquals, done)
		qt.Assert(t, store.Begin(now, "a", false), qt.IsFalse)
	})
	t.Run("done and idempotent", func(t *testing.T) {
		store := NewOutcomeStore()
		store.Begin(now, "a", true)
		store.End(now, "a", done, true)
		qt.Assert(t, store.Query(now, "a", 0).Reason, qt.Equals, messenger.ReasonLost)
		qt.Assert(t, store.Begin(now, "a", true), qt.IsTrue)
	})
	t.Run("refused and retried", func(t *testing.T) {
		store := NewOutcomeStore()
		store.Begin(now, "a", false)
		store.End(now, "a", refused, false)
		qt.Assert(t, store.Query(now, "a", 0), qt.DeepEquals, refused)
		qt.Assert(t, store.Begin(now, "a", false), qt.IsTrue)
	})
	t.Run("queried after OutcomeRetention", func(t *testing.T) {
		store := NewOutcomeStore()
		store.Begin(now, "a", false)
		store.End(now, "a", done, false)
		later := now.Add(OutcomeRetention)
		store.Begin(later, "b", false)
		store.Begin(later.Add(OutcomeRetention), "c", false)
		response := store.Query(later.Add(OutcomeRetention), "a", 2*OutcomeRetention)
		qt.Assert(t, response.Outcome, qt.Equals, messenger.OutcomeUnknown)
	})
}
