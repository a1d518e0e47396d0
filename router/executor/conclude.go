package executor

import (
	"bytes"
	"errors"
	"io"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/recorder"
)

// conclude keeps the answer of a non-idempotent request where it is small, and
// ends its record.
func (r *run) conclude(answer *Answer) {
	if r.profile.Idempotent {
		return
	}
	kept, whole := r.keep(answer)
	if r.record == nil {
		return
	}
	response := &answer.Response
	ended := recorder.Ended{Reason: response.Reason}
	switch response.Outcome {
	case messenger.OutcomeRefused:
		ended.State = messenger.RecordRefused
	case messenger.OutcomeDone:
		ended.State = messenger.RecordDone
		ended.Status = response.Status
		ended.Header = response.Header
		ended.Body = kept
		ended.Large = !whole
	default:
		ended.State = messenger.RecordStarted
	}
	r.record.Finish(ended)
}

// keep reads an answer that is small enough to be kept into memory.
func (r *run) keep(answer *Answer) (kept []byte, whole bool) {
	if answer.Body == nil || answer.Response.Length > recorder.MaxAnswer {
		return nil, false
	}
	prefix := new(bytes.Buffer)
	_, err := io.CopyN(prefix, answer.Body, recorder.MaxAnswer+1)
	if errors.Is(err, io.EOF) {
		_ = answer.Body.Close()
		answer.Body = &wholeBody{Reader: bytes.NewReader(prefix.Bytes())}
		return prefix.Bytes(), true
	}
	answer.Body = &joinedBody{Reader: io.MultiReader(prefix, failing(err), answer.Body), from: answer.Body}
	return nil, false
}

// wholeBody is a body that was read into memory.
type wholeBody struct {
	*bytes.Reader
}

// Close implements io.Closer.
func (wholeBody) Close() error {
	return nil
}

// joinedBody is a body of which the start was read already.
type joinedBody struct {
	io.Reader
	from io.Closer
}

// Close implements io.Closer.
func (b *joinedBody) Close() error {
	return b.from.Close()
}

// failing returns a reader that fails with err, or is empty without one.
func failing(err error) io.Reader {
	if err == nil {
		return bytes.NewReader(nil)
	}
	return &failure{err: err}
}

type failure struct {
	err error
}

// Read implements io.Reader.
func (f *failure) Read([]byte) (int, error) {
	return 0, f.err
}

// numberEnding tells Numbers what became of the request.
func (r *run) numberEnding(answer *Answer) func() {
	outcome := messenger.OutcomeAnswer{Outcome: answer.Response.Outcome, Reason: answer.Response.Reason}
	if whole, ok := answer.Body.(*wholeBody); ok && !r.profile.Idempotent {
		response := answer.Response
		outcome.Response = &response
		outcome.Body = make([]byte, whole.Len())
		// A read of memory never fails.
		_, _ = whole.ReadAt(outcome.Body, 0)
	}
	if outcome.Outcome == messenger.OutcomeDone && outcome.Response == nil {
		outcome = messenger.OutcomeAnswer{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonLarge}
	}
	return func() {
		r.options.Numbers.End(timer.Now(), r.request.Number, outcome, r.profile.Idempotent)
	}
}
