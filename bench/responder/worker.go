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
	// HeaderSend tells the sends of one request apart; it is echoed in Result.
	HeaderSend = "Bench-Send"
	// RouteCrash is the route of requests that crash the server.
	RouteCrash = "crash"
	// coldFactor is how much longer work takes at the very start.
	coldFactor = 4
	// workMax bounds the work that a request may ask for.
	workMax = time.Minute
	// sizeMax bounds the padding that a request may ask for, in bytes.
	sizeMax = 16 << 20
)

// Result is the body of an answer.
type Result struct {
	Server string `json:"server"`
	Key    string `json:"key"`
	Route  string `json:"route"`
	// Number is the Idempotency-Key of the request.
	Number string `json:"number"`
	// Send is the caller's HeaderSend.
	Send string `json:"send,omitempty"`
	// Runs is how often the request with this key and number ran here.
	Runs  int    `json:"runs"`
	Fence uint64 `json:"fence"`
	// Received is the length of the body of the request in bytes.
	Received int64  `json:"received"`
	Padding  string `json:"padding,omitempty"`
}

// worker runs requests in the slots of one life.
type worker struct {
	server *Server
	life   *life
}

// order is one request as the worker understands it.
type order struct {
	run      RunKey
	route    string
	shard    shardKey
	fence    uint64
	fenced   bool
	deadline time.Time
	work     time.Duration
	size     int
}

// serve runs one request.
func (w worker) serve(c echo.Context) error {
	order, err := w.parse(c.Request())
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if refusal := w.check(order); refusal != "" {
		return refuse(c, refusal)
	}
	ctx := c.Request().Context()
	refusal, err := w.enter(ctx)
	if err != nil {
		return err
	}
	if refusal != "" {
		return refuse(c, refusal)
	}
	defer w.exit()
	if refusal := w.check(order); refusal != "" {
		return refuse(c, refusal)
	}
	if watch := w.server.settings.Watch; watch != nil {
		defer watch(c.Request())()
	}
	runs := w.server.ledger.Add(order.run)
	if order.route == RouteCrash {
		w.server.Crash()
		return nil
	}
	return w.finish(c, order, runs)
}

// finish reads the body, spends the work time and answers.
func (w worker) finish(c echo.Context, order order, runs int) error {
	received, err := io.Copy(io.Discard, c.Request().Body)
	if err != nil {
		return Error.New("reading the body: %w", err)
	}
	ctx := c.Request().Context()
	if err := sleep(ctx, w.workTime(order)); err != nil {
		return err
	}
	w.server.gate.passContext(ctx)
	result := Result{
		Server: w.server.settings.Name, Key: order.run.Key, Route: order.route,
		Number: order.run.Number, Send: c.Request().Header.Get(HeaderSend),
		Runs: runs, Fence: order.fence, Received: received,
		Padding: strings.Repeat("x", order.size),
	}
	body, err := json.Marshal(result)
	if err != nil {
		return Error.New("encoding the answer: %w", err)
	}
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, append(body, '\n'))
}

// parse reads the key, the grant, the deadline and the wishes of a request.
func (w worker) parse(request *http.Request) (order, error) {
	path := strings.TrimPrefix(request.URL.EscapedPath(), "/")
	segment, route, _ := strings.Cut(path, "/")
	key, err := url.PathUnescape(segment)
	if err != nil {
		return order{}, Error.New("decoding the key: %w", err)
	}
	header := request.Header
	found := order{
		run:   RunKey{Key: key, Number: header.Get(messenger.HeaderIdempotency)},
		route: route,
		work:  w.server.settings.Work,
	}
	if fence, err := strconv.ParseUint(header.Get(messenger.HeaderFence), 10, 64); err == nil {
		shard, _ := strconv.ParseUint(header.Get(messenger.HeaderShard), 10, 32)
		found.fence, found.fenced = fence, true
		found.shard = shardKey{service: w.server.settings.Service, shard: uint32(shard)}
	}
	if milliseconds, err := strconv.ParseInt(header.Get(messenger.HeaderDeadline), 10, 64); err == nil {
		found.deadline = time.UnixMilli(milliseconds)
	}
	query := request.URL.Query()
	if work, err := time.ParseDuration(query.Get("work")); err == nil {
		found.work = min(max(work, 0), workMax)
	}
	if size, err := strconv.Atoi(query.Get("size")); err == nil {
		found.size = min(max(size, 0), sizeMax)
	}
	return found, nil
}

// check says why an order must not be run, or nothing.
func (w worker) check(order order) messenger.Refusal {
	settings := w.server.settings
	if settings.Fences && order.fenced && !w.life.fences.admit(order.shard, order.fence) {
		return messenger.RefusalFence
	}
	late := !order.deadline.IsZero() && time.Now().After(order.deadline)
	if settings.Deadlines && late {
		return messenger.RefusalDeadline
	}
	return ""
}

// enter takes a slot, waits for one, or sheds.
func (w worker) enter(ctx context.Context) (messenger.Refusal, error) {
	select {
	case w.life.slots <- struct{}{}:
		w.life.running.Add(1)
		return "", nil
	default:
	}
	waiting := w.life.queued.Add(1)
	defer w.life.queued.Add(-1)
	if limit := w.server.settings.Queue; limit > 0 && waiting > int64(limit) {
		return messenger.RefusalShed, nil
	}
	select {
	case w.life.slots <- struct{}{}:
		w.life.running.Add(1)
		return "", nil
	case <-ctx.Done():
		return "", Error.New("waiting for a slot: %w", ctx.Err())
	}
}

func (w worker) exit() {
	w.life.running.Add(-1)
	<-w.life.slots
}

// workTime is the work of an order, longer while the server is cold.
func (w worker) workTime(order order) time.Duration {
	age, warmup := time.Since(w.life.born), w.server.settings.Warmup
	factor := max(w.server.settings.Slow, 1)
	if age < warmup {
		left := float64(warmup-age) / float64(warmup)
		factor *= 1 + left*(coldFactor-1)
	}
	return time.Duration(float64(order.work) * factor)
}

func refuse(c echo.Context, refusal messenger.Refusal) error {
	status := http.StatusServiceUnavailable
	if refusal == messenger.RefusalFence {
		status = http.StatusPreconditionFailed
	}
	c.Response().Header().Set(messenger.HeaderRefused, string(refusal))
	return c.NoContent(status)
}

func sleep(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return Error.New("working: %w", ctx.Err())
	}
}
