package listener

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// maxDrainBytes is how much of a body is read after the response to keep its connection.
	maxDrainBytes = 256 << 10
	// drainTimeout limits the time for that, bufferedTimeout where the end of the response can
	// be written only afterwards. What has arrived of the body takes no longer.
	drainTimeout    = 500 * time.Millisecond
	bufferedTimeout = 5 * time.Millisecond
)

// errHandled is the error of reads from a body after its handler has returned.
var errHandled = errors.New("read from a request body after its handler has returned")

// requestBody is the body of a request until its handler returns. The handler, and goroutines
// that it has started, are its only reader, also while the response is written. Afterwards
// their reads fail, and the connection is used for another request only if the body was read
// to its end.
type requestBody struct {
	io.ReadCloser
	request *http.Request
	conn    *guardedConn
	control *http.ResponseController

	mu      sync.Mutex
	changed sync.Cond
	// reading is set while a read waits for the client.
	reading bool
	// handled is set when the handler has returned.
	handled bool
	// complete is set at the end of the body, after received bytes of it.
	complete bool
	received int64
	// responded is set when the whole response has been written to the connection.
	responded bool
}

// takeBody returns a request whose body is the returned requestBody, or nil if it has none. It
// is a copy, as net/http decides by the type of the body whether the connection can be used
// again.
func (c *guardedConn) takeBody(w http.ResponseWriter, r *http.Request) (*http.Request, *requestBody) {
	if c == nil || !hasBody(r) {
		return r, nil
	}
	body := &requestBody{ReadCloser: r.Body, request: r, conn: c, control: http.NewResponseController(w)}
	body.changed.L = &body.mu
	// Otherwise net/http reads and discards a part of the body before the response. HTTP/1
	// supports it.
	_ = body.control.EnableFullDuplex()
	copied := r.WithContext(r.Context())
	copied.Body = body
	if c.account != nil && c.guard.options.BodyCost > 0 {
		copied.Body = &meteredBody{ReadCloser: body, account: c.account, cost: c.guard.options.BodyCost}
	}
	return copied, body
}

// Read implements [io.Reader].
func (b *requestBody) Read(data []byte) (int, error) {
	b.mu.Lock()
	for b.reading && !b.handled {
		b.changed.Wait()
	}
	if b.handled {
		b.mu.Unlock()
		return 0, errHandled
	}
	b.reading = true
	b.mu.Unlock()
	n, err := b.ReadCloser.Read(data)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading = false
	b.received += int64(n)
	b.complete = b.complete || err == io.EOF
	b.changed.Broadcast()
	if b.handled {
		return 0, errHandled
	}
	return n, err
}

// Close implements [io.Closer]. It has no effect: the body ends with its handler.
func (b *requestBody) Close() error {
	return nil
}

// end makes further reads of the handler fail, and reports whether the body was read to its
// end.
func (b *requestBody) end() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handled = true
	b.changed.Broadcast()
	return b.complete && !b.reading
}

// waitForRead waits until no read waits for the client.
func (b *requestBody) waitForRead() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.reading {
		b.changed.Wait()
	}
}

// drain reads the rest of a body after its response, so that its connection can be used again.
func (b *requestBody) drain(w http.ResponseWriter) {
	if b == nil || b.end() {
		return
	}
	header := w.Header()
	timeout := bufferedTimeout
	if header.Get("Content-Length") != "" && b.control.Flush() == nil {
		b.responded = true
		timeout = drainTimeout
	}
	// The connection ends in any case, or the client may not send a body at all.
	if b.request.Close || header.Get("Connection") == "close" || b.request.Header.Get("Expect") != "" {
		return
	}
	if b.control.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return
	}
	b.waitForRead()
	_, err := io.CopyN(io.Discard, b.ReadCloser, maxDrainBytes)
	if err != io.EOF {
		return
	}
	// At the end of the body net/http has begun to wait for the next request.
	_ = b.control.SetReadDeadline(time.Time{})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.complete = true
}

// release ends the connection unless the body was read to its end, and waits until nothing
// reads the body. It must be called when the handler has returned.
func (b *requestBody) release() {
	// The context of the request ends when a read of its connection has failed.
	if b == nil || b.end() && b.request.Context().Err() == nil {
		return
	}
	b.conn.end()
	b.waitForRead()
	if b.responded {
		b.conn.linger()
	}
}

// StopReading makes reads of the body of a request fail. It must be called before the header of
// a response is written that does not depend on the rest of the body, such as a refusal.
func StopReading(w http.ResponseWriter, r *http.Request) {
	body, ok := r.Body.(*requestBody)
	if !ok || body.end() {
		return
	}
	if r.ContentLength-body.receivedBytes() > maxDrainBytes {
		// The client must not send another request on the connection.
		w.Header().Set("Connection", "close")
	}
}

func (b *requestBody) receivedBytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.received
}

// isComplete reports whether the body was read to its end.
func (b *requestBody) isComplete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.complete
}

// IsArriving reports whether the body of a request has not been read to its end.
func IsArriving(r *http.Request) bool {
	body, ok := r.Body.(*requestBody)
	return ok && !body.isComplete()
}
