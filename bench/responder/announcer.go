package responder

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"marigoldhill/kernel/messenger"
)

const (
	announceInterval = time.Second
	announceTimeout  = 2 * time.Second
	// maxIdleConns limits the idle connections to the router.
	maxIdleConns  = 2
	leaveInterval = 100 * time.Millisecond
	// maxLeaveFailures is how many announcements of the shutdown may fail before
	// the server stops without having left.
	maxLeaveFailures = 10
	headerTimeout    = 10 * time.Second
)

// announceLoop announces the server to its router every announceInterval until the
// instance stops.
func (s *Server) announceLoop(instance *instance) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		s.gate.wait(instance.done)
		// A failed announcement is repeated at the next tick.
		if !instance.leaving.Load() {
			_, _ = s.announce(context.Background(), http.MethodPost)
		}
		select {
		case <-ticker.C:
		case <-instance.done:
			return
		}
	}
}

// leave announces the shutdown repeatedly until the router has revoked all shards.
func (s *Server) leave(ctx context.Context, instance *instance) error {
	failures := 0
	for {
		announced, err := s.announce(ctx, http.MethodDelete)
		switch {
		case err != nil && failures == maxLeaveFailures:
			return Error.New("announcing the shutdown: %w", err)
		case err != nil:
			failures++
		case announced.Shards == 0:
			return nil
		}
		select {
		case <-time.After(leaveInterval):
		case <-instance.done:
			return nil
		case <-ctx.Done():
			return Error.New("waiting until all shards are revoked: %w", ctx.Err())
		}
	}
}

func (s *Server) announce(ctx context.Context, method string) (messenger.AnnounceResponse, error) {
	var announced messenger.AnnounceResponse
	body, err := json.Marshal(s.announcement())
	if err != nil {
		return announced, Error.New("encoding the announcement: %w", err)
	}
	url := s.settings.Router + messenger.PathAnnounce
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return announced, Error.New("creating the announcement request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := s.client.Do(request)
	if err != nil {
		return announced, Error.New("announcing: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return announced, Error.New("announcing: router responded with status %s", response.Status)
	}
	if err := json.NewDecoder(response.Body).Decode(&announced); err != nil {
		return announced, Error.New("decoding the router's response: %w", err)
	}
	return announced, nil
}

// announcement returns the description of the server that it sends to its router.
func (s *Server) announcement() messenger.ServerRow {
	return messenger.ServerRow{
		Name:    s.settings.Name,
		Service: s.settings.Service,
		URL:     s.URL(),
		Slots:   s.settings.Slots,
		Fences:  s.settings.Fences,
		Cold:    s.settings.Warmup > 0,
	}
}
