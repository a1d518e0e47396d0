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
	// announceIdle is the most unused connections to the router.
	announceIdle  = 2
	leaveInterval = 100 * time.Millisecond
	// leaveFailures is how many announcements of the end may fail.
	leaveFailures = 10
	headerTimeout = 10 * time.Second
)

// announceUntil announces the server once a second until its life ends.
func (s *Server) announceUntil(life *life) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		s.gate.pass(life.done)
		// A router that is down is announced to again at the next tick.
		if !life.leaving.Load() {
			_, _ = s.announce(context.Background(), http.MethodPost)
		}
		select {
		case <-ticker.C:
		case <-life.done:
			return
		}
	}
}

// leave announces the end until the router has taken all shards away.
func (s *Server) leave(ctx context.Context, life *life) error {
	failures := 0
	for {
		announced, err := s.announce(ctx, http.MethodDelete)
		switch {
		case err != nil && failures == leaveFailures:
			return Error.New("leaving with no router: %w", err)
		case err != nil:
			failures++
		case announced.Shards == 0:
			return nil
		}
		select {
		case <-time.After(leaveInterval):
		case <-life.done:
			return nil
		case <-ctx.Done():
			return Error.New("leaving with shards still held: %w", ctx.Err())
		}
	}
}

func (s *Server) announce(ctx context.Context, method string) (messenger.Announced, error) {
	var announced messenger.Announced
	body, err := json.Marshal(s.row())
	if err != nil {
		return announced, Error.New("encoding the announcement: %w", err)
	}
	url := s.settings.Router + messenger.PathAnnounce
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return announced, Error.New("making the announcement: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := s.client.Do(request)
	if err != nil {
		return announced, Error.New("announcing: %w", err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode >= http.StatusMultipleChoices {
		return announced, Error.New("announcing: the router answered %s", answer.Status)
	}
	if err := json.NewDecoder(answer.Body).Decode(&announced); err != nil {
		return announced, Error.New("reading the router's answer: %w", err)
	}
	return announced, nil
}

// row is what the server says of itself.
func (s *Server) row() messenger.ServerRow {
	return messenger.ServerRow{
		Name:    s.settings.Name,
		Service: s.settings.Service,
		URL:     s.URL(),
		Slots:   s.settings.Slots,
		Fences:  s.settings.Fences,
		Cold:    s.settings.Warmup > 0,
	}
}
