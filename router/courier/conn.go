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
	"syscall"
	"time"

	"marigoldhill/kernel/messenger"
)

// conn is one connection to the backend server.
type conn struct {
	raw     net.Conn
	address string
	reader  *bufio.Reader
	// since is when it became idle, keep how long the server keeps it so.
	since time.Time
	keep  time.Duration
	// reusable says that it may carry another request.
	reusable bool
	// pumped is closed when a large body is sent no more; nil without one.
	pumped chan struct{}
	sent   bool
	ending sync.Once
}

const readSize = 4 << 10

func newConn(raw net.Conn, address string) *conn {
	return &conn{raw: raw, address: address, reader: bufio.NewReaderSize(raw, readSize), keep: idleTime}
}

func (c *conn) close() {
	c.ending.Do(func() { _ = c.raw.Close() })
}

// interrupt makes reads and writes return, and the server see the end.
func (c *conn) interrupt() {
	_ = c.raw.SetDeadline(time.Unix(1, 0))
	c.close()
}

// isGood reports whether an idle connection can be used: it is young enough,
// still open, and nothing came on it that nobody asked for.
func (c *conn) isGood() bool {
	if time.Since(c.since) >= c.keep-idleMargin || c.reader.Buffered() > 0 {
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
	good := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		good = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && good
}

// exchange sends a request and reads the head of its answer.
func (c *conn) exchange(courier *Courier, order *Order, body io.Reader) Result {
	c.reusable, c.pumped, c.sent = false, nil, false
	sent, err := c.write(courier.options.Dialect, order, body)
	if err != nil && sent == 0 {
		return refused(messenger.ReasonDown, err)
	}
	// A server may answer before it has read the whole request, so an answer is
	// looked for although the sending failed.
	for range maxStray + 1 {
		response, failure := c.read(order)
		if failure != nil {
			return unknown(messenger.ReasonCrashed, errors.Join(err, failure))
		}
		told := courier.options.Dialect.Read(response.StatusCode, response.Header)
		if told.ID == order.Relay.ID {
			return c.answer(response, told)
		}
		courier.count("strays")
		if told.ID == "" || !isFramed(response) {
			return unknown(messenger.ReasonTruncated, Error.New("answer without the id of the request"))
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return unknown(messenger.ReasonTruncated, Error.New("skipping an answer to another request: %w", err))
		}
	}
	return unknown(messenger.ReasonTruncated, Error.New("too many answers to other requests"))
}

// read reads the head of one answer; informational ones are skipped.
func (c *conn) read(order *Order) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: order.Relay.Method})
		if err != nil {
			return nil, Error.New("reading an answer: %w", err)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// isFramed reports whether the end of a body can be told from the next answer.
func isFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// answer turns the answer to the request into a Result.
func (c *conn) answer(response *http.Response, told Told) Result {
	result := Result{
		Outcome: messenger.OutcomeDone,
		Sent:    true,
		Told:    told,
		Status:  response.StatusCode,
		Header:  response.Header,
		Length:  response.ContentLength,
		Body:    response.Body,
	}
	c.noteKeep(response)
	c.reusable = !response.Close && isFramed(response) && c.isSent()
	if !told.NotRun {
		return result
	}
	_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxInline))
	c.reusable = c.reusable && err == nil && c.reader.Buffered() == 0
	result.Outcome = messenger.OutcomeRefused
	result.Reason = messenger.ReasonShed
	if told.Misplaced {
		result.Reason = messenger.ReasonFence
	}
	result.Body = nil
	return result
}

// isSent reports whether the whole request was sent.
func (c *conn) isSent() bool {
	if c.pumped == nil {
		return c.sent
	}
	select {
	case <-c.pumped:
		return c.sent
	default:
		return false
	}
}

// noteKeep reads how long the server keeps an idle connection.
func (c *conn) noteKeep(response *http.Response) {
	for field := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if count, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			c.keep = time.Duration(count) * time.Second
		}
	}
}

// write sends a request and returns how many bytes were sent. A large body, or
// one of unknown length, is sent on while the answer is awaited.
func (c *conn) write(dialect Dialect, order *Order, body io.Reader) (int, error) {
	relay := order.Relay
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n", relay.Method, relay.Target, relay.Host)
	header := make(http.Header, len(relay.Header)+4)
	for _, field := range relay.Header {
		header[field.Name] = field.Values
	}
	dialect.Label(header, order)
	switch {
	case relay.Length < 0:
		header["Transfer-Encoding"] = []string{"chunked"}
	case relay.Length > 0 || hasBody(relay.Method):
		header["Content-Length"] = []string{strconv.FormatInt(relay.Length, 10)}
	}
	if err := header.Write(&text); err != nil {
		return 0, Error.New("writing the head: %w", err)
	}
	text.WriteString("\r\n")
	if relay.Length >= 0 && relay.Length <= maxInline {
		if relay.Length > 0 {
			if _, err := io.CopyN(&text, body, relay.Length); err != nil {
				return 0, Error.New("reading the body of the caller: %w", err)
			}
		}
		sent, err := c.raw.Write(text.Bytes())
		c.sent = err == nil
		return sent, wrap(err)
	}
	sent, err := c.raw.Write(text.Bytes())
	if err != nil {
		return sent, wrap(err)
	}
	c.pumped = make(chan struct{})
	go c.pump(relay.Length, body)
	return sent, nil
}

func wrap(err error) error {
	if err == nil {
		return nil
	}
	return Error.New("sending: %w", err)
}

// hasBody reports whether requests of a method usually have a body, so that its
// absence is said.
func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// pump sends a large body.
func (c *conn) pump(length int64, body io.Reader) {
	defer close(c.pumped)
	var err error
	if length >= 0 {
		_, err = io.CopyN(c.raw, body, length)
	} else {
		err = writeChunks(c.raw, body)
	}
	c.sent = err == nil
	if err != nil {
		// The server must not take a part for the whole.
		c.interrupt()
	}
}

func writeChunks(w io.Writer, body io.Reader) error {
	buffer := make([]byte, maxInline)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", n, buffer[:n]); err != nil {
				return Error.New("sending a chunk: %w", err)
			}
		}
		if errors.Is(err, io.EOF) {
			_, err := io.WriteString(w, "0\r\n\r\n")
			return wrap(err)
		}
		if err != nil {
			return Error.New("reading the body of the caller: %w", err)
		}
	}
}

// answerBody is the body of an answer. It gives the connection back at its end.
type answerBody struct {
	courier *Courier
	conn    *conn
	from    io.ReadCloser
	stop    func() bool
	whole   bool
	closed  sync.Once
}

// Read implements io.Reader.
func (b *answerBody) Read(data []byte) (int, error) {
	n, err := b.from.Read(data)
	if errors.Is(err, io.EOF) {
		b.whole = true
		b.finish()
		return n, io.EOF
	}
	if err != nil {
		return n, Error.New("reading the answer: %w", err)
	}
	return n, nil
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	b.finish()
	return nil
}

func (b *answerBody) finish() {
	b.closed.Do(func() {
		good := b.stop() && b.whole && b.conn.reusable && b.conn.isSent()
		if !good || b.conn.reader.Buffered() > 0 {
			b.conn.close()
			return
		}
		b.courier.put(b.conn)
	})
}
