package relayer

import (
	"errors"
	"net/http"
	"strings"
	"syscall"

	"marigoldhill/kernel/messenger"
)

// hopHeaders are header fields that concern one connection only.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Content-Length": true,
}

// Headers turns the header of a request into the fields that go along, without
// those that concern one connection and those that drop holds for.
func Headers(header http.Header, drop func(name string) bool) []messenger.Header {
	named := make(map[string]bool)
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	fields := make([]messenger.Header, 0, len(header))
	for name, values := range header {
		if !hopHeaders[name] && !named[name] && (drop == nil || !drop(name)) {
			fields = append(fields, messenger.Header{Name: name, Values: values})
		}
	}
	return fields
}

func headersOf(header http.Header) []messenger.Header {
	return Headers(header, nil)
}

// isRefused reports whether a port refused a connection.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
