package dispatcher

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/zeebo/errs"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/sanitizer"
)

// errReadBody wraps errors of reading the caller's body.
var errReadBody = errs.New("caller's body")

// newHTTPRequest returns the HTTP request for a ServerRequest.
func newHTTPRequest(ctx context.Context, serverRequest *ServerRequest) (*http.Request, error) {
	source := serverRequest.Request
	target := strings.TrimSuffix(serverRequest.Server.URL, "/") + "/" + url.PathEscape(source.Key) + "/" + source.Route
	if source.Query != "" {
		target += "?" + source.Query
	}
	request, err := http.NewRequestWithContext(ctx, source.Method, target, nil)
	if err != nil {
		return nil, Error.New("building the request: %w", err)
	}
	for _, field := range source.Header {
		request.Header[http.CanonicalHeaderKey(field.Name)] = field.Values
	}
	sanitizer.Strip(request.Header)
	if request.Header.Get("User-Agent") == "" {
		request.Header.Set("User-Agent", "")
	}
	request.Header.Set(messenger.HeaderFence, strconv.FormatUint(serverRequest.Fence, 10))
	request.Header.Set(messenger.HeaderShard, strconv.FormatUint(uint64(serverRequest.Shard), 10))
	request.Header.Set(messenger.HeaderDeadline, strconv.FormatInt(serverRequest.Deadline.UnixMilli(), 10))
	if number := attemptNumber(source); number != "" {
		request.Header.Set(messenger.HeaderRequestNumber, number)
	}
	if source.Idempotency != "" {
		request.Header.Set(messenger.HeaderIdempotencyKey, source.Idempotency)
	}
	request.ContentLength = max(source.Length, 0)
	if source.Length < 0 {
		request.ContentLength = -1
	}
	// A body that is neither nil nor http.NoBody, without GetBody, prevents the
	// client from sending the request a second time.
	request.Body = &onceBody{source: serverRequest.Body}
	if source.Length == 0 {
		request.Body = &onceBody{}
	}
	return request, nil
}

// attemptNumber returns the number that the server returns in its response. The attempts of
// a request have different ones: a late copy of the refusal of an earlier attempt must not be
// taken for the response to a later one, which runs.
func attemptNumber(request *messenger.Request) string {
	if request.Number == "" || request.Attempt <= 1 {
		return request.Number
	}
	return request.Number + "." + strconv.Itoa(request.Attempt)
}

// onceBody is a request body that can be read once. Without a source it is empty.
type onceBody struct {
	source io.Reader
}

func (b *onceBody) Read(data []byte) (int, error) {
	if b.source == nil {
		return 0, io.EOF
	}
	n, err := b.source.Read(data)
	if err != nil && err != io.EOF {
		err = Error.New("reading the %w: %w", errReadBody, err)
	}
	return n, err
}

func (b *onceBody) Close() error {
	return nil
}

// responseResult turns an HTTP response into a Result.
func responseResult(response *http.Response) Result {
	if refusal := response.Header.Get(messenger.HeaderRefused); refusal != "" {
		_ = response.Body.Close()
		return refusedResult(refusalReason(messenger.Refusal(refusal)), CauseNone)
	}
	if !isFramed(response) {
		_ = response.Body.Close()
		return Result{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonTruncated, Cause: CauseNone}
	}
	sanitizer.Strip(response.Header)
	header := messenger.Response{
		Outcome: messenger.OutcomeDone,
		Status:  response.StatusCode,
		Length:  response.ContentLength,
	}
	for name, values := range response.Header {
		header.Header = append(header.Header, messenger.Header{Name: name, Values: values})
	}
	return Result{Outcome: messenger.OutcomeDone, Response: header, Body: response.Body}
}

// isFramed reports whether the end of the body can be distinguished from a broken
// connection. This is not possible for a body that is delimited by the end of the
// connection.
func isFramed(response *http.Response) bool {
	if response.ContentLength >= 0 || response.Body == http.NoBody {
		return true
	}
	return len(response.TransferEncoding) > 0
}

// refusalReason returns the reason for a refusal by a backend server.
func refusalReason(refusal messenger.Refusal) messenger.Reason {
	switch refusal {
	case messenger.RefusalFence:
		return messenger.ReasonFence
	case messenger.RefusalDeadline:
		return messenger.ReasonDeadline
	case messenger.RefusalDraining:
		return messenger.ReasonDraining
	}
	return messenger.ReasonShed
}
