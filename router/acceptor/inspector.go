package acceptor

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// errAmbiguousLength is the error for a request whose end is ambiguous, which allows
// request smuggling (RFC 9112, section 11.2). Its connection is closed.
var errAmbiguousLength = errors.New("the length of the request is ambiguous")

// maxKeptLine is the size of the largest line buffer that is used again.
const maxKeptLine = 1 << 10

// state is the part of a request that an inspector parses.
type state uint8

const (
	stateRequestLine state = iota // the request line
	stateHeader                   // header fields
	stateBody                     // body or chunk of known length
	stateChunkSize                // size line of a chunk
	stateTrailer                  // trailer fields
	stateUninspected              // not inspected any further: net/http refuses it
)

// inspector parses the bytes of a connection and detects requests whose end another
// HTTP implementation in front of this one might place elsewhere. net/http refuses
// most of them itself, but ignores the Content-Length of a request that also has a
// Transfer-Encoding, accepts folded lines, and ignores the Transfer-Encoding of
// HTTP/1.0.
type inspector struct {
	state state
	line  []byte
	// remaining is how many bytes of the body or chunk follow.
	remaining int64
	// nextState is the state after the body or chunk.
	nextState           state
	isHTTP10            bool
	hasTransferEncoding bool
	hasContentLength    bool
	contentLength       int64
}

// inspect parses the next bytes of the connection. With an error it returns how many
// of them may be passed on, which excludes the end of the invalid header.
func (i *inspector) inspect(data []byte) (passed int, err error) {
	for passed < len(data) && i.state != stateUninspected {
		if i.state == stateBody {
			passed += i.skipBody(len(data) - passed)
			continue
		}
		end := bytes.IndexByte(data[passed:], '\n')
		if end < 0 {
			i.bufferLine(data[passed:])
			return len(data), nil
		}
		i.bufferLine(data[passed : passed+end])
		if err := i.processLine(); err != nil {
			return passed, err
		}
		passed += end + 1
	}
	return len(data), nil
}

func (i *inspector) skipBody(available int) int {
	n := min(int64(available), i.remaining)
	i.remaining -= n
	if i.remaining == 0 {
		i.state = i.nextState
	}
	return int(n)
}

// bufferLine collects the bytes of a line. A connection with a line that is longer than
// net/http accepts is not inspected any further.
func (i *inspector) bufferLine(data []byte) {
	if len(i.line)+len(data) > 4*MaxHeader {
		i.state = stateUninspected
		i.line = nil
		return
	}
	i.line = append(i.line, data...)
}

// processLine parses the collected line.
func (i *inspector) processLine() error {
	line := strings.TrimSuffix(string(i.line), "\r")
	i.line = i.line[:0]
	if cap(i.line) > maxKeptLine {
		i.line = nil // idle connections keep their inspector
	}
	switch i.state {
	case stateRequestLine:
		i.parseRequestLine(line)
	case stateHeader:
		return i.parseField(line)
	case stateChunkSize:
		i.parseChunkSize(line)
	case stateTrailer:
		if line == "" {
			i.state = stateRequestLine
		}
	}
	return nil
}

func (i *inspector) parseRequestLine(line string) {
	if line == "" {
		return
	}
	*i = inspector{state: stateHeader, line: i.line, isHTTP10: strings.HasSuffix(line, "HTTP/1.0")}
}

func (i *inspector) parseField(line string) error {
	if line == "" {
		return i.endHeader()
	}
	if line[0] == ' ' || line[0] == '\t' {
		return Error.New("folded header line: %w", errAmbiguousLength)
	}
	name, value, _ := strings.Cut(line, ":")
	switch strings.ToLower(strings.TrimSpace(name)) {
	case "transfer-encoding":
		i.hasTransferEncoding = true
	case "content-length":
		i.hasContentLength = true
		// net/http refuses lengths that are not numbers or contradict each other.
		i.contentLength, _ = strconv.ParseInt(strings.TrimSpace(value), 10, 64)
	}
	return nil
}

// endHeader determines at the end of the header what follows it.
func (i *inspector) endHeader() error {
	switch {
	case i.hasTransferEncoding && i.hasContentLength:
		return Error.New("Content-Length beside Transfer-Encoding: %w", errAmbiguousLength)
	case i.hasTransferEncoding && i.isHTTP10:
		return Error.New("Transfer-Encoding in HTTP/1.0: %w", errAmbiguousLength)
	case i.hasTransferEncoding:
		i.state = stateChunkSize
	case i.contentLength > 0:
		i.expectBody(i.contentLength, stateRequestLine)
	default:
		i.state = stateRequestLine
	}
	return nil
}

func (i *inspector) expectBody(length int64, nextState state) {
	i.state, i.remaining, i.nextState = stateBody, length, nextState
}

func (i *inspector) parseChunkSize(line string) {
	digits, _, _ := strings.Cut(line, ";")
	size, err := strconv.ParseInt(strings.TrimSpace(digits), 16, 63)
	switch {
	case err != nil || size < 0:
		i.state = stateUninspected
	case size == 0:
		i.state = stateTrailer
	default:
		i.expectBody(size+int64(len("\r\n")), stateChunkSize)
	}
}
