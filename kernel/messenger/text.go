package messenger

import (
	"encoding/json"
	"fmt"
	"time"
)

// Listed is a value of the operator interface with the revision of its last
// change.
type Listed[T any] struct {
	Revision uint64 `json:"revision"`
	Value    T      `json:"value"`
}

// MarshalJSON writes durations as text, such as "2s".
func (p Profile) MarshalJSON() ([]byte, error) {
	type plain Profile
	return json.Marshal(struct {
		plain
		Deadline string `json:"deadline"`
	}{plain: plain(p), Deadline: p.Deadline.String()})
}

// UnmarshalJSON reads durations as text.
func (p *Profile) UnmarshalJSON(data []byte) error {
	type plain Profile
	written := struct {
		*plain
		Deadline string `json:"deadline"`
	}{plain: (*plain)(p)}
	if err := json.Unmarshal(data, &written); err != nil {
		return fmt.Errorf("decoding a profile: %w", err)
	}
	return setDuration(&p.Deadline, "deadline", written.Deadline)
}

// MarshalJSON writes durations as text, such as "10m0s".
func (s Service) MarshalJSON() ([]byte, error) {
	type plain Service
	return json.Marshal(struct {
		plain
		Retention string `json:"retention"`
	}{plain: plain(s), Retention: s.Retention.String()})
}

// UnmarshalJSON reads durations as text.
func (s *Service) UnmarshalJSON(data []byte) error {
	type plain Service
	written := struct {
		*plain
		Retention string `json:"retention"`
	}{plain: (*plain)(s)}
	if err := json.Unmarshal(data, &written); err != nil {
		return fmt.Errorf("decoding a service: %w", err)
	}
	return setDuration(&s.Retention, "retention", written.Retention)
}

// setDuration reads a duration from text; no text leaves it as it is.
func setDuration(duration *time.Duration, field, text string) error {
	if text == "" {
		return nil
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%s: %w", field, err)
	}
	*duration = value
	return nil
}
