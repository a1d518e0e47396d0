package relayer

import (
	"strconv"
	"strings"

	"marigoldhill/kernel/hasher"
	"marigoldhill/kernel/messenger"
)

// fingerprint returns a value that is the same for all requests for the same work. body is
// the body if it is inline; of any other only the length counts.
func fingerprint(relay *messenger.Relay, body []byte) string {
	if !isInline(relay.Length) {
		body = strconv.AppendInt(nil, relay.Length, 10)
	}
	route := relay.Method + " " + strings.ToLower(relay.Host) + relay.Target
	return hasher.Fingerprint(relay.Service, strconv.Itoa(int(relay.Key)), route, hasher.Sum(body))
}
