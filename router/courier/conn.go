package courier

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"marigoldhill/kernel/messenger"
)

// conn is a connection to the backend server.
type conn struct {
	raw     net.Conn
	address string
	reader  *bufio.Reader
	// idleSince is when the connection became idle, idleTimeout how long the server
	// keeps an idle connection open.
	idleSince   time.Time
	idleTimeout time.Duration
	// reusable is set when the connection can carry another request.
	reusable bool
	// bodyDone is closed when sendBody returns; nil when the body was sent with the
	// header.
	bodyDone chan struct{}
	// sent is set when the whole request was sent. It must not be read before bodyDone
	// is closed.
	sent      bool
	closeOnce sync.Once
	// open is the number of open connections of the client.
	open *atomic.Int64
}

const readBufferBytes = 4 << 10

func newConn(raw net.Conn, address string, open *atomic.Int64) *conn {
	open.Add(1)
	return &conn{raw: raw, address: address, open: open, reader: bufio.NewReaderSize(raw, readBufferBytes), idleTimeout: defaultIdleTimeout}
}

func (c *conn) close() {
	c.closeOnce.Do(func() {
		c.open.Add(-1)
		_ = c.raw.Close()
	})
}

// interrupt closes the connection and unblocks pending reads and writes.
func (c *conn) interrupt() {
	_ = c.raw.SetDeadline(time.Unix(1, 0))
	c.close()
}

// isUsable reports whether an idle connection can be reused: its idle timeout is not
// near, it is still open, and no unsolicited bytes arrived on it.
func (c *conn) isUsable() bool {
	if time.Since(c.idleSince) >= c.idleTimeout-idleCloseMargin || c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(descriptor uintptr) bool {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && usable
}

// roundTrip sends a request and reads the header of its response.
func (c *conn) roundTrip(client *Client, serverRequest *ServerRequest, body io.Reader) Result {
	c.reusable, c.bodyDone, c.sent = false, nil, false
	sent, err := c.writeRequest(client.options.HeaderCodec, serverRequest, body)
	if err != nil && sent == 0 {
		return refusedResult(messenger.ReasonDown, err)
	}
	// A server may respond before it has read the whole request, so a response is read
	// even after a failed write.
	for range maxUnmatched + 1 {
		response, failure := c.readResponse(serverRequest)
		if failure != nil {
			return unknownResult(messenger.ReasonCrashed, errors.Join(err, failure))
		}
		metadata := client.options.HeaderCodec.ParseHeader(response.StatusCode, response.Header)
		if metadata.ID == serverRequest.Relay.ID {
			return c.toResult(response, metadata)
		}
		client.count("strays")
		if metadata.ID == "" || !isFramed(response) {
			return unknownResult(messenger.ReasonTruncated, Error.New("response without the ID of the request"))
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return unknownResult(messenger.ReasonTruncated, Error.New("skipping a response to another request: %w", err))
		}
	}
	return unknownResult(messenger.ReasonTruncated, Error.New("too many responses to other requests"))
}

// readResponse reads the header of the next response and skips informational ones.
func (c *conn) readResponse(serverRequest *ServerRequest) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: serverRequest.Relay.Method})
		if err != nil {
			return nil, Error.New("reading the response: %w", err)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// isFramed reports whether the body ends before the connection does, so that another
// response can follow.
func isFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// toResult converts the response to the request into a Result.
func (c *conn) toResult(response *http.Response, metadata ResponseInfo) Result {
	result := Result{
		Outcome:      messenger.OutcomeDone,
		Sent:         true,
		ResponseInfo: metadata,
		Status:       response.StatusCode,
		Header:       response.Header,
		Length:       response.ContentLength,
		Body:         response.Body,
	}
	c.readKeepAlive(response)
	c.reusable = !response.Close && isFramed(response) && c.isSent()
	if !metadata.NotExecuted {
		return result
	}
	_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxInlineBodyBytes))
	c.reusable = c.reusable && err == nil && c.reader.Buffered() == 0
	result.Outcome = messenger.OutcomeRefused
	result.Reason = messenger.ReasonShed
	if metadata.Misdirected {
		result.Reason = messenger.ReasonFence
	}
	result.Body = nil
	return result
}

