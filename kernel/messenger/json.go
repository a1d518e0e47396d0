package messenger

import (
	"encoding/json"
	"fmt"
	"time"
)

// VersionedValue is a value of the operator interface and the revision of its last change.
type VersionedValue[T any] struct {
	Revision uint64 `json:"revision"`
	Value    T      `json:"value"`
}

// MarshalJSON encodes durations as text, such as "2s".
func (p Profile) MarshalJSON() ([]byte, error) {
	type plain Profile
	return json.Marshal(struct {
		plain
		Deadline string `json:"deadline"`
	}{plain: plain(p), Deadline: p.Deadline.String()})
}

// UnmarshalJSON decodes durations from text.
func (p *Profile) UnmarshalJSON(data []byte) error {
	type plain Profile
	decoded := struct {
		*plain
		Deadline string `json:"deadline"`
	}{plain: (*plain)(p)}
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decoding a profile: %w", err)
	}
	return setDuration(&p.Deadline, "deadline", decoded.Deadline)
}

// MarshalJSON encodes durations as text, such as "10m0s".
func (s Service) MarshalJSON() ([]byte, error) {
	type plain Service
	return json.Marshal(struct {
		plain
		Retention string `json:"retention"`
	}{plain: plain(s), Retention: s.Retention.String()})
}

// UnmarshalJSON decodes durations from text.
func (s *Service) UnmarshalJSON(data []byte) error {
	type plain Service
	decoded := struct {
		*plain
		Retention string `json:"retention"`
	}{plain: (*plain)(s)}
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decoding a service: %w", err)
	}
	return setDuration(&s.Retention, "retention", decoded.Retention)
}

// setDuration parses text as a duration; empty text leaves the duration unchanged.
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
