package journaler

import (
	"errors"
	"syscall"
)

// OnFull sets a function that is called when the disk is full. It blocks until the write
// is to be tried again, or returns false to make it fail. Without one it fails at once.
// It must be set before the first Write.
func (j *Journal) OnFull(wait func(err error) bool) {
	j.onFull = wait
}

// IsFull reports whether an error means that the disk has no room, at present, for what was
// to be written.
func IsFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// retryWhenFull repeats a step while the disk is full. The step must leave nothing behind
// that its repetition does not replace.
func (j *Journal) retryWhenFull(step func() error) error {
	for {
		err := step()
		if err == nil || !IsFull(err) || j.onFull == nil || !j.onFull(err) {
			return err
		}
	}
}

// appendLog appends data to the log and syncs it. A full disk may refuse it at each step: a
// file system that assigns blocks late does so at the sync. What an earlier attempt left is
// removed first, so that the torn record stays the last one.
func (j *Journal) appendLog(data []byte) error {
	if j.torn {
		if err := j.disk.Truncate(j.logPath, j.size); err != nil {
			return writeError(j.logPath, err)
		}
		j.torn = false
	}
	if written, err := j.file.Write(data); err != nil {
		j.torn = written > 0
		return writeError(j.logPath, err)
	}
	if err := j.file.Sync(); err != nil {
		j.torn = true
		return writeError(j.logPath, err)
	}
	return nil
}
