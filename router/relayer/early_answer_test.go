package relayer_test

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/listener"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
	"marigoldhill/router/acceptor"
	"marigoldhill/router/budgeter"
	"marigoldhill/router/dispatcher"
	"marigoldhill/router/mapper"
	"marigoldhill/router/relayer"
	"marigoldhill/router/requester"
)

// receivedUpload is the body of a request as a backend server has read it.
type receivedUpload struct {
	data []byte
	err  error
}

// newUploadRouter starts a router for callers and a backend server, beside the same router or
// beside another one. It returns the address for callers.
func newUploadRouter(t *testing.T, remote bool, handler http.HandlerFunc) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.Header().Set(messenger.HeaderRequestNumber, r.Header.Get(messenger.HeaderRequestNumber))
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	backend := requester.New(requester.Options{Network: networker.TCP{}, HeaderCodec: dispatcher.HeaderCodec{}})
	o := newTestOwnerWith(redirect{backend, server.Listener.Addr().String()})
	route := messenger.PathRoute{Name: "upload", Host: "desk", Prefix: "/", Treatment: messenger.Treatment{Timeout: 5 * time.Second, Aim: 4 * time.Second, Attempts: 1}}
	entry := newLinkedEntry(t, o, remote, route, messenger.RoutedService{Name: "findings"})
	network := &listener.GuardNetwork{Network: networker.TCP{}}
	socket, err := network.Listen("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	callers := &http.Server{Handler: network.Guard.Handler(acceptor.Routed("r1", entry)), ConnState: network.Guard.ConnState, ConnContext: network.Guard.ConnContext}
	go func() { _ = callers.Serve(socket) }()
	t.Cleanup(func() { _ = callers.Close() })
	return socket.Addr().String()
}

// newLinkedEntry returns an Entry with one route to one service. Its server is that of o, beside the
// router of the Entry or beside another one.
func newLinkedEntry(t *testing.T, o *testOwner, remote bool, route messenger.PathRoute, service messenger.RoutedService) *relayer.Entry {
	hello := messenger.Hello{Cluster: "test", Version: messenger.Version, Role: messenger.RoleRouter, Name: "r2", Invites: true, Replies: true}
	peer, err := linker.Listen(networker.TCP{}, "127.0.0.1:0", linker.Options{Hello: hello, Handler: o.Handle})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = peer.Close() })
	pool := linker.NewPool(networker.TCP{}, linker.Options{Hello: hello})
	t.Cleanup(pool.Close)
	session := uint64(ownSession)
	if remote {
		session++
	}
	route.Parts = []messenger.RoutePart{{Service: service.Name, Weight: 1}}
	delta := &messenger.TableDelta{
		Full: true, To: 1,
		Configuration: &messenger.Configuration{Version: 1, Routes: []messenger.PathRoute{route}, Services: []messenger.RoutedService{service}},
		Sessions:      []messenger.SessionRow{{Session: session, Router: "r2", Address: peer.Address(), Server: &messenger.ServerRow{Name: "s1", Service: service.Name, Slots: 1}}},
	}
	if service.Ranged {
		delta.Ranges = []messenger.RangeRow{{Service: service.Name, To: 99, Phase: messenger.PhaseOwned, Owner: session, Fence: 2}}
	}
	routes := mapper.New()
	qt.Assert(t, routes.Apply(delta), qt.IsNil)
	return relayer.NewEntry(relayer.EntryOptions{
		Mapper: routes, Owner: o.Owner, Opener: pool, Session: func() uint64 { return ownSession }, RequestUpdate: func() {},
		ConfigurationAge: func() time.Duration { return 0 },
		Budget:           budgeter.New(budgeter.Settings{Ratio: 1, Reserve: 10, Window: 10 * time.Second}),
		Log:              logger.Discard(), Metrics: metrics.NewSet(),
	})
}

// uploader is a caller with one connection.
type uploader struct {
	conn   net.Conn
	reader *bufio.Reader
}

