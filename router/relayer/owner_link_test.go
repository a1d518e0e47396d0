package relayer_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/pacer"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/inviter"
	"marigoldhill/router/isolator"
	"marigoldhill/router/monitor"
	"marigoldhill/router/queuer"
	"marigoldhill/router/relayer"
	"marigoldhill/router/requester"
)

// discardingSampler is a Sampler that may be called concurrently.
type discardingSampler struct{}

func (discardingSampler) Arrived(uint32)         {}
func (discardingSampler) Finished(time.Duration) {}
func (discardingSampler) Judged(bool)            {}

// linkOwner is an Owner behind the link of a VM.
type linkOwner struct {
	*relayer.Owner
	metrics *metrics.Set
	log     *logger.Log
	lines   *bytes.Buffer
}

const (
	linkAnswerSize = 5000
	linkWork       = 55 * time.Millisecond
)

// newLinkOwner returns an Owner of a server with six slots that answers after linkWork.
func newLinkOwner(outbound *pacer.Bucket) *linkOwner {
	o := &linkOwner{metrics: metrics.NewSet(), lines: new(bytes.Buffer)}
	o.log = logger.New(o.lines, logger.FormatJSON, "router", "r1")
	server := monitor.New(monitor.Options{Address: serverAddress, OnChange: func(*monitor.View) {}, IsConnected: func() bool { return false }, Log: o.log})
	server.Announce(timer.Now(), monitor.Announcement{Row: messenger.ServerRow{Name: "s1", Service: "findings", URL: serverAddress, Slots: 6, Born: 1}})
	o.Owner = relayer.NewOwner(relayer.OwnerOptions{
		Server: server, KeyChecker: &fakeKeys{}, Admission: queuer.NewAdmission(6), Sampler: discardingSampler{},
		Backend: &fakeBackend{run: func(context.Context) requester.Result {
			time.Sleep(linkWork)
			return doneResult(200, strings.NewReader(strings.Repeat("a", linkAnswerSize)), linkAnswerSize)
		}},
		Isolator: isolator.New(), Detector: fakeDetector{}, IsQuarantined: func(string) bool { return false },
		Inbound: inviter.New(0), Outbound: outbound, RequestUpdate: func() {}, Log: o.log, Metrics: o.metrics,
	})
	return o
}

// counter returns the value of a counter.
func (o *linkOwner) counter(name string) uint64 {
	return o.metrics.GetOrCreateCounter(name).Get()
}

// linkOutcome counts what became of the requests of a load.
type linkOutcome struct {
	mu sync.Mutex
	// lost answers had not arrived at the deadline.
	inTime, late, lost, refused int
	// limited counts the answers that report a limit.
	limited int
}

func (l *linkOutcome) count(response *messenger.RelayResponse, took time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.lost++
	case response.Outcome == messenger.OutcomeRefused:
		l.refused++
	case took <= 400*time.Millisecond:
		l.inTime++
	default:
		l.late++
	}
	if err == nil && response.Load.Limit > 0 {
		l.limited++
	}
}

// request sends one request over a stream, as an entry router does.
func request(ctx context.Context, pool *linker.Pool, number int) (*messenger.RelayResponse, error) {
	stream, err := pool.Open(ctx, "owner:7001", messenger.KindRelay)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	relay := &messenger.Relay{ID: fmt.Sprint(number), Service: "findings", Route: "find", Key: messenger.NoKey, Aim: 400 * time.Millisecond, Left: time.Second}
	if err := stream.Send(relay); err != nil {
		return nil, err
	}
	if err := stream.CloseWrite(); err != nil {
		return nil, err
	}
	var reply messenger.RelayReply
	if err := stream.Receive(&reply); err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, stream)
	return reply.Unpack(), err
}

