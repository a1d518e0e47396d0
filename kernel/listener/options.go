package listener

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"marigoldhill/kernel/limiter"
)

// Options are the limits of a Guard.
type Options struct {
	// Budget is what all clients may take together; nil means no limit.
	Budget *limiter.Budget
	// HeadLimit returns the largest size of a request head in bytes, 0 for that of the
	// server; nil means the same.
	HeadLimit func() int64
	// RequestCost returns the memory that a request takes while it is served, besides its
	// head; nil means none.
	RequestCost func(r *http.Request) int64
	// BodyCost is the memory that each byte of a request body takes once it is read; 0 if
	// bodies are not kept or are accounted for otherwise.
	BodyCost int64
}

// refusedRetryAfter is the delay after which clients should retry that were refused for lack
// of memory. It is given back as requests end.
const refusedRetryAfter = time.Second

// refuse writes the response to a request that is not served for lack of memory.
func refuse(w http.ResponseWriter, err error) {
	if errors.Is(err, limiter.ErrClosed) {
		panic(http.ErrAbortHandler) // the connection is closed
	}
	w.Header().Set("Retry-After", strconv.Itoa(int(refusedRetryAfter/time.Second)))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Grow accounts for memory that is being spent on the answer to the request of ctx. It has
// no effect if its listener has no budget.
func Grow(ctx context.Context, bytes int64) {
	if conn, ok := ctx.Value(connKey{}).(*guardedConn); ok && conn != nil && conn.account != nil {
		conn.account.Grow(bytes)
	}
}

// meteredBody is a body that accounts for what is read of it.
type meteredBody struct {
	io.ReadCloser
	account *limiter.Account
	cost    int64
}

// Read implements [io.Reader]. Its error wraps [limiter.ErrShort] if there is no room for
// what was read.
func (b *meteredBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if failure := b.account.Reserve(int64(n) * b.cost); failure != nil {
		return 0, Error.New("reading a request body: %w", failure)
	}
	return n, err
}
