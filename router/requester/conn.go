package requester

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/sanitizer"
)

// conn is a connection to the backend server.
type conn struct {
	raw     net.Conn
	address string
	// reader reads through head, which limits it outside of bodies.
	reader *bufio.Reader
	head   *headReader
	// idleSince is when the connection became idle, idleTimeout how long the server
	// keeps an idle connection open.
	idleSince   time.Time
	idleTimeout time.Duration
	// reusable is set when the connection can carry another request.
	reusable bool
	// retired is set when no further request may be sent on the connection. It is
	// protected by Client.mu.
	retired bool
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

const (
	// readBufferBytes is also the maximum size of the trailer of a chunked response.
	readBufferBytes = 4 << 10
	// refusalBodyTimeout limits the time to read the body of a response that says that
	// the request was not executed. The caller does not get that body.
	refusalBodyTimeout = 50 * time.Millisecond
)

func newConn(raw net.Conn, address string, open *atomic.Int64) *conn {
	open.Add(1)
	head := &headReader{source: raw}
	return &conn{raw: raw, address: address, open: open, head: head, reader: bufio.NewReaderSize(head, readBufferBytes), idleTimeout: defaultIdleTimeout}
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
	c.setDeadline(serverRequest)
	sent, err := c.writeRequest(client.options.HeaderCodec, serverRequest, body)
	if err != nil && sent == 0 {
		return refusedResult(messenger.ReasonDown, err)
	}
	// A server may respond before it has read the whole request, so a response is read
	// even after a failed write.
	c.head.limit(maxHeadBytes)
	skippable := int64(maxSkippedBytes)
	for range maxUnmatched + 1 {
		response, failure := c.readResponse(serverRequest)
		if failure != nil {
			return c.failedResult(client, messenger.ReasonCrashed, errors.Join(err, failure))
		}
		metadata := client.options.HeaderCodec.ParseHeader(response.StatusCode, response.Header)
		headLeft := c.head.left
		c.head.unlimit()
		if metadata.ID == serverRequest.Relay.ID {
			return c.toResult(response, metadata)
		}
		client.count("strays")
		if metadata.ID == "" || !isFramed(response) {
			return unknownResult(messenger.ReasonTruncated, Error.New("response without the ID of the request"))
		}
		if skippable, failure = skip(response.Body, skippable); failure != nil {
			return c.failedResult(client, messenger.ReasonTruncated, failure)
		}
		c.head.limit(headLeft)
	}
	return unknownResult(messenger.ReasonTruncated, Error.New("too many responses to other requests"))
}

// setDeadline makes reads and writes fail when the response is no longer awaited.
func (c *conn) setDeadline(serverRequest *ServerRequest) {
	deadline := serverRequest.Deadline
	if !deadline.IsZero() {
		deadline = deadline.Add(serverRequest.Relay.Grace)
	}
	_ = c.raw.SetDeadline(deadline)
}

// failedResult returns the result of a request that may have been executed and whose
// response cannot be read. reason applies unless the error is more specific.
func (c *conn) failedResult(client *Client, reason messenger.Reason, err error) Result {
	var exceeded excess
	switch {
	case errors.Is(err, sanitizer.ErrInvalid):
		reason = messenger.ReasonTruncated
		client.count("invalid")
	case errors.As(err, &exceeded):
		reason = messenger.ReasonTruncated
		client.countExcess(exceeded.part)
	case errors.Is(err, os.ErrDeadlineExceeded):
		reason = messenger.ReasonExpired
	}
	return unknownResult(reason, err)
}

// readResponse reads the header of the next response and skips informational ones.
func (c *conn) readResponse(serverRequest *ServerRequest) (*http.Response, error) {
	for range maxInformational + 1 {
		legacy := c.hasLegacyEncoding()
		response, err := http.ReadResponse(c.reader, &http.Request{Method: serverRequest.Relay.Method})
		if err != nil && c.head.left <= 0 {
			// The parser may replace the error of the reader.
			return nil, excess{part: "head"}
		}
		if err != nil {
			return nil, Error.New("reading the response: %w", err)
		}
		if fieldCount(response.Header) > maxFields {
			return nil, excess{part: "fields"}
		}
		if err := sanitizer.CheckResponse(response); err != nil {
			return nil, Error.New("reading the response: %w", err)
		}
		if legacy {
			return nil, Error.New("Transfer-Encoding in HTTP/1.0: %w", sanitizer.ErrInvalid)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, excess{part: "informational"}
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

		endsWithConnection: !isFramed(response) && response.Body != http.NoBody,
	}
	c.readKeepAlive(response)
	c.reusable = !response.Close && isFramed(response) && c.isSent()
	if !metadata.NotExecuted {
		return result
	}
	c.reusable = c.reusable && c.discardRefusal(response.Body)
	result.Outcome = messenger.OutcomeRefused
	result.Reason = messenger.ReasonShed
	if metadata.Misdirected {
		result.Reason = messenger.ReasonFence
	}
	result.Body = nil
	return result
}

// discardRefusal reads the body of a response that says that the request was not
// executed. It reports whether the body has ended and nothing follows it.
func (c *conn) discardRefusal(body io.Reader) bool {
	_ = c.raw.SetReadDeadline(time.Now().Add(refusalBodyTimeout))
	size, err := io.Copy(io.Discard, io.LimitReader(body, maxInlineBodyBytes+1))
	return err == nil && size <= maxInlineBodyBytes && c.reader.Buffered() == 0
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
