package forwarder_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
	"marigoldhill/router/dispatcher"
	"marigoldhill/router/executor"
	"marigoldhill/router/forwarder"
)

// pacedBody is a body that arrives in pieces.
type pacedBody struct{ io.Reader }

func (b pacedBody) Read(data []byte) (int, error) {
	time.Sleep(100 * time.Microsecond)
	return b.Reader.Read(data[:min(len(data), 8000)])
}

// Guards against a body that loses a part in sharded mode when the answer begins before the body
// was sent.
func TestBodyIsWholeWhenTheAnswerBeginsEarly(t *testing.T) {
	answer := bytes.Repeat([]byte("report. "), 10_000)
	var received []byte
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.Header().Set(messenger.HeaderRequestNumber, r.Header.Get(messenger.HeaderRequestNumber))
		_, _ = w.Write(answer[:9000])
		_ = http.NewResponseController(w).Flush()
		received, _ = io.ReadAll(r.Body)
		_, _ = w.Write(answer[9000:])
	}))
	defer server.Close()
	backend := dispatcher.New(networker.TCP{})
	defer backend.Close()
	execute := func(ctx context.Context, request *messenger.Request, body io.Reader) executor.Answer {
		result := backend.Send(ctx, &dispatcher.ServerRequest{Server: &messenger.ServerRow{URL: server.URL}, Request: request, Body: body, Deadline: time.Now().Add(5 * time.Second)})
		result.Response.Number, result.Response.Outcome = request.Number, result.Outcome
		return executor.Answer{Response: result.Response, Body: result.Body}
	}
	for _, owner := range []uint64{entrySession, ownerSession} {
		r := newRouterPair(t, forwarder.Settings{})
		r.local.execute, r.remote.execute = execute, execute
		r.place(t, 2, messenger.PhaseOwned, owner)
		for _, size := range []int{30_000, 360_000, 1_000_000} {
			for _, length := range []int64{-1, int64(size)} {
				comment := qt.Commentf("owner %d, %d bytes, length %d", owner, size, length)
				body := bytes.Repeat([]byte("0123456789"), size/10)
				request := &messenger.Request{Number: fmt.Sprint(size, length), Service: "findings", Key: "k", Method: http.MethodPost, Length: length}
				got := r.entry.Forward(t.Context(), request, &messenger.Profile{Deadline: 5 * time.Second}, pacedBody{bytes.NewReader(body)})
				qt.Assert(t, got.Response.Outcome, qt.Equals, messenger.OutcomeDone, comment)
				data, err := io.ReadAll(got.Body)
				qt.Check(t, err, qt.IsNil, comment)
				got.Close()
				qt.Check(t, bytes.Equal(data, answer), qt.IsTrue, comment)
				qt.Check(t, bytes.Equal(received, body), qt.IsTrue, comment)
			}
		}
	}
}
