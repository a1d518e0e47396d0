package dispatcher

import (
	"net/http"
	"strconv"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/courier"
)

// HeaderCodec implements the Marigold header fields between a router and the backend
// servers of a configuration; docs/BACKEND.md specifies them.
type HeaderCodec struct{}

var _ courier.HeaderCodec = HeaderCodec{}

// SetHeader implements [courier.HeaderCodec].
func (HeaderCodec) SetHeader(header http.Header, serverRequest *courier.ServerRequest) {
	header[messenger.HeaderRequestNumber] = []string{serverRequest.Relay.ID}
	header[messenger.HeaderDeadline] = []string{strconv.FormatInt(serverRequest.Deadline.UnixMilli(), 10)}
	header[messenger.HeaderServer] = []string{serverRequest.Server}
	if serverRequest.Relay.Key != messenger.NoKey {
		header[messenger.HeaderKey] = []string{strconv.Itoa(int(serverRequest.Relay.Key))}
	}
	if serverRequest.Relay.Caller != "" {
		header[messenger.HeaderCaller] = []string{serverRequest.Relay.Caller}
	}
}

// ParseHeader implements [courier.HeaderCodec].
func (HeaderCodec) ParseHeader(_ int, header http.Header) courier.ResponseInfo {
	refusal := messenger.Refusal(header.Get(messenger.HeaderRefused))
	return courier.ResponseInfo{
		ID:          header.Get(messenger.HeaderRequestNumber),
		NotExecuted: refusal != "",
		Misdirected: refusal == messenger.RefusalFence,
		Leaving:     header.Get(messenger.HeaderLeaving) == "1",
		Limit:       courier.ParseLimit(header.Get(messenger.HeaderLimit)),
		ColdLeft:    courier.ParseMillis(header.Get(messenger.HeaderCold)),
	}
}