// runLinkLoad sends requests from ten VMs to an owner whose VM has a link of the given rate
// in bytes per second. It calls during while they are sent.
func runLinkLoad(t *testing.T, o *linkOwner, outbound *pacer.Bucket, linkRate float64, perSecond int, during func()) *linkOutcome {
	network := disrupter.New(time.Millisecond)
	network.SetRate("owner", linkRate)
	options := linker.Options{Hello: messenger.Hello{Cluster: "test", Version: messenger.Version, Replies: true}, Handler: o.Handle}
	server, err := linker.Listen(pacer.New(network.Node("owner"), outbound), "owner:7001", options)
	qt.Assert(t, err, qt.IsNil)
	var entries []*linker.Pool
	for n := range 10 {
		entries = append(entries, linker.NewPool(network.Node(fmt.Sprintf("e%d", n)), options))
	}
	outcome := &linkOutcome{}
	var tasks sync.WaitGroup
	for n := range 4 * perSecond {
		tasks.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			started := time.Now()
			response, err := request(ctx, entries[n%len(entries)], n)
			outcome.count(response, time.Since(started), err)
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	during()
	tasks.Wait()
	for _, entry := range entries {
		entry.Close()
	}
	qt.Assert(t, server.Close(), qt.IsNil)
	return outcome
}

// Guards against answers that are ready and arrive after their callers have left because
// the link of the VM is full, and against refusals when it is not.
func TestOwnerBehindLink(t *testing.T) {
	const slow, fast = 300e3, 125e6
	tests := []struct {
		name string
		// setting is the rate that the router knows of, link the rate that the VM has.
		setting, link float64
		perSecond     int
		// full is set if requests are refused for the link.
		full   bool
		lost   bool
		inTime float64
	}{
		{name: "full link, not configured", link: slow, perSecond: 120, lost: true},
		{name: "full link", setting: slow, link: slow, perSecond: 120, full: true, inTime: 0.4},
		{name: "half of the link", setting: slow, link: slow, perSecond: 30, inTime: 1},
		{name: "1,000 Mbit/s", setting: fast, link: fast, perSecond: 100, inTime: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				outbound := pacer.NewBucket(test.setting)
				o := newLinkOwner(outbound)
				limit := 0.0
				outcome := runLinkLoad(t, o, outbound, test.link, test.perSecond, func() { limit = o.LinkLimit() })
				total := outcome.inTime + outcome.late + outcome.lost + outcome.refused
				refusals := o.counter("marigold_link_refusals_total")
				t.Logf("of %d: %d within the aim, %d late, %d lost, %d refused (%d for the link), %d told of a limit, limit %.0f",
					total, outcome.inTime, outcome.late, outcome.lost, outcome.refused, refusals, outcome.limited, limit)
				qt.Check(t, outcome.lost > 0, qt.Equals, test.lost)
				qt.Check(t, float64(outcome.inTime) >= test.inTime*float64(total), qt.IsTrue)
				qt.Check(t, refusals > 0, qt.Equals, test.full)
				qt.Check(t, limit > 0, qt.Equals, test.full)
				qt.Check(t, outcome.limited > 0, qt.Equals, test.full)
				o.log.Close()
				events := strings.Count(o.lines.String(), `"event":332`)
				qt.Check(t, events > 0, qt.Equals, test.full)
				qt.Check(t, events <= 6, qt.IsTrue, qt.Commentf("%d events in 5 s", events))
				if test.full {
					// 300 KB/s carry 57 answers of 5 KB per second.
					qt.Check(t, limit > 45 && limit < 65, qt.IsTrue, qt.Commentf("%v", limit))
					qt.Check(t, outcome.late < total/20, qt.IsTrue, qt.Commentf("%d late", outcome.late))
				}
			})
		})
	}
}

// Guards against a burst whose answers together take too long on the link: requests that
// wait for a slot are ahead of those that arrive later. The last one would start after 220
// ms and take 100 ms, but its answer is the 14th of 29 ms each.
func TestOwnerCountsWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newLinkOwner(pacer.NewBucket(150e3))
		responses := make(chan *messenger.RelayResponse, 14)
		for range cap(responses) {
			go func() {
				response, _ := o.Run(t.Context(), relay(messenger.NoKey), nil)
				responses <- response
			}()
			synctest.Wait()
		}
		first := <-responses
		qt.Assert(t, first.Reason, qt.Equals, messenger.ReasonLimit)
		qt.Assert(t, first.RetryAfter > 0, qt.IsTrue)
		for range cap(responses) - 1 {
			qt.Assert(t, (<-responses).Outcome, qt.Equals, messenger.OutcomeDone)
		}
	})
}

// Guards against a request that runs although the link has filled while it waited for its
// slot.
func TestOwnerRefusesWhenTheLinkFillsMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outbound := pacer.NewBucket(490e3)
		o := newLinkOwner(outbound)
		responses := make(chan *messenger.RelayResponse, 7)
		for range cap(responses) {
			go func() {
				response, _ := o.Run(t.Context(), relay(messenger.NoKey), nil)
				responses <- response
			}()
			synctest.Wait()
		}
		network := disrupter.New(0)
		listener, err := network.Node("e1").Listen("e1:80")
		qt.Assert(t, err, qt.IsNil)
		conn, err := pacer.New(network.Node("owner"), outbound).Dial(t.Context(), "e1:80")
		qt.Assert(t, err, qt.IsNil)
		for range 50 {
			_, err := conn.Write(make([]byte, 5000))
			qt.Assert(t, err, qt.IsNil)
		}
		refused := 0
		for range cap(responses) {
			if response := <-responses; response.Outcome == messenger.OutcomeRefused {
				qt.Check(t, response.Reason, qt.Equals, messenger.ReasonLimit)
				qt.Check(t, response.Ran, qt.IsFalse)
				refused++
			}
		}
		qt.Assert(t, refused, qt.Equals, 1)
		qt.Assert(t, conn.Close(), qt.IsNil)
		qt.Assert(t, listener.Close(), qt.IsNil)
	})
}
