package supervisor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestUnreachableRouterLosesShards has some of the others report one router as
// unreachable.
func TestUnreachableRouterLosesShards(t *testing.T) {
	tests := []struct {
		name          string
		routers       int
		reports       int
		losesShards   bool
		reportsOthers bool // the reported router reports all others as well
	}{
		{name: "one of three others", routers: 4, reports: 1},
		{name: "two of four others", routers: 5, reports: 2},
		{name: "two of three others", routers: 4, reports: 2, losesShards: true},
		{name: "one of one other", routers: 2, reports: 1},
		{name: "three of three, reports in both directions", routers: 4, reports: 3, reportsOthers: true, losesShards: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTranscript(t)
			s.routers = s.routers[:min(len(s.routers), test.routers)]
			for len(s.routers) < test.routers {
				s.routers = append(s.routers, newRouter(s.h, len(s.routers)+1, "findings"))
			}
			s.run(20 * time.Second)
			target := s.routers[0]
			for n, router := range s.routers[1:] {
				if n < test.reports {
					router.heartbeat.Unreached = []uint64{target.heartbeat.Session}
				}
				if test.reportsOthers {
					target.heartbeat.Unreached = append(target.heartbeat.Unreached, router.heartbeat.Session)
				}
			}
			s.run(5 * time.Second)
			qt.Assert(t, len(target.owned()) == 0, qt.Equals, test.losesShards)
			for _, router := range s.routers[1:] {
				qt.Check(t, len(router.owned()) > 0, qt.IsTrue, qt.Commentf("%s", router.heartbeat.Router))
			}
		})
	}
}
