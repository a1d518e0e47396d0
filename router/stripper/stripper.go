// Package stripper tells header fields that concern one connection from those
// that go along with a request or an answer.
//
// # Usage
//
//	stripper.Strip(header)
//	fields := stripper.EndToEnd(header, func(name string) bool { return name == "Host" })
package stripper

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"marigoldhill/kernel/messenger"
)

// hopFields belong to one connection and are never passed on (RFC 9110, 7.6.1).
// The length is that of the body that is sent on.
var hopFields = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect", "Content-Length", "Host", "Http2-Settings",
}

// EndToEnd returns the fields to pass on, without those that drop holds for; a nil
// drop keeps them all.
func EndToEnd(header http.Header, drop func(name string) bool) []messenger.Header {
	named := connectionFields(header)
	passed := make([]messenger.Header, 0, len(header))
	for name, values := range header {
		if slices.Contains(hopFields, name) || slices.Contains(named, name) || (drop != nil && drop(name)) {
			continue
		}
		passed = append(passed, messenger.Header{Name: name, Values: values})
	}
	return passed
}

// Strip removes the fields that concern one connection.
func Strip(header http.Header) {
	for _, name := range connectionFields(header) {
		delete(header, name)
	}
	for _, name := range hopFields {
		delete(header, name)
	}
}

// connectionFields lists the fields that the Connection field names.
func connectionFields(header http.Header) []string {
	var named []string
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			named = append(named, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return named
}
