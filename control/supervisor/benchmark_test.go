package supervisor_test

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"marigoldhill/control/assigner"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/profiler"
)

const maxShards = 65_536

// newFleet starts a service whose shards are distributed over sessions.
func newFleet(b *testing.B, sessions int, shards uint32) (*harness, []*fakeRouter) {
	h := newHarness(b)
	for _, profile := range profiler.DefaultProfiles() {
		h.propose(assigner.Command{PutProfile: &assigner.PutProfile{Profile: profile}})
	}
	service := profiler.DefaultService("findings")
	service.Shards = shards
	h.propose(assigner.Command{PutService: &assigner.PutService{Service: service}})
	var routers []*fakeRouter
	for n := range sessions {
		router := newRouter(h, n, "findings")
		router.heartbeat.Domain = fmt.Sprintf("d%d", n%10)
		routers = append(routers, router)
	}
	for range 20 {
		for n := range 12 {
			h.tick()
			for index, router := range routers {
				if index%12 == n {
					sendOnly(router)
				}
			}
		}
	}
	h.commit()
	return h, routers
}

// sendOnly sends a heartbeat as if the router had applied the whole table.
func sendOnly(r *fakeRouter) *messenger.HeartbeatResponse {
	r.heartbeat.Sequence++
	heartbeat := r.heartbeat
	response := r.h.request(&heartbeat).(*messenger.HeartbeatResponse)
	if response.Status == messenger.HeartbeatRenewed {
		r.heartbeat.Session = response.Session
		if response.Delta != nil {
			r.heartbeat.Revision = response.Delta.To
		}
	}
	return response
}

// size is the encoded size of a message as it is sent over a link.
func size(b *testing.B, message any) float64 {
	var data bytes.Buffer
	encoder := msgpack.NewEncoder(&data)
	encoder.UseArrayEncodedStructs(true)
	qt.Assert(b, encoder.Encode(message), qt.IsNil)
	return float64(data.Len())
}

func BenchmarkHeartbeat(b *testing.B) {
	for _, sessions := range []int{100, 300, 1000} {
		b.Run(fmt.Sprintf("sessions=%d", sessions), func(b *testing.B) {
			h, routers := newFleet(b, sessions, maxShards)
			for n, router := range routers {
				for k := range 64 {
					load := messenger.ShardLoad{Service: "findings", Shard: uint32(64*n+k) % maxShards, Requests: 5, Busy: time.Millisecond}
					router.heartbeat.Loads = append(router.heartbeat.Loads, load)
				}
			}
			n := 0
			for b.Loop() {
				router := routers[n%len(routers)]
				sendOnly(router)
				n++
			}
			b.ReportMetric(size(b, &routers[0].heartbeat), "beat-bytes")
			b.ReportMetric(size(b, sendOnly(routers[0])), "answer-bytes")
			qt.Assert(b, len(h.pending), qt.Equals, 0)
		})
	}
}

// BenchmarkTick measures the leader's work at each tick of 25 ms, which includes
// the update of the mean loads once a second.
func BenchmarkTick(b *testing.B) {
	for _, sessions := range []int{100, 300, 1000} {
		b.Run(fmt.Sprintf("sessions=%d", sessions), func(b *testing.B) {
			h, routers := newFleet(b, sessions, maxShards)
			n := 0
			for b.Loop() {
				b.StopTimer()
				if n%12 == 0 {
					for _, router := range routers {
						sendOnly(router)
					}
				}
				n++
				b.StartTimer()
				h.tick()
			}
		})
	}
}

// BenchmarkTakeover measures the loss of a tenth of all sessions, with their
// shards. Each iteration loses another tenth.
func BenchmarkTakeover(b *testing.B) {
	for _, sessions := range []int{100, 300, 1000} {
		b.Run(fmt.Sprintf("sessions=%d", sessions), func(b *testing.B) {
			h, routers := newFleet(b, sessions, maxShards)
			lost := len(routers) / 10
			var closing, granting, answering time.Duration
			bytes, rows, rounds := 0.0, 0, 0
			for b.Loop() {
				b.StopTimer()
				var numbers []uint64
				for _, router := range routers[:lost] {
					numbers = append(numbers, router.heartbeat.Session)
				}
				b.StartTimer()
				start := time.Now()
				h.propose(assigner.Command{Close: &assigner.Close{Sessions: numbers, Lapsed: true}})
				closed := time.Now()
				h.tick()
				h.commit()
				granted := time.Now()
				var response *messenger.HeartbeatResponse
				for _, router := range routers[lost:] {
					response = sendOnly(router)
				}
				answered := time.Now()
				b.StopTimer()
				rows = len(response.Delta.Shards)
				bytes = size(b, response)
				closing += closed.Sub(start)
				granting += granted.Sub(closed)
				answering += answered.Sub(granted)
				rounds++
				for _, router := range routers[:lost] {
					router.heartbeat.Session, router.heartbeat.Revision = 0, 0
					router.heartbeat.Instance++
				}
				settle(h, routers)
				routers = slices.Concat(routers[lost:], routers[:lost])
				b.StartTimer()
			}
			count := float64(rounds)
			b.ReportMetric(closing.Seconds()*1e3/count, "close-ms")
			b.ReportMetric(granting.Seconds()*1e3/count, "grant-ms")
			b.ReportMetric(answering.Seconds()*1e3/count, "answers-ms")
			b.ReportMetric(bytes, "answer-bytes")
			b.ReportMetric(float64(rows), "rows")
		})
	}
}

// settle lets all routers open sessions and get shards again.
func settle(h *harness, routers []*fakeRouter) {
	for n := range 120 {
		h.tick()
		for _, router := range routers {
			if n%12 == 11 {
				sendOnly(router)
			}
		}
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, shards := range []uint32{4096, 16_384, maxShards} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			h, _ := newFleet(b, 1000, shards)
			var data []byte
			for b.Loop() {
				var err error
				data, err = h.machine.Snapshot()
				qt.Assert(b, err, qt.IsNil)
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}

func BenchmarkFullDelta(b *testing.B) {
	for _, shards := range []uint32{4096, 16_384, maxShards} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			_, routers := newFleet(b, 1000, shards)
			bytes := 0.0
			for b.Loop() {
				routers[0].heartbeat.Revision = 0
				bytes = 0
				for more := true; more; {
					response := sendOnly(routers[0])
					more = response.More
					b.StopTimer()
					bytes += size(b, response)
					b.StartTimer()
				}
			}
			b.ReportMetric(bytes, "bytes")
		})
	}
}
