package relayer

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/pacer"
	"marigoldhill/router/estimator"
	"marigoldhill/router/queuer"
)

// linkFullInterval is the minimum time between two events for a full link.
const linkFullInterval = time.Second

// ownerLink takes the link of the VM into account when an Owner admits requests. A nil
// *ownerLink counts nothing and refuses nothing. Its methods are safe for concurrent use.
type ownerLink struct {
	outbound  *pacer.Bucket
	admission *queuer.Admission
	log       *logger.Log
	refusals  *metrics.Counter

	mu        sync.Mutex
	estimates *estimator.Estimator
	// loggedAt is when the link was last logged as full.
	loggedAt time.Time
}

// newOwnerLink returns an ownerLink, or nil if the link has no known rate.
func newOwnerLink(options OwnerOptions) *ownerLink {
	if options.Outbound == nil || options.Outbound.Rate() == 0 {
		return nil
	}
	l := &ownerLink{
		outbound:  options.Outbound,
		admission: options.Admission,
		log:       options.Log,
		refusals:  options.Metrics.GetOrCreateCounter("marigold_link_refusals_total"),
		estimates: estimator.New(options.Outbound.Rate()),
	}
	options.Metrics.GetOrCreateGauge("marigold_link_backlog_seconds", func() float64 { return l.outbound.Backlog(time.Now()).Seconds() })
	options.Metrics.GetOrCreateGauge("marigold_link_rate", l.capacity)
	return l
}

// arrive counts a request that arrives and returns the expected delay of its answer.
func (l *ownerLink) arrive(job queuer.Job) time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	l.estimates.Arrive(l.admission.Now(), job.Rank, job.Kind)
	l.mu.Unlock()
	return l.delay(job, true)
}

// delay returns the expected delay of the answer of a job. queued is set for a job that has
// no slot yet.
func (l *ownerLink) delay(job queuer.Job, queued bool) time.Duration {
	cost, now := l.admission.Cost(job.Kind), l.admission.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.estimates.Delay(now, l.observe(now), estimator.Answer{Route: job.Kind, Rank: job.Rank, Queued: queued, After: cost})
}

// observe returns the state of the link and counts what was written to it. The caller holds
// mu.
func (l *ownerLink) observe(now time.Duration) pacer.Load {
	load := l.outbound.Load(time.Now())
	l.estimates.Observe(now, load)
	return load
}

// acquire waits for a slot, or refuses the job. The expected delay is determined again when
// the job has a slot, since the link may have filled while it waited.
func (l *ownerLink) acquire(ctx context.Context, admission *queuer.Admission, job queuer.Job) (*queuer.Slot, *queuer.Refusal) {
	if l == nil {
		return admission.Acquire(ctx, job)
	}
	job.Delay = l.delay(job, true)
	l.mu.Lock()
	l.estimates.Wait(job.Rank, job.Kind)
	l.mu.Unlock()
	slot, refused := admission.Acquire(ctx, job)
	l.mu.Lock()
	l.estimates.Leave(job.Rank, job.Kind)
	l.mu.Unlock()
	if refused == nil {
		job.Delay = l.delay(job, false)
		if refused = job.CheckDelay(admission.Now(), 0, slot.Cost()); refused != nil {
			slot.Release(false)
			slot = nil
		}
	}
	l.countRefusal(refused)
	return slot, refused
}

// countRefusal counts a refusal if it is for the link. The event for a full link is limited
// to one per linkFullInterval.
func (l *ownerLink) countRefusal(refused *queuer.Refusal) {
	if l == nil || refused == nil || !refused.Link {
		return
	}
	l.refusals.Inc()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loggedAt.IsZero() && time.Since(l.loggedAt) < linkFullInterval {
		return
	}
	l.loggedAt = time.Now()
	now := l.admission.Now()
	load := l.observe(now)
	l.log.Emit(logger.LinkFull, "backlog", load.Backlog, "rate", l.estimates.Capacity(now), "expected", l.estimates.Expected())
}

// start counts a request that is sent to the backend server. The result must be called with
// the response once it is ready; it returns the body to be sent.
func (l *ownerLink) start(relay *messenger.Relay) func(*messenger.RelayResponse, io.ReadCloser) io.ReadCloser {
	if l == nil {
		return func(_ *messenger.RelayResponse, body io.ReadCloser) io.ReadCloser { return body }
	}
	l.mu.Lock()
	l.estimates.Start(relay.Route)
	l.mu.Unlock()
	return func(response *messenger.RelayResponse, body io.ReadCloser) io.ReadCloser {
		return l.finish(relay, response, body)
	}
}

// finish counts the end of a request and the size of its answer.
func (l *ownerLink) finish(relay *messenger.Relay, response *messenger.RelayResponse, body io.ReadCloser) io.ReadCloser {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.estimates.End(relay.Route)
	if body == nil {
		return nil
	}
	size := headerSize(response.Header)
	if response.Length < 0 && relay.Method != http.MethodHead {
		return &countedBody{ReadCloser: body, size: size, record: func(size int64) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.estimates.Record(l.admission.Now(), relay.Route, size)
		}}
	}
	if relay.Method != http.MethodHead {
		size += response.Length
	}
	l.estimates.Record(l.admission.Now(), relay.Route, size)
	return body
}

// headerSize returns the approximate size in bytes of header fields.
func headerSize(header []messenger.Header) int64 {
	size := 0
	for _, field := range header {
		for _, value := range field.Values {
			size += len(field.Name) + len(value) + len(": \r\n")
		}
	}
	return int64(size)
}

// limit returns the rate in requests per second that the link can carry and the expected
// delay of one more answer, or 0 if the link is not nearly full.
func (l *ownerLink) limit() (limit float64, wait time.Duration) {
	if l == nil {
		return 0, 0
	}
	now, pace := l.admission.Now(), l.admission.Work().Pace
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.estimates.Limit(now, l.observe(now), pace)
}

// capacity returns the rate in requests per second that the link can carry, or 0 if it is
// not known.
func (l *ownerLink) capacity() float64 {
	now := l.admission.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observe(now)
	return l.estimates.Capacity(now)
}

// tighten reports the limit of the link in the load of the backend server where it is
// tighter than the server's own limit.
func (l *ownerLink) tighten(work *messenger.ServerWork) {
	limit, wait := l.limit()
	if limit == 0 {
		return
	}
	if work.Limit == 0 || float32(limit) < work.Limit {
		work.Limit = float32(limit)
	}
	work.LimitWait = max(work.LimitWait, wait)
}

// LinkLimit returns the rate in requests per second that the link of the VM can carry, or 0
// if the link is not nearly full.
func (o *Owner) LinkLimit() float64 {
	limit, _ := o.link.limit()
	return limit
}

// countedBody is the body of an answer of unknown length. It records its size when it has
// been read completely.
type countedBody struct {
	io.ReadCloser
	size   int64
	record func(size int64)
}

// Read implements io.Reader.
func (b *countedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	b.size += int64(n)
	if err == io.EOF && b.record != nil {
		b.record(b.size)
		b.record = nil
	}
	return n, err
}
