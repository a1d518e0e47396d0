package messenger_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
)

// Guards against an order that is lost because the end of an earlier one is in the same
// delta, and against changes of a map that is in use.
func TestUpdateEvacuations(t *testing.T) {
	tests := []struct {
		name    string
		changes []messenger.EvacuationRow
		// want is EvacuationRow.Since of the domain a, 0 if it is not evacuated.
		want int64
	}{
		{name: "no changes", want: 1},
		{name: "another domain", changes: []messenger.EvacuationRow{{Domain: "b", Since: 2}}, want: 1},
		{name: "ended", changes: []messenger.EvacuationRow{{Domain: "a", Gone: true}}},
		{name: "ended and ordered again", changes: []messenger.EvacuationRow{{Domain: "a", Gone: true}, {Domain: "a", Since: 3}}, want: 3},
		{name: "ordered again, end listed last", changes: []messenger.EvacuationRow{{Domain: "a", Since: 3}, {Domain: "a", Gone: true}}, want: 3},
	}
	for _, test := range tests {
		rows := map[string]messenger.EvacuationRow{"a": {Domain: "a", Since: 1}}
		qt.Check(t, messenger.UpdateEvacuations(rows, test.changes)["a"].Since, qt.Equals, test.want, qt.Commentf(test.name))
		qt.Check(t, rows["a"].Since, qt.Equals, int64(1), qt.Commentf(test.name))
	}
}
