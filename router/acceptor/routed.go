package acceptor

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/relayer"
)

// Relay serves calls for the services of a configuration; [relayer.Entry] is one.
type Relay interface {
	Serve(ctx context.Context, call *relayer.Call) relayer.Answer
}

// Routed is the caller interface of a router that serves a configuration. The
// routes say by host and path what a request is for; docs/CALLERS.md describes it.
func Routed(name string, relay Relay) http.Handler {
	numbers := newNumberer(name)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call, err := routedCall(r, numbers)
		if err != nil {
			refused := &messenger.Response{Outcome: messenger.OutcomeRefused, Reason: messenger.ReasonMalformed}
			writeProblem(w, refused, http.StatusBadRequest, err.Error())
			return
		}
		w.Header().Set(messenger.HeaderRequest, call.ID)
		answer := relay.Serve(r.Context(), call)
		if answer.Outcome != messenger.OutcomeDone {
			response := &messenger.Response{Outcome: answer.Outcome, Reason: answer.Reason, RetryAfter: answer.RetryAfter}
			writeProblem(w, response, statusOf(answer.Outcome, answer.Reason), "")
			return
		}
		answer.Header = withoutPrefix(answer.Header, reservedPrefix)
		w.Header().Set(messenger.HeaderOutcome, string(answer.Outcome))
		PassOn(w, r, answer)
	})
}

// routedCall reads a caller's request.
func routedCall(r *http.Request, numbers *numberer) (*relayer.Call, error) {
	call := &relayer.Call{
		ID:     numbers.next(),
		Method: r.Method,
		Host:   r.Host,
		Target: r.RequestURI,
		Header: endToEnd(r.Header),
		Length: r.ContentLength,
		Body:   r.Body,
		Key:    messenger.NoKey,
	}
	if text := r.Header.Get(messenger.HeaderKey); text != "" {
		key, err := strconv.ParseUint(text, 10, 32)
		if err != nil || key > messenger.LastKey {
			return nil, errs.New("%s must be a number from 0 to %d", messenger.HeaderKey, messenger.LastKey)
		}
		call.Key = int32(key)
	}
	if r.Header.Get(messenger.HeaderTimeout) != "" {
		left, err := parseTimeout(r.Header, time.Hour)
		if err != nil {
			return nil, err
		}
		call.Left = left
	}
	return call, nil
}

// withoutPrefix drops the fields whose names start with prefix.
func withoutPrefix(fields []messenger.Header, prefix string) []messenger.Header {
	kept := fields[:0:0]
	for _, field := range fields {
		if !strings.HasPrefix(field.Name, prefix) {
			kept = append(kept, field)
		}
	}
	return kept
}

// PassOn writes the answer of a backend server and closes its body. An answer that
// breaks off ends the connection, so that it does not look whole.
func PassOn(w http.ResponseWriter, r *http.Request, answer relayer.Answer) {
	defer func() { _ = answer.Body.Close() }()
	header := w.Header()
	for _, field := range answer.Header {
		header[field.Name] = field.Values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // keeps net/http from guessing one
	}
	if answer.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	w.WriteHeader(answer.Status)
	if r.Method == http.MethodHead {
		return
	}
	if _, err := io.Copy(w, answer.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
