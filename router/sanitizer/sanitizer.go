// Package sanitizer separates connection-specific header fields from the end-to-end
// fields that are forwarded with a request or a response.
//
// # Usage
//
//	sanitizer.Strip(header)
//	fields := sanitizer.EndToEndFields(header, func(name string) bool { return name == "Host" })
package sanitizer

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"marigoldhill/kernel/messenger"
)

// connectionSpecificFields are not forwarded (RFC 9110, section 7.6.1). Content-Length is
// included because it is set from the length of the forwarded body.
var connectionSpecificFields = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect", "Content-Length", "Host", "Http2-Settings",
}

// EndToEndFields returns the fields to forward, without those for which drop returns true. A
// nil drop keeps all end-to-end fields.
func EndToEndFields(header http.Header, drop func(name string) bool) []messenger.Header {
	named := fieldsNamedInConnection(header)
	endToEnd := make([]messenger.Header, 0, len(header))
	for name, values := range header {
		if _, ok := named[name]; ok {
			continue
		}
		if slices.Contains(connectionSpecificFields, name) || (drop != nil && drop(name)) {
			continue
		}
		endToEnd = append(endToEnd, messenger.Header{Name: name, Values: values})
	}
	return endToEnd
}

// Strip removes the connection-specific fields.
func Strip(header http.Header) {
	for name := range fieldsNamedInConnection(header) {
		delete(header, name)
	}
	for _, name := range connectionSpecificFields {
		delete(header, name)
	}
}

// fieldsNamedInConnection returns the fields of a header that its Connection field lists. A
// sender may list any number of names, so those of no field are not kept.
func fieldsNamedInConnection(header http.Header) map[string]struct{} {
	var named map[string]struct{}
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))
			if _, ok := header[name]; !ok {
				continue
			}
			if named == nil {
				named = make(map[string]struct{})
			}
			named[name] = struct{}{}
		}
	}
	return named
}
