package loader

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
)

// Requests that failed although their key had a server must not count as an outage, and
// observations that arrive out of order must be sorted first.
func TestUnavailabilityAndChurn(t *testing.T) {
	done := func(due int, server string) result {
		return result{key: "a", outcome: messenger.OutcomeDone, server: server, due: time.Duration(due) * time.Second}
	}
	failed := func(due int, outcome messenger.Outcome, reason messenger.Reason) result {
		return result{key: "a", outcome: outcome, reason: reason, due: time.Duration(due) * time.Second}
	}
	tests := []struct {
		name    string
		results []result
		worst   time.Duration
		total   time.Duration
		churn   float64
	}{{
		name:    "served",
		results: []result{done(0, "d1"), done(1, "d1")},
	}, {
		name:    "moved",
		results: []result{done(0, "d1"), done(2, "d1"), done(1, "d2")},
		churn:   2,
	}, {
		name: "two outages",
		results: []result{
			done(0, "d1"), failed(1, messenger.OutcomeRefused, messenger.ReasonUnowned), done(3, "d2"),
			failed(4, OutcomeLost, ""), done(5, "d2"),
		},
		worst: 2 * time.Second, total: 3 * time.Second, churn: 1,
	}, {
		name:    "queue full",
		results: []result{done(0, "d1"), failed(1, messenger.OutcomeRefused, messenger.ReasonQueue), done(2, "d1")},
	}, {
		name:    "no recovery",
		results: []result{done(0, "d1"), failed(1, OutcomeLost, ""), failed(6, OutcomeLost, "")},
		worst:   5 * time.Second, total: 5 * time.Second,
	}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			availability := newAvailability()
			for _, result := range test.results {
				availability.add(result)
			}
			availability.sort()
			report := availability.report()
			qt.Assert(t, report.Worst, qt.Equals, test.worst)
			qt.Assert(t, report.Total, qt.Equals, test.total)
			qt.Assert(t, availability.churn(time.Hour), qt.Equals, test.churn)
		})
	}
}
