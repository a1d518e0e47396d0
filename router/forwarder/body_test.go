package forwarder

import (
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a request that runs with a part of its body missing: an attempt that was
// refused, but still sends in the background, must not read what the next one sends.
func TestEndedAttemptReadsNoMore(t *testing.T) {
	whole := strings.Repeat("x", BufferSize+100)
	body, err := newReplayBody(strings.NewReader(whole), -1)
	qt.Assert(t, err, qt.IsNil)
	first := body.reader()
	_, err = io.CopyN(io.Discard, first, BufferSize+1)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body.rewind(), qt.IsTrue)
	_, err = io.ReadAll(first)
	qt.Check(t, err, qt.ErrorIs, errAttemptEnded)
	second, err := io.ReadAll(body.reader())
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, len(second), qt.Equals, len(whole))
	qt.Check(t, body.rewind(), qt.IsFalse)
}
