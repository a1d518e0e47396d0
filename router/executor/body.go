package executor

import (
	"io"
	"sync"
)

// trackedBody is the body of an answer that calls onEnd once when it has ended.
type trackedBody struct {
	io.ReadCloser
	once  sync.Once
	onEnd func()
}

func newTrackedBody(body io.ReadCloser, onEnd func()) *trackedBody {
	return &trackedBody{ReadCloser: body, onEnd: onEnd}
}

// Read implements io.Reader. Any error, io.EOF included, ends the body.
func (t *trackedBody) Read(data []byte) (int, error) {
	n, err := t.ReadCloser.Read(data)
	if err != nil {
		t.once.Do(t.onEnd)
	}
	return n, err
}

// Close implements io.Closer.
func (t *trackedBody) Close() error {
	err := t.ReadCloser.Close()
	t.once.Do(t.onEnd)
	return err
}
