package requester

import (
	"errors"
	"io"
	"math"
	"net"
	"net/http"
)

const (
	// maxHeadBytes is the maximum size of all that is read before the body of the
	// response to a request: status lines and header fields, also those of informational
	// responses and of responses to other requests.
	maxHeadBytes = 64 << 10
	// maxFields is the maximum number of values in the header of a response.
	maxFields = 256
	// maxInformational is the maximum number of informational responses to a request.
	maxInformational = 8
	// maxSkippedBytes is the maximum size of the bodies of responses to other requests,
	// in all.
	maxSkippedBytes = 1 << 20
)

// ErrExcess is the error of a response that is larger than its bounds allow. The server
// may have executed the request.
var ErrExcess = errors.New("response exceeds a bound")

// excess is an ErrExcess with the part of the response that was too large, which is a
// label of the metric.
type excess struct {
	part string
}

func (e excess) Error() string {
	return e.part + ": " + ErrExcess.Error()
}

func (e excess) Is(target error) bool {
	return target == ErrExcess
}

// headReader limits how many bytes are read from a connection before the body of a
// response. It is not safe for concurrent use.
type headReader struct {
	source net.Conn
	left   int64
}

// Read implements io.Reader. It fails with an excess once the limit is reached.
func (r *headReader) Read(data []byte) (int, error) {
	if r.left <= 0 {
		return 0, excess{part: "head"}
	}
	n, err := r.source.Read(data[:min(int64(len(data)), r.left)])
	r.left -= int64(n)
	return n, err
}

// limit sets how many bytes may be read from now on.
func (r *headReader) limit(count int64) {
	r.left = count
}

// unlimit removes the limit. The body of a response has bounds of its own: its length,
// the reader of its chunks, and the deadline of the request.
func (r *headReader) unlimit() {
	r.left = math.MaxInt64
}

// fieldCount returns the number of values in a header.
func fieldCount(header http.Header) int {
	count := 0
	for _, values := range header {
		count += len(values)
	}
	return count
}

// skip reads and discards the body of a response to another request. left is how many
// bytes may still be skipped; it returns the rest.
func skip(body io.Reader, left int64) (int64, error) {
	skipped, err := io.Copy(io.Discard, io.LimitReader(body, left+1))
	if err != nil {
		return 0, Error.New("skipping a response to another request: %w", err)
	}
	if skipped > left {
		return 0, excess{part: "skipped"}
	}
	return left - skipped, nil
}
