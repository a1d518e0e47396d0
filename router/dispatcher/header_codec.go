package dispatcher

import (
	"net/http"
	"strconv"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/requester"
)

// HeaderCodec implements the Marigold header fields between a router and the backend
// servers of a configuration; docs/BACKEND.md specifies them.
type HeaderCodec struct{}

var _ requester.HeaderCodec = HeaderCodec{}

// SetHeader implements [requester.HeaderCodec].
func (HeaderCodec) SetHeader(header http.Header, serverRequest *requester.ServerRequest) {
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

// ParseHeader implements [requester.HeaderCodec].
func (HeaderCodec) ParseHeader(_ int, header http.Header) requester.ResponseInfo {
	refusal := messenger.Refusal(header.Get(messenger.HeaderRefused))
	return requester.ResponseInfo{
		ID:          header.Get(messenger.HeaderRequestNumber),
		NotExecuted: refusal != "",
		Misdirected: refusal == messenger.RefusalFence,
		Leaving:     header.Get(messenger.HeaderLeaving) == "1",
		Limit:       requester.ParseLimit(header.Get(messenger.HeaderLimit)),
		ColdLeft:    requester.ParseMillis(header.Get(messenger.HeaderCold)),
	}
}
