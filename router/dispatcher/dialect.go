package dispatcher

import (
	"net/http"
	"strconv"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/courier"
)

// Dialect implements the Marigold header fields between a router and the backend
// servers of a configuration; docs/BACKEND.md specifies them.
type Dialect struct{}

var _ courier.Dialect = Dialect{}

// Label implements [courier.Dialect].
func (Dialect) Label(header http.Header, order *courier.Order) {
	header[messenger.HeaderRequest] = []string{order.Relay.ID}
	header[messenger.HeaderDeadline] = []string{strconv.FormatInt(order.Deadline.UnixMilli(), 10)}
	header[messenger.HeaderServer] = []string{order.Server}
	if order.Relay.Key != messenger.NoKey {
		header[messenger.HeaderKey] = []string{strconv.Itoa(int(order.Relay.Key))}
	}
	if order.Relay.Caller != "" {
		header[messenger.HeaderCaller] = []string{order.Relay.Caller}
	}
}

// Read implements [courier.Dialect].
func (Dialect) Read(_ int, header http.Header) courier.Told {
	refusal := messenger.Refusal(header.Get(messenger.HeaderRefused))
	return courier.Told{
		ID:        header.Get(messenger.HeaderRequest),
		NotRun:    refusal != "",
		Misplaced: refusal == messenger.RefusalFence,
	}
}
