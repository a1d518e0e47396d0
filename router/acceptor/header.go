package acceptor

import (
	"net/http"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/sanitizer"
)

// MaxIdempotencyKeyBytes is the maximum length of an Idempotency-Key in bytes.
const MaxIdempotencyKeyBytes = 255

// reservedPrefix is the prefix of header fields that only routers set. They are removed
// from the messages of callers and backend servers.
const reservedPrefix = "Marigold-"

// endToEnd returns the header fields of a request to forward: the end-to-end ones
// without the reserved ones and the Idempotency-Key.
func endToEnd(header http.Header) []messenger.Header {
	return sanitizer.EndToEndFields(header, func(name string) bool {
		return strings.HasPrefix(name, reservedPrefix) || name == messenger.HeaderIdempotencyKey
	})
}

// filterResponseHeader removes the hop-by-hop and the reserved header fields from the
// response of a backend server.
func filterResponseHeader(header http.Header) {
	sanitizer.Strip(header)
	for name := range header {
		if strings.HasPrefix(name, reservedPrefix) {
			header.Del(name)
		}
	}
}

// headerSize returns the size of the request line and the header in bytes, as sent.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + 4
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	return size
}

// parseIdempotency returns the Idempotency-Key, or an empty string when there is none.
func parseIdempotency(header http.Header) (string, error) {
	values := header[messenger.HeaderIdempotencyKey]
	switch {
	case len(values) == 0:
		return "", nil
	case len(values) > 1:
		return "", errs.New("%s is given %d times", messenger.HeaderIdempotencyKey, len(values))
	case values[0] == "" || len(values[0]) > MaxIdempotencyKeyBytes:
		return "", errs.New("%s must have 1 to %d characters", messenger.HeaderIdempotencyKey, MaxIdempotencyKeyBytes)
	case strings.ContainsFunc(values[0], isNotVisibleASCII):
		return "", errs.New("%s has other characters than visible ASCII", messenger.HeaderIdempotencyKey)
	}
	return values[0], nil
}

func isNotVisibleASCII(r rune) bool {
	return r < 0x21 || r > 0x7e
}

// parseTimeout returns the timeout that the caller requests. maximum is its upper limit
// and its default.
func parseTimeout(header http.Header, maximum time.Duration) (time.Duration, error) {
	values := header[messenger.HeaderTimeout]
	switch len(values) {
	case 0:
		return maximum, nil
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
	return min(timeout, maximum), nil
}
