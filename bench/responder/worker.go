package responder

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"marigoldhill/kernel/messenger"
)

const (
	// HeaderSend identifies one send of a request among its resends. It is
	// returned in Result.
	HeaderSend = "Bench-Send"
	// RouteCrash is the route of a request that crashes the server.
	RouteCrash = "crash"
	// coldFactor multiplies processing times immediately after a start; it
	// falls linearly to 1 over Settings.Warmup.
	coldFactor = 4
	// maxWork limits the processing time that a request may specify.
	maxWork = time.Minute
	// maxPaddingBytes limits the response padding that a request may specify.
	maxPaddingBytes = 16 << 20
)

// Result is the body of a response.
type Result struct {
	Server string `json:"server"`
	Key    string `json:"key"`
	Route  string `json:"route"`
	// Number is the Idempotency-Key of the request.
	Number string `json:"number"`
	// Send is the value of HeaderSend in the request.
	Send string `json:"send,omitempty"`
	// Runs is how often the request with this key and number ran on this server.
	Runs  int    `json:"runs"`
	Fence uint64 `json:"fence"`
	// BodyBytes is the length of the request body in bytes.
	BodyBytes int64  `json:"received"`
	Padding   string `json:"padding,omitempty"`
}

// worker runs requests in the slots of an instance.
type worker struct {
	server   *Server
	instance *instance
}

// task is a parsed request.
type task struct {
	run          RunKey
	route        string
	shard        shardKey
	fence        uint64
	hasFence     bool
	deadline     time.Time
	work         time.Duration
	paddingBytes int
}

// serve handles one request.
func (w worker) serve(c echo.Context) error {
	task, err := w.parse(c.Request())
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if refusal := w.check(task); refusal != "" {
		return writeRefusal(c, refusal)
	}
	ctx := c.Request().Context()
	refusal, err := w.acquireSlot(ctx)
	if err != nil {
		return err
	}
	if refusal != "" {
		return writeRefusal(c, refusal)
	}
	defer w.releaseSlot()
	// While the request was queued, a newer fence may have arrived or the deadline may
	// have passed.
	if refusal := w.check(task); refusal != "" {
		return writeRefusal(c, refusal)
	}
	if onRun := w.server.settings.OnRun; onRun != nil {
		defer onRun(c.Request())()
	}
	runs := w.server.runCounter.Add(task.run)
	if task.route == RouteCrash {
		w.server.Crash()
		return nil
	}
	return w.execute(c, task, runs)
}

// execute reads the body, sleeps for the processing time and responds.
func (w worker) execute(c echo.Context, task task, runs int) error {
	received, err := io.Copy(io.Discard, c.Request().Body)
	if err != nil {
		return Error.New("reading the request body: %w", err)
	}
	ctx := c.Request().Context()
	if err := sleep(ctx, w.processingTime(task)); err != nil {
		return err
	}
	w.server.gate.waitContext(ctx)
	result := Result{
		Server: w.server.settings.Name, Key: task.run.Key, Route: task.route,
		Number: task.run.Number, Send: c.Request().Header.Get(HeaderSend),
		Runs: runs, Fence: task.fence, BodyBytes: received,
		Padding: strings.Repeat("x", task.paddingBytes),
	}
	body, err := json.Marshal(result)
	if err != nil {
		return Error.New("encoding the response: %w", err)
	}
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, append(body, '\n'))
}

// parse extracts the key, fence, deadline and the requested processing time and
// padding from a request.
func (w worker) parse(request *http.Request) (task, error) {
	path := strings.TrimPrefix(request.URL.EscapedPath(), "/")
	segment, route, _ := strings.Cut(path, "/")
	key, err := url.PathUnescape(segment)
	if err != nil {
		return task{}, Error.New("decoding the key: %w", err)
	}
	header := request.Header
	parsed := task{
		run:   RunKey{Key: key, Number: header.Get(messenger.HeaderIdempotencyKey)},
		route: route,
		work:  w.server.settings.Work,
	}
	if fence, err := strconv.ParseUint(header.Get(messenger.HeaderFence), 10, 64); err == nil {
		shard, _ := strconv.ParseUint(header.Get(messenger.HeaderShard), 10, 32)
		parsed.fence, parsed.hasFence = fence, true
		parsed.shard = shardKey{service: w.server.settings.Service, shard: uint32(shard)}
	}
	if milliseconds, err := strconv.ParseInt(header.Get(messenger.HeaderDeadline), 10, 64); err == nil {
		parsed.deadline = time.UnixMilli(milliseconds)
	}
	query := request.URL.Query()
	if work, err := time.ParseDuration(query.Get("work")); err == nil {
		parsed.work = min(max(work, 0), maxWork)
	}
	if paddingBytes, err := strconv.Atoi(query.Get("size")); err == nil {
		parsed.paddingBytes = min(max(paddingBytes, 0), maxPaddingBytes)
	}
	return parsed, nil
}

// check returns the reason why a task must not run, or "" if it may.
func (w worker) check(task task) messenger.Refusal {
	settings := w.server.settings
	if settings.Fences && task.hasFence && !w.instance.fences.accept(task.shard, task.fence) {
		return messenger.RefusalFence
	}
	expired := !task.deadline.IsZero() && time.Now().After(task.deadline)
	if settings.Deadlines && expired {
		return messenger.RefusalDeadline
	}
	return ""
}

// acquireSlot takes a slot, waiting for one if necessary. It sheds the request if
// the queue is full.
func (w worker) acquireSlot(ctx context.Context) (messenger.Refusal, error) {
	select {
	case w.instance.slots <- struct{}{}:
		w.instance.running.Add(1)
		return "", nil
	default:
	}
	waiting := w.instance.queued.Add(1)
	defer w.instance.queued.Add(-1)
	if limit := w.server.settings.Queue; limit > 0 && waiting > int64(limit) {
		return messenger.RefusalShed, nil
	}
	select {
	case w.instance.slots <- struct{}{}:
		w.instance.running.Add(1)
		return "", nil
	case <-ctx.Done():
		return "", Error.New("waiting for a slot: %w", ctx.Err())
	}
}

func (w worker) releaseSlot() {
	w.instance.running.Add(-1)
	<-w.instance.slots
}

// processingTime returns how long a task takes, including the slowdown of a cold
// server.
func (w worker) processingTime(task task) time.Duration {
	age, warmup := time.Since(w.instance.startedAt), w.server.settings.Warmup
	factor := max(w.server.settings.SlowFactor, 1)
	if age < warmup {
		remaining := float64(warmup-age) / float64(warmup)
		factor *= 1 + remaining*(coldFactor-1)
	}
	return time.Duration(float64(task.work) * factor)
}

func writeRefusal(c echo.Context, refusal messenger.Refusal) error {
	status := http.StatusServiceUnavailable
	if refusal == messenger.RefusalFence {
		status = http.StatusPreconditionFailed
	}
	c.Response().Header().Set(messenger.HeaderRefused, string(refusal))
	return c.NoContent(status)
}

func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return Error.New("processing the request: %w", ctx.Err())
	}
}
