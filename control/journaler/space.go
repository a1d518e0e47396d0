package journaler

import (
	"errors"
	"fmt"
	"syscall"
)

// OnFull sets a function that is called when the disk is full. It blocks until the write
// is to be tried again, or returns false to make it fail. Without one it fails at once.
// It must be set before the first Write.
func (j *Journal) OnFull(wait func(err error) bool) {
	j.onFull = wait
}

// retryWhenFull repeats a step while the disk is full. The step must leave nothing behind
// that its repetition does not replace.
func (j *Journal) retryWhenFull(step func() error) error {
	for {
		err := step()
		if err == nil || !errors.Is(err, syscall.ENOSPC) || j.onFull == nil || !j.onFull(err) {
			return err
		}
	}
}

// appendLog appends data to the log. If the disk is full, it removes what was written.
func (j *Journal) appendLog(data []byte) error {
	written, err := j.file.Write(data)
	if err == nil {
		return nil
	}
	if errors.Is(err, syscall.ENOSPC) && written > 0 {
		if failure := j.disk.Truncate(j.logPath, j.size); failure != nil {
			// The torn record must stay the last one. The cause is not wrapped, so that
			// there is no second attempt.
			return writeError(j.logPath, fmt.Errorf("%v, and removing the part that was written: %v", err, failure))
		}
	}
	return writeError(j.logPath, err)
}
