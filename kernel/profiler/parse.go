package profiler

import (
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/parser"
)

// profileFile is the file format of a profile. Optional fields are nil when absent.
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

// serviceFile is the file format of a service. Optional fields are nil when absent.
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

// ParseProfile decodes and validates a profile in YAML or JSON; file is the name of
// the data in errors. The error is a *parser.FileError.
func ParseProfile(file string, data []byte) (*messenger.Profile, error) {
	decoded, err := parser.Parse[profileFile](file, data)
	if err != nil {
		return nil, err
	}
	profile := decoded.withDefaults()
	return &profile, nil
}

// ParseService decodes and validates a service in YAML or JSON; file is the name of
// the data in errors. The error is a *parser.FileError.
func ParseService(file string, data []byte) (*messenger.Service, error) {
	decoded, err := parser.Parse[serviceFile](file, data)
	if err != nil {
		return nil, err
	}
	service := decoded.withDefaults()
	return &service, nil
}

// Check implements [parser.Checker].
func (f *profileFile) Check() (field, reason string) {
	profile := f.withDefaults()
	return CheckProfile(&profile)
}

// Check implements [parser.Checker].
func (f *serviceFile) Check() (field, reason string) {
	service := f.withDefaults()
	return CheckService(&service)
}

// withDefaults returns the profile with defaults for absent fields.
func (f *profileFile) withDefaults() messenger.Profile {
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

// withDefaults returns the service with defaults for absent fields.
func (f *serviceFile) withDefaults() messenger.Service {
	return messenger.Service{
		Name:        f.Name,
		Shards:      valueOr(f.Shards, DefaultShards),
		Routes:      f.Routes,
		Unavailable: valueOr(f.Unavailable, DefaultMeasureWeight),
		Imbalance:   valueOr(f.Imbalance, DefaultMeasureWeight),
		Churn:       valueOr(f.Churn, DefaultMeasureWeight),
		Recorders:   valueOr(f.Recorders, DefaultRecorders),
		Scarce:      valueOr(f.Scarce, ScarceRefuse),
		Retention:   valueOr(f.Retention, DefaultRetention),
	}
}

func valueOr[T any](value *T, defaultValue T) T {
	if value == nil {
		return defaultValue
	}
	return *value
}
