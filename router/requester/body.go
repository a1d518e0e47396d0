package requester

import (
	"io"
	"sync"
)

// responseBody is the body of a response. At its end, or when it is closed, the
// connection is returned to the pool or closed.
type responseBody struct {
	client   *Client
	conn     *conn
	source   io.ReadCloser
	stop     func() bool
	complete bool
	// endsWithConnection is set if nothing but the end of the connection ends the body.
	endsWithConnection bool
	finishOnce         sync.Once
}

// Read implements io.Reader.
func (b *responseBody) Read(data []byte) (int, error) {
	n, err := b.source.Read(data)
	if err == io.EOF && b.endsWithConnection && !b.conn.endedInOrder() {
		err = errReset
	}
	if err == io.EOF {
		b.complete = true
		b.finish()
		return n, io.EOF
	}
	if err != nil {
		return n, Error.New("reading the body of the response: %w", err)
	}
	return n, nil
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	b.finish()
	return nil
}

func (b *responseBody) finish() {
	b.finishOnce.Do(func() {
		usable := b.stop() && b.complete && b.conn.reusable && b.conn.isSent()
		if !usable || b.conn.reader.Buffered() > 0 {
			b.conn.close()
			return
		}
		b.client.putIdle(b.conn)
	})
}
