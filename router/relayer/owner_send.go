package relayer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/isolator"
	"marigoldhill/router/queuer"
	"marigoldhill/router/requester"
	"marigoldhill/router/sanitizer"
)

// send sends a request to the backend server.
func (o *Owner) send(ctx context.Context, started timer.Instant, relay *messenger.Relay, row *messenger.ServerRow, slot *queuer.Slot, pass *isolator.Pass, body io.Reader) (*messenger.RelayResponse, io.ReadCloser) {
	left := relay.Left - timer.Now().Since(started)
	ctx, cancel := context.WithTimeout(ctx, left+relay.Grace)
	sentAt, stopwatch := time.Now(), timer.StartStopwatch()
	slot.Sending()
	result := o.options.Backend.Send(ctx, row.URL, &requester.ServerRequest{
		Relay:    relay,
		Deadline: sentAt.Add(left),
		Server:   row.Name,
	}, body)
	o.reportServer(row, result)
	o.updateLimit(row, sentAt, result)
	if result.ResponseInfo.Leaving {
		o.options.Server.Leave(timer.Now(), row)
	}
	if errors.Is(result.Err, requester.ErrExcess) {
		o.options.Log.Emit(logger.ResponseOversized, "id", relay.ID, "service", relay.Service, "server", row.Name, "address", row.URL, "error", result.Err)
	}
	if result.Outcome != messenger.OutcomeDone {
		cancel()
		o.leaveKey(relay)
		pass.Leave()
		slot.Release(false)
		// The server may have answered in time while this process did not run.
		paused := isTimeout(result) && stopwatch.Paused() > 0
		if isServerFailure(result) && !paused {
			o.options.Sampler.Judged(true)
		}
		if isTimeout(result) && !paused {
			// Unanswered requests count too. Otherwise a server that has become too
			// slow to answer would not be measured as slow.
			o.options.Sampler.Finished(stopwatch.Elapsed())
		}
		response := &messenger.RelayResponse{Outcome: result.Outcome, Reason: result.Reason, Ran: result.Sent}
		o.logFailure(relay, response, "no answer from the backend server", result.Err)
		return response, nil
	}
	finish := func(complete bool, readErr error) {
		left := errors.Is(ctx.Err(), context.Canceled)
		cancel()
		if readErr != nil && !left {
			o.options.Detector.ConnectionBroken(row.URL)
		}
		duration := stopwatch.Elapsed()
		succeeded := complete && result.Status < http.StatusInternalServerError
		if succeeded {
			pass.Complete()
		}
		o.leaveKey(relay)
		pass.Leave()
		slot.Release(succeeded)
		if complete || (readErr != nil && !left) {
			o.options.Sampler.Judged(!succeeded)
		}
		if complete {
			o.options.Sampler.Finished(duration)
			o.duration.Update(duration.Seconds())
		}
	}
	response := &messenger.RelayResponse{
		Outcome: messenger.OutcomeDone,
		Ran:     true,
		Status:  result.Status,
		Header:  sanitizer.EndToEndFields(result.Header, nil),
		Length:  result.Length,
	}
	if result.Length < 0 || result.Length > maxBufferedBytes {
		return response, &unbufferedBody{ReadCloser: result.Body, finish: finish}
	}
	content, err := io.ReadAll(result.Body)
	_ = result.Body.Close()
	finish(err == nil, err)
	if err != nil {
		response = &messenger.RelayResponse{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonTruncated, Ran: true}
		o.logFailure(relay, response, "answer body of the backend server truncated", err)
		return response, nil
	}
	return response, io.NopCloser(bytes.NewReader(content))
}

// isServerFailure reports whether a result without an answer counts as a failure of
// the server. Refused connections do not count, since the monitor handles a server
// that is gone, nor do canceled requests and deadlines that passed before the request
// was sent.
func isServerFailure(result requester.Result) bool {
	switch result.Reason {
	case messenger.ReasonExpired, messenger.ReasonCrashed, messenger.ReasonTruncated, messenger.ReasonShed:
		return true
	}
	return false
}

// isTimeout reports whether a request that was sent got no answer by its deadline.
func isTimeout(result requester.Result) bool {
	return result.Outcome == messenger.OutcomeUnknown && result.Reason == messenger.ReasonExpired
}

// updateLimit applies the limit that the server named in its response.
func (o *Owner) updateLimit(row *messenger.ServerRow, sentAt time.Time, result requester.Result) {
	if result.ResponseInfo.ID == "" || o.options.Server.View().Row != row {
		return
	}
	if o.options.Admission.SetLimit(result.ResponseInfo.Limit, sentAt) {
		o.options.Log.Emit(logger.ServerLimitChanged, "server", row.Name, "service", row.Service, "limit", o.options.Admission.Limit())
	}
}

// reportServer reports whether the server answered, refused the connection or ended it
// while the request ran.
func (o *Owner) reportServer(row *messenger.ServerRow, result requester.Result) {
	switch {
	case result.Reason == messenger.ReasonCrashed || result.Reason == messenger.ReasonTruncated:
		o.options.Detector.ConnectionBroken(row.URL)
	case result.Outcome == messenger.OutcomeDone || result.ResponseInfo.ID != "":
		o.options.Server.ResponseReceived()
	case !result.Sent && isConnectionRefused(result.Err):
		o.options.Server.DialRefused(timer.Now())
	}
}

// unbufferedBody is the body of a large answer. When it is closed, it calls finish
// once, with the read error of the server's connection, if any.
type unbufferedBody struct {
	io.ReadCloser
	finish  func(complete bool, readErr error)
	readErr error
	eof     bool
	closed  bool
}

// Read implements io.Reader.
func (b *unbufferedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err != nil && err != io.EOF {
		b.readErr = err
	}
	b.eof = b.eof || err == io.EOF
	return n, err
}

// Close implements io.Closer.
func (b *unbufferedBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	err := b.ReadCloser.Close()
	b.finish(b.eof, b.readErr)
	return err
}
