// Package profiler decodes and validates profiles, services and configurations, and
// fills in defaults. The control group and the command line both use it, so that
// they reject the same values for the same reason.
//
// # Usage
//
//	profile, err := profiler.ParseProfile("findings.yaml", data)
//	field, reason := profiler.CheckProfile(profile)
//
// Data may be YAML or JSON. Absent fields of profiles and services get their
// default.
package profiler

import (
	"fmt"
	"regexp"
	"time"

	"github.com/zeebo/errs"

	"marigoldhill/kernel/messenger"
)

// Error is the class of all errors of this package.
var Error = errs.Class("profiler")

// Defaults and limits of profiles and services. A measure is one of the three
// quantities that balancing minimizes: unavailability, imbalance and churn.
const (
	DefaultDeadline      = 10 * time.Second
	DefaultRetries       = 3
	DefaultQueue         = 100
	DefaultShare         = 1.0
	DefaultWeight        = 10
	DefaultShards        = 4096
	DefaultRecorders     = 2
	DefaultRetention     = 10 * time.Minute
	DefaultMeasureWeight = 50

	MinDeadline      = time.Millisecond
	MaxDeadline      = 24 * time.Hour
	MaxRetries       = 10
	MaxQueue         = 10_000
	MaxWeight        = 100
	MaxShards        = 65_536
	MaxMeasureWeight = 100
	MaxRecorders     = 4
	MinRetention     = time.Second
	MaxRetention     = 7 * 24 * time.Hour
	MaxRoutes        = 256
	MaxPrefixBytes   = 1024
)

// Values of Service.Scarce.
const (
	ScarceRefuse = "refuse"
	ScarceAccept = "accept"
)

// NameRule describes valid names, for error messages.
const NameRule = "must be 1 to 63 lower-case letters, digits and hyphens, starting with a letter or a digit"

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// IsValidName reports whether name is valid according to [NameRule].
func IsValidName(name string) bool {
	return namePattern.MatchString(name)
}

// CheckProfile returns the first invalid field of a profile and the reason, or two
// empty strings.
func CheckProfile(profile *messenger.Profile) (field, reason string) {
	switch {
	case !IsValidName(profile.Name):
		return "name", NameRule
	case profile.Class != messenger.ClassInteractive && profile.Class != messenger.ClassBackground:
		return "class", "must be interactive or background"
	case profile.Deadline < MinDeadline || profile.Deadline > MaxDeadline:
		return "deadline", fmt.Sprintf("must be %s to %s", MinDeadline, MaxDeadline)
	case profile.Retries < 0 || profile.Retries > MaxRetries:
		return "retries", fmt.Sprintf("must be 0 to %d", MaxRetries)
	case profile.Queue < 0 || profile.Queue > MaxQueue:
		return "queue", fmt.Sprintf("must be 0 to %d", MaxQueue)
	case !(profile.Share > 0 && profile.Share <= 1):
		return "share", "must be above 0 and at most 1"
	case profile.Class == messenger.ClassInteractive && profile.Share != 1:
		return "share", "must be 1 for the class interactive"
	case profile.Weight < 1 || profile.Weight > MaxWeight:
		return "weight", fmt.Sprintf("must be 1 to %d", MaxWeight)
	}
	return "", ""
}

// CheckService returns the first invalid field of a service and the reason, or two
// empty strings.
func CheckService(service *messenger.Service) (field, reason string) {
	switch {
	case !IsValidName(service.Name):
		return "name", NameRule
	case service.Shards < 1 || service.Shards > MaxShards:
		return "shards", fmt.Sprintf("must be 1 to %d", MaxShards)
	case isInvalidMeasureWeight(service.Unavailable):
		return "unavailable", measureWeightRule
	case isInvalidMeasureWeight(service.Imbalance):
		return "imbalance", measureWeightRule
	case isInvalidMeasureWeight(service.Churn):
		return "churn", measureWeightRule
	case service.Recorders < 0 || service.Recorders > MaxRecorders:
		return "recorders", fmt.Sprintf("must be 0 to %d", MaxRecorders)
	case service.Scarce != ScarceRefuse && service.Scarce != ScarceAccept:
		return "scarce", "must be refuse or accept"
	case service.Retention < MinRetention || service.Retention > MaxRetention:
		return "retention", fmt.Sprintf("must be %s to %s", MinRetention, MaxRetention)
	}
	return checkRoutes(service.Routes)
}

var measureWeightRule = fmt.Sprintf("must be 0 to %d", MaxMeasureWeight)

func isInvalidMeasureWeight(weight int) bool {
	return weight < 0 || weight > MaxMeasureWeight
}

// DefaultProfiles returns the profiles that the default service uses.
func DefaultProfiles() []messenger.Profile {
	standard := messenger.Profile{
		Name:     "default",
		Class:    messenger.ClassInteractive,
		Deadline: DefaultDeadline,
		Retries:  DefaultRetries,
		Queue:    DefaultQueue,
		Share:    DefaultShare,
		Weight:   DefaultWeight,
	}
	lookup := standard
	lookup.Name = "lookup"
	lookup.Idempotent = true
	return []messenger.Profile{standard, lookup}
}

// DefaultService returns the service that is created when the first backend server
// of an unknown service announces itself.
func DefaultService(name string) messenger.Service {
	return messenger.Service{
		Name:   name,
		Shards: DefaultShards,
		Routes: []messenger.Route{
			{Profile: "default"},
			{Method: "GET", Profile: "lookup"},
			{Method: "HEAD", Profile: "lookup"},
		},
		Unavailable: DefaultMeasureWeight,
		Imbalance:   DefaultMeasureWeight,
		Churn:       DefaultMeasureWeight,
		Recorders:   DefaultRecorders,
		Scarce:      ScarceRefuse,
		Retention:   DefaultRetention,
	}
}
