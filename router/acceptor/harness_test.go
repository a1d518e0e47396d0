package acceptor_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/acceptor"
	"marigoldhill/router/executor"
	"marigoldhill/router/locator"
)

type fakeLease bool

func (l fakeLease) Alive(timer.Instant) bool { return bool(l) }
func (l fakeLease) Session() uint64          { return 1 }

// fakeForwarder keeps the last request and answers as told.
type fakeForwarder struct {
	got    *messenger.Request
	left   time.Duration
	body   string
	failed error
	// early answers without reading the body.
	early  bool
	answer func(ctx context.Context, request *messenger.Request) executor.Answer
}

func (f *fakeForwarder) Forward(ctx context.Context, request *messenger.Request, _ *messenger.Profile, body io.Reader) executor.Answer {
	deadline, _ := ctx.Deadline()
	f.got, f.left = request, time.Until(deadline)
	if f.early {
		return f.answer(ctx, request)
	}
	data, err := io.ReadAll(body)
	f.body, f.failed = string(data), err
	if err != nil {
		return answerOf(messenger.OutcomeRefused, messenger.ReasonCanceled)
	}
	if f.answer != nil {
		return f.answer(ctx, request)
	}
	return doneWith("ok", nil)
}

func answerOf(outcome messenger.Outcome, reason messenger.Reason) executor.Answer {
	return executor.Answer{Response: messenger.Response{Outcome: outcome, Reason: reason}}
}

func doneWith(text string, header []messenger.Header) executor.Answer {
	return executor.Answer{
		Response: messenger.Response{Outcome: messenger.OutcomeDone, Status: http.StatusOK, Server: "d1",
			Length: int64(len(text)), Header: header},
		Body: io.NopCloser(strings.NewReader(text)),
	}
}

type rig struct {
	forwarder *fakeForwarder
	acceptor  *acceptor.Acceptor
	metrics   *metrics.Set
}

func newRig(t *testing.T, lease fakeLease) *rig {
	r := &rig{forwarder: &fakeForwarder{}, metrics: metrics.NewSet()}
	table := locator.New(metrics.NewSet())
	qt.Assert(t, table.Apply(&messenger.TableDelta{
		Full:     true,
		To:       1,
		Profiles: []messenger.Profile{{Name: "any", Deadline: 5 * time.Second}},
		Services: []messenger.Service{{Name: "findings", Shards: 16, Routes: []messenger.Route{{Profile: "any"}}}},
	}), qt.IsNil)
	r.acceptor = acceptor.New(acceptor.Settings{Listen: "127.0.0.1:0", MaxBody: 1 << 20, Name: "r1"}, acceptor.Options{
		Network: networker.TCP{}, Locator: table, Forwarder: r.forwarder, Lease: lease,
		Log: logger.Discard(), Metrics: r.metrics})
	qt.Assert(t, r.acceptor.Start(t.Context(), nil), qt.IsNil)
	t.Cleanup(func() { _ = r.acceptor.Stop(context.Background()) })
	return r
}

// reply is an answer as a caller sees it.
type reply struct {
	status  int
	header  http.Header
	body    string
	problem messenger.Problem
	// cut says that the connection ended before the answer.
	cut bool
}

// send writes raw bytes and reads one answer.
func (r *rig) send(t *testing.T, raw string) reply {
	conn, err := net.Dial("tcp", r.acceptor.Address())
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	go func() { _, _ = io.WriteString(conn, raw) }()
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return reply{cut: true}
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	got := reply{status: answer.StatusCode, header: answer.Header, body: string(data), cut: err != nil}
	if answer.Header.Get("Content-Type") == "application/problem+json" {
		qt.Assert(t, json.Unmarshal(data, &got.problem), qt.IsNil)
	}
	return got
}

// get sends a GET of a raw path with extra header lines.
func (r *rig) get(t *testing.T, path string, lines ...string) reply {
	return r.send(t, "GET "+path+" HTTP/1.1\r\nHost: x\r\n"+strings.Join(append(lines, ""), "\r\n")+"\r\n")
}

func (r *rig) counted(outcome messenger.Outcome, reason messenger.Reason) uint64 {
	return r.metrics.GetOrCreateCounter(fmt.Sprintf("marigold_requests_total{outcome=%q,reason=%q}", outcome, reason)).Get()
}
