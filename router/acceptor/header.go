package acceptor

import (
	"net/http"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/stripper"
)

// MaxIdempotency is the longest Idempotency-Key in bytes.
const MaxIdempotency = 255

// reservedPrefix starts the names of the header fields that only the system
// sets.
const reservedPrefix = "Marigold-"

// endToEnd returns the header fields to pass on: not those of the connection, and
// not the reserved ones.
func endToEnd(header http.Header) []messenger.Header {
	return stripper.EndToEnd(header, func(name string) bool {
		return strings.HasPrefix(name, reservedPrefix) || name == messenger.HeaderIdempotency
	})
}

// strip removes what a backend server must not tell a caller.
func strip(header http.Header) {
	stripper.Strip(header)
	for name := range header {
		if strings.HasPrefix(name, reservedPrefix) {
			header.Del(name)
		}
	}
}

// headerSize is the size of a header as it was sent.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + 4
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	return size
}

// parseIdempotency returns the Idempotency-Key, empty when there is none.
func parseIdempotency(header http.Header) (string, error) {
	values := header[messenger.HeaderIdempotency]
	switch {
	case len(values) == 0:
		return "", nil
	case len(values) > 1:
		return "", errs.New("%s is given %d times", messenger.HeaderIdempotency, len(values))
	case values[0] == "" || len(values[0]) > MaxIdempotency:
		return "", errs.New("%s must have 1 to %d characters", messenger.HeaderIdempotency, MaxIdempotency)
	case strings.ContainsFunc(values[0], isNotVisible):
		return "", errs.New("%s has other characters than visible ASCII", messenger.HeaderIdempotency)
	}
	return values[0], nil
}

func isNotVisible(r rune) bool {
	return r < 0x21 || r > 0x7e
}

// parseTimeout returns the time that the caller gives the request, at most
// longest, which is also the default.
func parseTimeout(header http.Header, longest time.Duration) (time.Duration, error) {
	values := header[messenger.HeaderTimeout]
	switch len(values) {
	case 0:
		return longest, nil
	case 1:
	default:
		return 0, errs.New("%s is given %d times", messenger.HeaderTimeout, len(values))
	}
	timeout, err := time.ParseDuration(values[0])
	if err != nil {
		return 0, errs.New("%s is no duration such as 2s or 500ms", messenger.HeaderTimeout)
	}
	if timeout <= 0 {
		return 0, errs.New("%s is not positive", messenger.HeaderTimeout)
	}
	return min(timeout, longest), nil
}
