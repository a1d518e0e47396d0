package queuer_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/router/queuer"
)

// Guards against summaries that miss requests: each job is offered, and then refused, served
// or failed, and counted once.
func TestKindTotals(t *testing.T) {
	queue := queuer.NewQueue(1)
	job := queuer.Job{Kind: "find", Rank: 2, Aim: 400 * ms, Deadline: 400 * ms}
	first, refusal := queue.Offer(0, job)
	qt.Assert(t, refusal, qt.IsNil)
	second, refusal := queue.Offer(0, queuer.Job{Kind: "find", Rank: 2, Aim: 900 * ms, Deadline: 900 * ms})
	qt.Assert(t, refusal, qt.IsNil)
	canceled, refusal := queue.Offer(0, queuer.Job{Kind: "check", Rank: 1, Aim: 900 * ms, Deadline: 900 * ms, Call: true})
	qt.Assert(t, refusal, qt.IsNil)
	qt.Assert(t, queue.Cancel(canceled), qt.IsTrue)
	_, refusal = queue.Offer(0, queuer.Job{Kind: "find", Rank: 2, Aim: 10 * ms, Deadline: 20 * ms})
	qt.Assert(t, refusal, qt.IsNotNil)
	queue.Done(100*ms, first, true)
	queue.Done(300*ms, second, false)
	qt.Assert(t, queue.TakeKindTotals(), qt.DeepEquals, []queuer.KindTotals{
		{Kind: "find", Rank: 2, Offered: 3, Refused: 1, Served: 1, Failed: 1, Wait: 100 * ms, Run: 300 * ms},
		{Kind: "check", Rank: 1, Call: true, Offered: 1, Refused: 1},
	})
	qt.Assert(t, queue.TakeKindTotals(), qt.HasLen, 0)
}
