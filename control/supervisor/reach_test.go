package supervisor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRouterThatOthersCannotReach has some of the others report one router.
func TestRouterThatOthersCannotReach(t *testing.T) {
	tests := []struct {
		name     string
		routers  int
		reports  int
		isMoved  bool
		isItself bool // the reported router reports all others as well
	}{
		{name: "one of three others", routers: 4, reports: 1},
		{name: "two of four others", routers: 5, reports: 2},
		{name: "two of three others", routers: 4, reports: 2, isMoved: true},
		{name: "one of one other", routers: 2, reports: 1},
		{name: "three of three, each way", routers: 4, reports: 3, isItself: true, isMoved: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTranscript(t)
			s.routers = s.routers[:min(len(s.routers), test.routers)]
			for len(s.routers) < test.routers {
				s.routers = append(s.routers, newRouter(s.h, len(s.routers)+1, "findings"))
			}
			s.run(20 * time.Second)
			victim := s.routers[0]
			for n, router := range s.routers[1:] {
				if n < test.reports {
					router.beat.Unreached = []uint64{victim.beat.Session}
				}
				if test.isItself {
					victim.beat.Unreached = append(victim.beat.Unreached, router.beat.Session)
				}
			}
			s.run(5 * time.Second)
			qt.Assert(t, len(victim.owned()) == 0, qt.Equals, test.isMoved)
			for _, router := range s.routers[1:] {
				qt.Check(t, len(router.owned()) > 0, qt.IsTrue, qt.Commentf("%s", router.beat.Router))
			}
		})
	}
}
