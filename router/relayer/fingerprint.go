package relayer

import (
	"slices"
	"strconv"
	"strings"

	"marigoldhill/kernel/hasher"
	"marigoldhill/kernel/messenger"
	"marigoldhill/router/mapper"
)

// A fingerprint is the same for all requests for the same work, whichever router, service or
// configuration serves them. It is a hash of what the caller sent: method, host, target, key
// and the first maxHeadBytes of the body, however the body is framed.
//
// The entry router knows all of it for inline bodies. The owner computes it again for requests of
// other routers, and extends it once it has received the start of any other body.

// headFingerprint returns the fingerprint of a request without its body. key is the one that the
// caller named, also if the service has no keys.
func headFingerprint(method, host, target string, key int32) string {
	route := method + " " + strings.ToLower(host) + target
	return hasher.Fingerprint("", strconv.Itoa(int(key)), route, hasher.Sum(nil))
}

// addCallerKey returns the header of a Relay with the key that the caller named.
func addCallerKey(header []messenger.Header, key int32) []messenger.Header {
	field := messenger.Header{Name: messenger.FieldCallerKey, Values: []string{strconv.Itoa(int(key))}}
	return append(slices.Clip(header), field)
}

// takeCallerKey removes the key that the caller named from the header of a Relay and returns it.
func takeCallerKey(relay *messenger.Relay) int32 {
	last := len(relay.Header) - 1
	if last < 0 || relay.Header[last].Name != messenger.FieldCallerKey {
		return relay.Key
	}
	values := relay.Header[last].Values
	relay.Header = relay.Header[:last]
	if len(values) != 1 {
		return relay.Key
	}
	key, err := strconv.ParseInt(values[0], 10, 32)
	if err != nil {
		return relay.Key
	}
	return int32(key)
}

// extendFingerprint returns the fingerprint of a request with a body that starts with content.
func extendFingerprint(head string, content []byte) string {
	if len(content) == 0 {
		return head
	}
	return hasher.Fingerprint("", "", head, hasher.Sum(content))
}

// previousFingerprint returns the fingerprint by which routers of the previous version have
// quarantined a request. It includes the service; of a body that is not inline only the length
// counts.
func previousFingerprint(relay *messenger.Relay, body []byte) string {
	if !isInline(relay.Length) {
		body = strconv.AppendInt(nil, relay.Length, 10)
	}
	route := relay.Method + " " + strings.ToLower(relay.Host) + relay.Target
	return hasher.Fingerprint(relay.Service, strconv.Itoa(int(relay.Key)), route, hasher.Sum(body))
}

// isQuarantined reports whether the request is quarantined, as far as the entry router knows
// its body.
func (c *routedCall) isQuarantined(routes *mapper.Map) bool {
	if !routes.HasQuarantines() {
		return false
	}
	var content []byte
	if c.body.isInline() {
		content = c.body.data
	}
	return routes.IsQuarantined(c.fingerprint) || routes.IsQuarantined(previousFingerprint(c.relay(), content))
}
