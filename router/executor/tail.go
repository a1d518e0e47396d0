package executor

import (
	"io"
	"sync"
)

// tail is the body of an answer, with something to do once it ended.
type tail struct {
	io.ReadCloser
	once sync.Once
	end  func()
}

func newTail(body io.ReadCloser, end func()) *tail {
	return &tail{ReadCloser: body, end: end}
}

// Read ends the tail at the end of the body, or where it breaks.
func (t *tail) Read(data []byte) (int, error) {
	n, err := t.ReadCloser.Read(data)
	if err != nil {
		t.once.Do(t.end)
	}
	return n, err
}

// Close implements io.Closer.
func (t *tail) Close() error {
	err := t.ReadCloser.Close()
	t.once.Do(t.end)
	return err
}