func newUploader(t *testing.T, address string) *uploader {
	conn, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	qt.Assert(t, conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	return &uploader{conn, bufio.NewReader(conn)}
}

// upload sends a body in pieces while it reads the answer. The last withheld bytes are sent
// after the answer.
func (u *uploader) upload(body []byte, chunked bool, withheld int) (status int, answer []byte, err error) {
	length := fmt.Sprintf("Content-Length: %d", len(body))
	if chunked {
		length = "Transfer-Encoding: chunked"
	}
	sent := make(chan struct{})
	send := func(data []byte) {
		for part := range slices.Chunk(data, 8000) {
			if chunked {
				part = fmt.Appendf(nil, "%x\r\n%s\r\n", len(part), part)
			}
			if _, err := u.conn.Write(part); err != nil {
				return
			}
			time.Sleep(200 * time.Microsecond)
		}
	}
	go func() {
		defer close(sent)
		_, _ = fmt.Fprintf(u.conn, "POST /x HTTP/1.1\r\nHost: desk\r\n%s\r\n\r\n", length)
		send(body[:len(body)-withheld])
		if chunked && withheld == 0 {
			_, _ = io.WriteString(u.conn, "0\r\n\r\n")
		}
	}()
	response, err := http.ReadResponse(u.reader, nil)
	if err != nil {
		return 0, nil, err
	}
	answer, err = io.ReadAll(response.Body)
	<-sent
	send(body[len(body)-withheld:])
	if chunked && withheld > 0 {
		_, _ = io.WriteString(u.conn, "0\r\n\r\n")
	}
	return response.StatusCode, answer, err
}

func randomBody(seed string, size int) []byte {
	body := make([]byte, size)
	seeded := rand.NewChaCha8(sha256.Sum256([]byte(seed)))
	_, _ = seeded.Read(body)
	return body
}

func eachUpload(t *testing.T, run func(t *testing.T, remote, chunked bool, size int)) {
	for _, remote := range []bool{false, true} {
		for _, chunked := range []bool{false, true} {
			for _, size := range []int{30_000, 360_000, 1_000_000} {
				t.Run(fmt.Sprintf("remote=%t/chunked=%t/%d", remote, chunked, size), func(t *testing.T) { run(t, remote, chunked, size) })
			}
		}
	}
}

// Guards against a body that loses a part, and an answer that is cut off, when the answer begins
// before the body was sent.
func TestBodyIsWholeWhenTheAnswerBeginsEarly(t *testing.T) {
	eachUpload(t, func(t *testing.T, remote, chunked bool, size int) {
		received := make(chan receivedUpload, 1)
		answer := bytes.Repeat([]byte("report. "), 2000)
		for _, answerLength := range []int{-1, len(answer)} {
			address := newUploadRouter(t, remote, func(w http.ResponseWriter, r *http.Request) {
				if answerLength >= 0 {
					w.Header().Set("Content-Length", fmt.Sprint(answerLength))
				}
				_, _ = w.Write(answer[:9000])
				_ = http.NewResponseController(w).Flush()
				data, err := io.ReadAll(r.Body)
				received <- receivedUpload{data, err}
				_, _ = w.Write(answer[9000:])
			})
			caller := newUploader(t, address)
			for n := range 3 { // on one connection
				body := randomBody(fmt.Sprint(n), size)
				status, got, err := caller.upload(body, chunked, 0)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, status, qt.Equals, http.StatusOK)
				qt.Check(t, bytes.Equal(got, answer), qt.IsTrue, qt.Commentf("%d bytes of the answer", len(got)))
				upload := <-received
				qt.Check(t, upload.err, qt.IsNil)
				qt.Check(t, bytes.Equal(upload.data, body), qt.IsTrue, qt.Commentf("the backend server got %d bytes", len(upload.data)))
			}
		}
	})
}

