package executor

import (
	"bytes"
	"io"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/recorder"
)

// finishRecord buffers the answer to a non-idempotent request if it is small, and
// finishes the record of the request if there is one.
func (r *run) finishRecord(answer *Answer) {
	if r.profile.Idempotent {
		return
	}
	body, complete := r.bufferAnswer(answer)
	if r.record == nil {
		return
	}
	response := &answer.Response
	ended := recorder.RunResult{Reason: response.Reason}
	switch response.Outcome {
	case messenger.OutcomeRefused:
		ended.State = messenger.RecordRefused
	case messenger.OutcomeDone:
		ended.State = messenger.RecordDone
		ended.Status = response.Status
		ended.Header = response.Header
		ended.Body = body
		ended.Large = !complete
	default:
		ended.State = messenger.RecordStarted
	}
	r.record.Finish(ended)
}

// bufferAnswer reads an answer of up to recorder.MaxResponseBytes bytes into memory.
func (r *run) bufferAnswer(answer *Answer) (body []byte, complete bool) {
	if answer.Body == nil || answer.Response.Length > recorder.MaxResponseBytes {
		return nil, false
	}
	prefix := new(bytes.Buffer)
	_, err := io.CopyN(prefix, answer.Body, recorder.MaxResponseBytes+1)
	if err == io.EOF {
		_ = answer.Body.Close()
		answer.Body = &bufferedBody{Reader: bytes.NewReader(prefix.Bytes())}
		return prefix.Bytes(), true
	}
	answer.Body = &partlyReadBody{Reader: io.MultiReader(prefix, errorReader(err), answer.Body), source: answer.Body}
	return nil, false
}

// bufferedBody is a body that was read into memory.
type bufferedBody struct {
	*bytes.Reader
}

// Close implements io.Closer.
func (bufferedBody) Close() error {
	return nil
}

// partlyReadBody is a body whose start was read into memory.
type partlyReadBody struct {
	io.Reader
	source io.Closer
}

// Close implements io.Closer.
func (b *partlyReadBody) Close() error {
	return b.source.Close()
}

// errorReader returns a reader that fails with err, or is empty when err is nil.
func errorReader(err error) io.Reader {
	if err == nil {
		return bytes.NewReader(nil)
	}
	return &failingReader{err: err}
}

type failingReader struct {
	err error
}

// Read implements io.Reader.
func (f *failingReader) Read([]byte) (int, error) {
	return 0, f.err
}

// outcomeReport returns a function that reports the outcome of the request to
// Options.OutcomeStore.
func (r *run) outcomeReport(answer *Answer) func() {
	outcome := messenger.OutcomeResponse{Outcome: answer.Response.Outcome, Reason: answer.Response.Reason}
	if buffered, ok := answer.Body.(*bufferedBody); ok && !r.profile.Idempotent {
		response := answer.Response
		outcome.Response = &response
		outcome.Body = make([]byte, buffered.Len())
		// A read from memory never fails.
		_, _ = buffered.ReadAt(outcome.Body, 0)
	}
	if outcome.Outcome == messenger.OutcomeDone && outcome.Response == nil {
		outcome = messenger.OutcomeResponse{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonLarge}
	}
	return func() {
		r.options.OutcomeStore.End(timer.Now(), r.request.Number, outcome, r.profile.Idempotent)
	}
}
