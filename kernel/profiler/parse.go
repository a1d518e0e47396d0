package profiler

import (
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/parser"
)

// profileFile is a profile as people write it: what is left out is nil.
type profileFile struct {
	Name       string          `yaml:"name"`
	Class      messenger.Class `yaml:"class"`
	Idempotent bool            `yaml:"idempotent"`
	Deadline   *time.Duration  `yaml:"deadline"`
	Retries    *int            `yaml:"retries"`
	Queue      *int            `yaml:"queue"`
	Share      *float64        `yaml:"share"`
	Weight     *int            `yaml:"weight"`
}

// serviceFile is a service as people write it.
type serviceFile struct {
	Name        string            `yaml:"name"`
	Shards      *uint32           `yaml:"shards"`
	Routes      []messenger.Route `yaml:"routes"`
	Unavailable *int              `yaml:"unavailable"`
	Imbalance   *int              `yaml:"imbalance"`
	Churn       *int              `yaml:"churn"`
	Recorders   *int              `yaml:"recorders"`
	Scarce      *string           `yaml:"scarce"`
	Retention   *time.Duration    `yaml:"retention"`
}

// ParseProfile reads a profile from YAML or JSON; file stands for the data in
// mistakes. The error is a *parser.Mistake.
func ParseProfile(file string, data []byte) (*messenger.Profile, error) {
	written, err := parser.Bytes[profileFile](file, data)
	if err != nil {
		return nil, err
	}
	profile := written.complete()
	return &profile, nil
}

// ParseService reads a service from YAML or JSON; file stands for the data in
// mistakes. The error is a *parser.Mistake.
func ParseService(file string, data []byte) (*messenger.Service, error) {
	written, err := parser.Bytes[serviceFile](file, data)
	if err != nil {
		return nil, err
	}
	service := written.complete()
	return &service, nil
}

// Check implements [parser.Checker].
func (f *profileFile) Check() (field, reason string) {
	profile := f.complete()
	return CheckProfile(&profile)
}

// Check implements [parser.Checker].
func (f *serviceFile) Check() (field, reason string) {
	service := f.complete()
	return CheckService(&service)
}

func (f *profileFile) complete() messenger.Profile {
	return messenger.Profile{
		Name:       f.Name,
		Class:      f.Class,
		Idempotent: f.Idempotent,
		Deadline:   valueOr(f.Deadline, DefaultDeadline),
		Retries:    valueOr(f.Retries, DefaultRetries),
		Queue:      valueOr(f.Queue, DefaultQueue),
		Share:      valueOr(f.Share, DefaultShare),
		Weight:     valueOr(f.Weight, DefaultWeight),
	}
}

func (f *serviceFile) complete() messenger.Service {
	return messenger.Service{
		Name:        f.Name,
		Shards:      valueOr(f.Shards, DefaultShards),
		Routes:      f.Routes,
		Unavailable: valueOr(f.Unavailable, DefaultMeasure),
		Imbalance:   valueOr(f.Imbalance, DefaultMeasure),
		Churn:       valueOr(f.Churn, DefaultMeasure),
		Recorders:   valueOr(f.Recorders, DefaultRecorders),
		Scarce:      valueOr(f.Scarce, ScarceRefuse),
		Retention:   valueOr(f.Retention, DefaultRetention),
	}
}

func valueOr[T any](value *T, otherwise T) T {
	if value == nil {
		return otherwise
	}
	return *value
}
