package acceptor

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/listener"
	"marigoldhill/kernel/messenger"
	"marigoldhill/router/relayer"
)

// Relay serves calls in routed mode. [relayer.Entry] implements it.
type Relay interface {
	Serve(ctx context.Context, call *relayer.Call) relayer.Answer
}

// Routed returns the HTTP handler for the callers of a router in routed mode.
// The routes select the service by host and path; docs/CALLERS.md describes the
// interface.
func Routed(name string, relay Relay) http.Handler {
	requestIDs := newIDGenerator(name)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call, err := parseRoutedCall(r, requestIDs)
		if err != nil {
			refusalResponse := &messenger.Response{Outcome: messenger.OutcomeRefused, Reason: messenger.ReasonMalformed}
			listener.StopReading(w, r)
			writeProblem(w, refusalResponse, http.StatusBadRequest, err.Error())
			return
		}
		w.Header().Set(messenger.HeaderRequestNumber, call.ID)
		answer := relay.Serve(r.Context(), call)
		if answer.Outcome != messenger.OutcomeDone {
			response := &messenger.Response{Outcome: answer.Outcome, Reason: answer.Reason, RetryAfter: answer.RetryAfter}
			listener.StopReading(w, r)
			writeProblem(w, response, httpStatus(answer.Outcome, answer.Reason), "")
			return
		}
		answer.Header = withoutPrefix(answer.Header, reservedPrefix)
		w.Header().Set(messenger.HeaderOutcome, string(answer.Outcome))
		WriteResponse(w, r, answer)
	})
}

// parseRoutedCall converts an HTTP request into a call.
func parseRoutedCall(r *http.Request, requestIDs *idGenerator) (*relayer.Call, error) {
	call := &relayer.Call{
		ID:     requestIDs.next(),
		Method: r.Method,
		Host:   r.Host,
		Target: r.RequestURI,
		Header: endToEnd(r.Header),
		Length: r.ContentLength,
		Body:   r.Body,
		Key:    messenger.NoKey,
	}
	if value := r.Header.Get(messenger.HeaderKey); value != "" {
		key, err := strconv.ParseUint(value, 10, 32)
		if err != nil || key > messenger.LastKey {
			return nil, errs.New("%s must be a number from 0 to %d", messenger.HeaderKey, messenger.LastKey)
		}
		call.Key = int32(key)
	}
	if r.Header.Get(messenger.HeaderTimeout) != "" {
		timeout, err := parseTimeout(r.Header, time.Hour)
		if err != nil {
			return nil, err
		}
		call.TimeLeft = timeout
	}
	return call, nil
}

// withoutPrefix returns the fields whose names do not start with prefix.
func withoutPrefix(fields []messenger.Header, prefix string) []messenger.Header {
	kept := fields[:0:0]
	for _, field := range fields {
		if !strings.HasPrefix(field.Name, prefix) {
			kept = append(kept, field)
		}
	}
	return kept
}

// answerCost returns the memory that an answer takes until the caller has read it: the answer
// itself, and a buffer for copying it. Longer ones, and those of unknown length, wait in the
// window of a link.
func answerCost(length int64) int64 {
	if length < 0 {
		return linker.StreamWindowBytes + copyBufferBytes
	}
	return min(length, linker.StreamWindowBytes) + min(length, copyBufferBytes)
}

// WriteResponse writes the response of a backend server and closes its body. When the
// body is truncated, the connection is aborted, so that the caller does not take it for
// complete.
func WriteResponse(w http.ResponseWriter, r *http.Request, answer relayer.Answer) {
	defer func() { _ = answer.Body.Close() }()
	header := w.Header()
	for _, field := range answer.Header {
		header[field.Name] = field.Values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // prevents net/http from detecting one
	}
	if answer.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	w.WriteHeader(answer.Status)
	if r.Method == http.MethodHead {
		return
	}
	listener.Grow(r.Context(), answerCost(answer.Length))
	var err error
	if answer.Length < 0 && listener.IsArriving(r) {
		// The caller may wait for the start of the answer before it sends on.
		err = copyBody(w, answer.Body, true)
	} else {
		_, err = io.Copy(w, answer.Body)
	}
	if err != nil {
		abortResponse(w, r)
	}
}
