package listener

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"marigoldhill/kernel/limiter"
)

const (
	// serverBuffer is the size of the buffer through which net/http reads. Only reads of at
	// most this size can contain more than was asked for.
	serverBuffer = 4 << 10
	// reasonHead is the reason for closing a connection with too large a head.
	reasonHead = "head"
	// refusalTimeout limits the time to write the response to too large a head.
	refusalTimeout = 50 * time.Millisecond
)

// headMeter measures the request head that arrives on a connection.
type headMeter struct {
	// serving is set from the end of a head until its request is answered.
	serving bool
	// bytes is the size of the head so far, including what came along with it.
	bytes int64
	// tail covers what the buffer of net/http may still hold. It parses the start of the next
	// request from there without another read.
	tail tail
	// endsHead is set if the last read contained an empty line at its end only.
	endsHead bool
}

// tail counts the bytes and lines of the last reads: those of current, and those of previous
// up to the size of the buffer.
type tail struct {
	previous, current part
}

// part is a number of bytes with line breaks.
type part struct {
	bytes, lines int
}

func (t *tail) add(p part) {
	if t.current.bytes+p.bytes > serverBuffer {
		t.previous, t.current = t.current, part{}
	}
	t.current.bytes += p.bytes
	t.current.lines += p.lines
}

// cost returns the memory that the tail takes if it is the head of a request.
func (t *tail) cost() int64 {
	return limiter.HeadCost(t.previous.bytes+t.current.bytes, t.previous.lines+t.current.lines)
}

// endsWithEmptyLine reports whether the first empty line in data is at its end. A line break
// at its start may end an empty line that began before.
func endsWithEmptyLine(data []byte) bool {
	if start := bytes.TrimPrefix(data, []byte{'\r'}); len(start) > 0 && start[0] == '\n' {
		return len(start) == 1
	}
	for first := bytes.IndexByte(data, '\n'); first >= 0; {
		rest := bytes.TrimPrefix(data[first+1:], []byte{'\r'})
		if len(rest) > 0 && rest[0] == '\n' {
			return len(rest) == 1
		}
		next := bytes.IndexByte(rest, '\n')
		if next < 0 {
			return false
		}
		first, data = next, rest
	}
	return false
}

// add counts the bytes of a read into a buffer of a given size and returns the number of
// lines.
func (m *headMeter) add(data []byte, buffer int) (lines int) {
	if m.serving && buffer > serverBuffer {
		m.tail = tail{} // such a read bypasses the buffer, which is empty
		return 0
	}
	lines = bytes.Count(data, []byte{'\n'})
	m.tail.add(part{bytes: len(data), lines: lines})
	if !m.serving {
		m.endsHead = endsWithEmptyLine(data)
		m.bytes += int64(len(data))
	}
	return lines
}

// serve records that the head of a request is complete.
func (m *headMeter) serve(hasBody bool) {
	m.serving = true
	if m.endsHead && !hasBody {
		m.tail = tail{}
	}
}

// nextRequest records that the request was answered, and returns the memory that the part of
// the next one takes that may have arrived.
func (m *headMeter) nextRequest() int64 {
	m.serving, m.bytes = false, 0
	return m.tail.cost()
}

// errHead is the error of a read that exceeds the limit for a request head.
var errHead = errs.New("request head exceeds the limit")

// receive accounts for bytes that were read into a buffer of a given size. With an error the
// connection is of no more use, and net/http sends nothing on it.
func (c *guardedConn) receive(data []byte, buffer int) error {
	if c.account == nil {
		return nil
	}
	c.mu.Lock()
	lines := c.head.add(data, buffer)
	serving, size := c.head.serving, c.head.bytes
	c.mu.Unlock()
	if serving {
		return nil
	}
	if limit := c.guard.headLimit(); limit > 0 && size > limit {
		c.account.Report(reasonHead)
		c.refuseHead()
		return closedError(errHead)
	}
	if err := c.account.Reserve(limiter.HeadCost(len(data), lines)); err != nil {
		return closedError(err)
	}
	return nil
}

// closedError returns an error for which net/http closes a connection without a response.
func closedError(err error) error {
	return &net.OpError{Op: "read", Net: "tcp", Err: err}
}

// refuseHead answers a request whose head is too large. The caller may not get it, as the
// connection is closed while more is arriving.
func (c *guardedConn) refuseHead() {
	const response = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, response)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}

// headLimit returns the largest size of a head including what may come along with it, or 0
// for that of the server.
func (g *Guard) headLimit() int64 {
	if g.options.HeadLimit == nil {
		return 0
	}
	limit := g.options.HeadLimit()
	if limit <= 0 {
		return 0
	}
	return limit + serverBuffer
}

// serve accounts for a request whose head is complete. An error means that it must not be
// served.
func (c *guardedConn) serve(r *http.Request) error {
	if c == nil || c.account == nil {
		return nil
	}
	c.mu.Lock()
	c.head.serve(hasBody(r))
	cost := headCost(r) + c.head.tail.cost()
	c.mu.Unlock()
	options := &c.guard.options
	if options.RequestCost != nil {
		cost += options.RequestCost(r)
	}
	if err := c.account.Serve(cost); err != nil {
		return Error.New("serving a request: %w", err)
	}
	return nil
}

func hasBody(r *http.Request) bool {
	return r.Body != nil && r.Body != http.NoBody
}

// headCost returns the memory that the head of a request takes while it is served.
func headCost(r *http.Request) int64 {
	size, lines := len(r.Method)+len(r.RequestURI)+len(r.Host), 1
	for name, values := range r.Header {
		size += len(name)
		lines += len(values)
		for _, value := range values {
			size += len(value)
		}
	}
	return limiter.HeadCost(size, lines)
}
