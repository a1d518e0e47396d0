package acceptor

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// errSmuggling ends a connection whose request could be read in two ways.
var errSmuggling = errors.New("the length of the request is ambiguous")

// stage is the part of a request that an inspector is in.
type stage uint8

const (
	stageStart   stage = iota // the request line
	stageHeader               // header fields
	stageBody                 // a body or chunk of known length
	stageSize                 // the size line of a chunk
	stageTrailer              // fields after the last chunk
	stageBlind                // not HTTP/1; net/http refuses it
)

// inspector follows the bytes of a connection and finds requests that another
// HTTP implementation in front of this one might end elsewhere. net/http answers
// most of them itself, but drops the Content-Length of a request that has a
// Transfer-Encoding as well, takes folded lines, and ignores the
// Transfer-Encoding of HTTP/1.0.
type inspector struct {
	stage stage
	line  []byte
	// left is how many bytes of the body or chunk follow.
	left int64
	// after is the stage after the body or chunk.
	after stage
	old   bool // HTTP/1.0
	coded bool // has a Transfer-Encoding
	sized bool // has a Content-Length
	size  int64
}

// inspect takes the next bytes of the connection. On an error it returns how
// many of them may be passed on; the header at fault never becomes complete.
func (i *inspector) inspect(data []byte) (passed int, err error) {
	for passed < len(data) && i.stage != stageBlind {
		if i.stage == stageBody {
			passed += i.skip(len(data) - passed)
			continue
		}
		end := bytes.IndexByte(data[passed:], '\n')
		if end < 0 {
			i.keep(data[passed:])
			return len(data), nil
		}
		i.keep(data[passed : passed+end])
		if err := i.take(); err != nil {
			return passed, err
		}
		passed += end + 1
	}
	return len(data), nil
}

func (i *inspector) skip(available int) int {
	n := min(int64(available), i.left)
	i.left -= n
	if i.left == 0 {
		i.stage = i.after
	}
	return int(n)
}

// keep collects a line. One longer than any that net/http takes needs no look.
func (i *inspector) keep(part []byte) {
	if len(i.line)+len(part) > 4*MaxHeader {
		i.stage = stageBlind
		i.line = nil
		return
	}
	i.line = append(i.line, part...)
}

// take handles a whole line.
func (i *inspector) take() error {
	line := strings.TrimSuffix(string(i.line), "\r")
	i.line = i.line[:0]
	switch i.stage {
	case stageStart:
		i.start(line)
	case stageHeader:
		return i.field(line)
	case stageSize:
		i.chunk(line)
	case stageTrailer:
		if line == "" {
			i.stage = stageStart
		}
	}
	return nil
}

func (i *inspector) start(line string) {
	if line == "" {
		return
	}
	*i = inspector{stage: stageHeader, line: i.line, old: strings.HasSuffix(line, "HTTP/1.0")}
}

func (i *inspector) field(line string) error {
	if line == "" {
		return i.finish()
	}
	if line[0] == ' ' || line[0] == '\t' {
		return Error.New("folded header line: %w", errSmuggling)
	}
	name, value, _ := strings.Cut(line, ":")
	switch strings.ToLower(strings.TrimSpace(name)) {
	case "transfer-encoding":
		i.coded = true
	case "content-length":
		i.sized = true
		// net/http refuses what is no number, and unequal ones.
		i.size, _ = strconv.ParseInt(strings.TrimSpace(value), 10, 64)
	}
	return nil
}

// finish decides at the end of the header what follows.
func (i *inspector) finish() error {
	switch {
	case i.coded && i.sized:
		return Error.New("Content-Length beside Transfer-Encoding: %w", errSmuggling)
	case i.coded && i.old:
		return Error.New("Transfer-Encoding in HTTP/1.0: %w", errSmuggling)
	case i.coded:
		i.stage = stageSize
	case i.size > 0:
		i.expect(i.size, stageStart)
	default:
		i.stage = stageStart
	}
	return nil
}

func (i *inspector) expect(length int64, after stage) {
	i.stage, i.left, i.after = stageBody, length, after
}

func (i *inspector) chunk(line string) {
	digits, _, _ := strings.Cut(line, ";")
	size, err := strconv.ParseInt(strings.TrimSpace(digits), 16, 63)
	switch {
	case err != nil || size < 0:
		i.stage = stageBlind
	case size == 0:
		i.stage = stageTrailer
	default:
		i.expect(size+int64(len("\r\n")), stageSize)
	}
}
