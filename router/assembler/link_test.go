package assembler

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/monitor"
)

// Guards against key ranges that move to, or stay at, a server whose VM has a full link: its
// report shows it as no faster than its link. Without the setting link, and with room on the
// link, the report is that of the server.
func TestReportShowsLink(t *testing.T) {
	const answerSize, perSecond = 5000, 50
	tests := []struct {
		name string
		// mbits is the setting link.
		mbits  float64
		slower bool
	}{
		{name: "no setting"},
		{name: "full", mbits: 2, slower: true},
		{name: "half full", mbits: 4},
		{name: "1,000 Mbit/s", mbits: 1000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := disrupter.New(0)
				p, err := NewRouted(RoutedSettings{
					Name: "r1", Service: "findings", Server: "r1:9000", Peer: "r1:7001", ControlPeers: []string{"c1:7000"},
					Grace: time.Second, LinkMbits: test.mbits,
				}, RoutedOptions{Network: network.Node("r1"), Log: logger.Discard()})
				qt.Assert(t, err, qt.IsNil)
				stop := serveAnswers(t, network, answerSize)
				p.server.Announce(timer.Now(), monitor.Announcement{Row: messenger.ServerRow{Name: "d1", Service: "findings", URL: "r1:9000", Slots: 6, Born: 1}})
				caller, err := p.pacedNetwork.Dial(t.Context(), "e1:80")
				qt.Assert(t, err, qt.IsNil)
				answered := 0
				for range 2 * perSecond {
					relay := &messenger.Relay{ID: "1", Service: "findings", Route: "find", Method: "GET", Target: "/", Key: messenger.NoKey, Aim: time.Second, Left: time.Second}
					response, body := p.owner.Run(t.Context(), relay, nil)
					if response.Outcome == messenger.OutcomeDone {
						_, err := io.Copy(caller, body)
						qt.Assert(t, err, qt.IsNil)
						qt.Assert(t, body.Close(), qt.IsNil)
						answered++
					}
					time.Sleep(time.Second / perSecond)
				}
				report := &messenger.RangeLoadReport{Finished: 100, Busy: time.Second}
				p.applyLimits(report, 6)
				slotTime := report.Busy / time.Duration(report.Finished)
				t.Logf("%d answers, %s per request and slot", answered, slotTime)
				qt.Check(t, answered > perSecond, qt.IsTrue)
				if test.slower {
					// The link carries 47 answers per second.
					qt.Check(t, slotTime > 110*time.Millisecond && slotTime < 150*time.Millisecond, qt.IsTrue)
				} else {
					qt.Check(t, slotTime, qt.Equals, 10*time.Millisecond)
				}
				qt.Check(t, caller.Close(), qt.IsNil)
				p.backend.Reset()
				stop()
			})
		})
	}
}

// serveAnswers serves answers of a size at r1:9000 and discards what e1:80 receives. The
// result ends both.
func serveAnswers(t *testing.T, network *disrupter.SimulatedNetwork, size int) (stop func()) {
	backend, err := network.Node("r1").Listen("r1:9000")
	qt.Assert(t, err, qt.IsNil)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(messenger.HeaderRequestNumber, r.Header.Get(messenger.HeaderRequestNumber))
		_, _ = w.Write(make([]byte, size))
	})}
	go func() { _ = server.Serve(backend) }()
	entry, err := network.Node("e1").Listen("e1:80")
	qt.Assert(t, err, qt.IsNil)
	go func() {
		conn, err := entry.Accept()
		if err == nil {
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}
	}()
	return func() {
		_ = server.Close()
		_ = entry.Close()
	}
}