// isSent reports whether the whole request was sent.
func (c *conn) isSent() bool {
	if c.bodyDone == nil {
		return c.sent
	}
	select {
	case <-c.bodyDone:
		return c.sent
	default:
		return false
	}
}

// readKeepAlive stores the idle timeout of the server, if the response has one.
func (c *conn) readKeepAlive(response *http.Response) {
	for field := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if count, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			c.idleTimeout = time.Duration(count) * time.Second
		}
	}
}

// writeRequest sends a request and returns how many bytes were sent. A body that is
// large or of unknown length is sent in the background, while the response is awaited.
func (c *conn) writeRequest(codec HeaderCodec, serverRequest *ServerRequest, body io.Reader) (int, error) {
	relay := serverRequest.Relay
	var buffer bytes.Buffer
	fmt.Fprintf(&buffer, "%s %s HTTP/1.1\r\nHost: %s\r\n", relay.Method, relay.Target, relay.Host)
	header := make(http.Header, len(relay.Header)+4)
	for _, field := range relay.Header {
		header[field.Name] = field.Values
	}
	codec.SetHeader(header, serverRequest)
	switch {
	case relay.Length < 0:
		header["Transfer-Encoding"] = []string{"chunked"}
	case relay.Length > 0 || expectsBody(relay.Method):
		header["Content-Length"] = []string{strconv.FormatInt(relay.Length, 10)}
	}
	if err := header.Write(&buffer); err != nil {
		return 0, Error.New("writing the header: %w", err)
	}
	buffer.WriteString("\r\n")
	if relay.Length >= 0 && relay.Length <= maxInlineBodyBytes {
		if relay.Length > 0 {
			if _, err := io.CopyN(&buffer, body, relay.Length); err != nil {
				return 0, Error.New("reading the body of the caller's request: %w", err)
			}
		}
		sent, err := c.raw.Write(buffer.Bytes())
		c.sent = err == nil
		return sent, wrapSendError(err)
	}
	sent, err := c.raw.Write(buffer.Bytes())
	if err != nil {
		return sent, wrapSendError(err)
	}
	c.bodyDone = make(chan struct{})
	go c.sendBody(relay.Length, body)
	return sent, nil
}

func wrapSendError(err error) error {
	if err == nil {
		return nil
	}
	return Error.New("sending the request: %w", err)
}

// expectsBody reports whether requests of a method usually have a body, so that an
// empty one needs a Content-Length of 0.
func expectsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// sendBody sends a body that is large or of unknown length.
func (c *conn) sendBody(length int64, body io.Reader) {
	defer close(c.bodyDone)
	var err error
	if length >= 0 {
		_, err = io.CopyN(c.raw, body, length)
	} else {
		err = writeChunkedBody(c.raw, body)
	}
	c.sent = err == nil
	if err != nil {
		// The server must not treat a partial body as complete.
		c.interrupt()
	}
}

func writeChunkedBody(w io.Writer, body io.Reader) error {
	buffer := make([]byte, maxInlineBodyBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", n, buffer[:n]); err != nil {
				return Error.New("sending a chunk: %w", err)
			}
		}
		if errors.Is(err, io.EOF) {
			_, err := io.WriteString(w, "0\r\n\r\n")
			return wrapSendError(err)
		}
		if err != nil {
			return Error.New("reading the body of the caller's request: %w", err)
		}
	}
}

// responseBody is the body of a response. At its end, or when it is closed, the
// connection is returned to the pool or closed.
type responseBody struct {
	client     *Client
	conn       *conn
	source     io.ReadCloser
	stop       func() bool
	complete   bool
	finishOnce sync.Once
}

// Read implements io.Reader.
func (b *responseBody) Read(data []byte) (int, error) {
	n, err := b.source.Read(data)
	if errors.Is(err, io.EOF) {
		b.complete = true
		b.finish()
		return n, io.EOF
	}
	if err != nil {
		return n, Error.New("reading the body of the response: %w", err)
	}
	return n, nil
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	b.finish()
	return nil
}

func (b *responseBody) finish() {
	b.finishOnce.Do(func() {
		usable := b.stop() && b.complete && b.conn.reusable && b.conn.isSent()
		if !usable || b.conn.reader.Buffered() > 0 {
			b.conn.close()
			return
		}
		b.client.putIdle(b.conn)
	})
}
