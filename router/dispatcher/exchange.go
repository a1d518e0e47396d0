package dispatcher

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/zeebo/errs"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/stripper"
)

// errBody wraps errors of reading the caller's body.
var errBody = errs.New("body of the caller")

// build makes the HTTP request of an order.
func build(ctx context.Context, order *Order) (*http.Request, error) {
	from := order.Request
	target := strings.TrimSuffix(order.Server.URL, "/") + "/" + url.PathEscape(from.Key) + "/" + from.Route
	if from.Query != "" {
		target += "?" + from.Query
	}
	request, err := http.NewRequestWithContext(ctx, from.Method, target, nil)
	if err != nil {
		return nil, Error.New("building the request: %w", err)
	}
	for _, field := range from.Header {
		request.Header[http.CanonicalHeaderKey(field.Name)] = field.Values
	}
	stripper.Strip(request.Header)
	if request.Header.Get("User-Agent") == "" {
		request.Header.Set("User-Agent", "")
	}
	request.Header.Set(messenger.HeaderFence, strconv.FormatUint(order.Fence, 10))
	request.Header.Set(messenger.HeaderShard, strconv.FormatUint(uint64(order.Shard), 10))
	request.Header.Set(messenger.HeaderDeadline, strconv.FormatInt(order.Deadline.UnixMilli(), 10))
	if from.Idempotency != "" {
		request.Header.Set(messenger.HeaderIdempotency, from.Idempotency)
	}
	request.ContentLength = max(from.Length, 0)
	if from.Length < 0 {
		request.ContentLength = -1
	}
	// A body that is neither nil nor http.NoBody, without GetBody, keeps the
	// client from sending the request a second time.
	request.Body = &onceBody{from: order.Body}
	if from.Length == 0 {
		request.Body = &onceBody{}
	}
	return request, nil
}

// onceBody is a request body that can be read once.
type onceBody struct {
	from io.Reader
}

func (b *onceBody) Read(data []byte) (int, error) {
	if b.from == nil {
		return 0, io.EOF
	}
	n, err := b.from.Read(data)
	if err != nil && !errors.Is(err, io.EOF) {
		err = Error.New("reading: %w: %w", errBody, err)
	}
	return n, err
}

func (b *onceBody) Close() error {
	return nil
}

// answer turns an HTTP response into a Result.
func answer(response *http.Response) Result {
	if refusal := response.Header.Get(messenger.HeaderRefused); refusal != "" {
		_ = response.Body.Close()
		return refused(refusalReason(messenger.Refusal(refusal)), CauseNone)
	}
	if !isFramed(response) {
		_ = response.Body.Close()
		return Result{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonTruncated, Cause: CauseNone}
	}
	stripper.Strip(response.Header)
	head := messenger.Response{
		Outcome: messenger.OutcomeDone,
		Status:  response.StatusCode,
		Length:  response.ContentLength,
	}
	for name, values := range response.Header {
		head.Header = append(head.Header, messenger.Header{Name: name, Values: values})
	}
	return Result{Outcome: messenger.OutcomeDone, Response: head, Body: response.Body}
}

// isFramed reports whether the end of the body can be told from a broken
// connection. A body that ends with the connection cannot.
func isFramed(response *http.Response) bool {
	if response.ContentLength >= 0 || response.Body == http.NoBody {
		return true
	}
	return len(response.TransferEncoding) > 0
}

// refusalReason turns the refusal of a backend server into a reason.
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