// Guards against an answer that waits in a buffer while its caller waits for it to send on.
func TestEarlyAnswerIsDeliveredWhileTheBodyIsSent(t *testing.T) {
	for _, remote := range []bool{false, true} {
		address := newUploadRouter(t, remote, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "go on")
			_ = http.NewResponseController(w).Flush()
			_, _ = io.Copy(w, io.LimitReader(r.Body, 10))
			_, _ = io.Copy(io.Discard, r.Body)
		})
		caller := newUploader(t, address)
		const first, rest = 300_000, 1000
		_, _ = fmt.Fprintf(caller.conn, "POST /x HTTP/1.1\r\nHost: desk\r\nContent-Length: %d\r\n\r\n%s", first+rest, strings.Repeat("a", first))
		response, err := http.ReadResponse(caller.reader, nil)
		qt.Assert(t, err, qt.IsNil)
		_, err = io.ReadFull(response.Body, make([]byte, len("go on")))
		qt.Assert(t, err, qt.IsNil)
		_, _ = io.WriteString(caller.conn, strings.Repeat("b", rest))
		data, err := io.ReadAll(response.Body)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, string(data), qt.Equals, "aaaaaaaaaa")
	}
}

// Guards against the rest of a body that is taken for the next request, and against readers that
// outlive their request, when the answer ends before the body was sent.
func TestAnswerThatEndsBeforeTheBodyLeavesNothingBehind(t *testing.T) {
	smuggled := "GET /smuggled HTTP/1.1\r\nHost: desk\r\n\r\n"
	eachUpload(t, func(t *testing.T, remote, chunked bool, size int) {
		if size < 1_000_000 {
			return // too much of it is received before the request is sent
		}
		for _, ending := range []string{"length", "chunks", "close", "abort"} {
			received := make(chan receivedUpload, 10)
			address := newUploadRouter(t, remote, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/x" {
					t.Errorf("%s: %s was run", ending, r.URL.Path)
				}
				if ending == "close" {
					w.Header().Set("Connection", "close")
				}
				if ending != "chunks" {
					w.Header().Set("Content-Length", "100000")
				}
				_, _ = w.Write(make([]byte, 50_000))
				_ = http.NewResponseController(w).Flush()
				if ending == "abort" {
					panic(http.ErrAbortHandler)
				}
				_, _ = w.Write(make([]byte, 50_000))
				_ = http.NewResponseController(w).Flush()
				if ending == "chunks" {
					return // the last chunk is sent now
				}
				data, err := io.ReadAll(r.Body)
				received <- receivedUpload{data, err}
			})
			body := append(randomBody("x", size-len(smuggled)), smuggled...)
			for _, withheld := range []int{len(smuggled), len(body) - 300_000} {
				caller := newUploader(t, address)
				status, got, err := caller.upload(body, chunked, withheld)
				qt.Check(t, status, qt.Equals, http.StatusOK)
				if ending == "abort" {
					qt.Check(t, err, qt.IsNotNil)
				} else {
					qt.Check(t, err, qt.IsNil, qt.Commentf("%s, %d withheld", ending, withheld))
					qt.Check(t, len(got), qt.Equals, 100_000)
				}
				// The connection serves another request, or has ended.
				_, _ = io.WriteString(caller.conn, strings.ReplaceAll(smuggled, "/smuggled", "/x"))
				if response, err := http.ReadResponse(caller.reader, nil); err == nil {
					qt.Check(t, response.StatusCode, qt.Equals, http.StatusOK)
				}
				_ = caller.conn.Close()
			}
			for range len(received) {
				if upload := <-received; upload.err == nil && len(upload.data) > 0 {
					qt.Check(t, bytes.Equal(upload.data, body), qt.IsTrue, qt.Commentf("%s: %d bytes were a whole body", ending, len(upload.data)))
				}
			}
			waitForReaders(t, ending)
		}
	})
}

// waitForReaders waits until no goroutine reads the body of a request.
func waitForReaders(t *testing.T, name string) {
	stacks := make([]byte, 1<<20)
	for deadline := time.Now().Add(3 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		running := string(stacks[:runtime.Stack(stacks, true)])
		if !strings.Contains(running, "sendBody") && !strings.Contains(running, "requestBody") && !strings.Contains(running, "receivedBody") {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: a body is still read:\n%s", name, running)
		}
	}
}
