package messenger

import "time"

// Configuration is a whole configuration of routes and services, which an
// operator replaces as one. The one with the highest version is in force, and
// what stands under a version never changes.
type Configuration struct {
	// Version is the operator's own number, at least 1.
	Version  uint64          `yaml:"version"`
	Routes   []PathRoute     `yaml:"routes"`
	Services []RoutedService `yaml:"services"`
	Limits   Limits          `yaml:"limits"`
}

// PathRoute sends requests by host and path to services. Of the routes of a
// host, the one with the longest prefix decides.
type PathRoute struct {
	// Name is unique in the configuration.
	Name string `yaml:"name"`
	// Host is compared without port and case.
	Host string `yaml:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `yaml:"prefix"`
	// Parts are the services that share the requests, at least one.
	Parts []RoutePart `yaml:"parts"`
	// Treatment says how requests of the route are treated.
	Treatment Treatment `yaml:",inline"`
}

// RoutePart is a service with its weight among the parts of a route.
type RoutePart struct {
	Service string `yaml:"service"`
	// Weight is not negative. A part of weight 0 gets no requests unless it is
	// the only one.
	Weight float64 `yaml:"weight"`
}

// Treatment says how one kind of work is treated, as a [Profile] does for the
// routes of a service.
type Treatment struct {
	// Idempotent says that running a request twice does no harm.
	Idempotent bool `yaml:"idempotent"`
	// Rank orders the work: requests of a lower rank go first.
	Rank int `yaml:"rank"`
	// Timeout is the longest that a request may take.
	Timeout time.Duration `yaml:"timeout"`
	// Aim is the time within which an answer is worth most; 0 sets none.
	Aim time.Duration `yaml:"aim"`
	// Attempts is the most backend servers that one request may be sent to.
	Attempts int `yaml:"attempts"`
}

// RoutedService describes a service of a configuration.
type RoutedService struct {
	Name string `yaml:"name"`
	// Health is the path of the health check.
	Health string `yaml:"health"`
	// Connections is the most connections that a backend server accepts.
	Connections int `yaml:"connections"`
	// Ranged says that the service is divided by ranges of numeric keys, each
	// of which one backend server holds at a time.
	Ranged bool `yaml:"ranged"`
	// Warm is how long keys are slow that came without the handover of their
	// last holder.
	Warm time.Duration `yaml:"warm"`
}

// Limits bound what a caller may send.
type Limits struct {
	// HeaderBytes and BodyBytes are the largest header and body; 0 sets no
	// limit of its own.
	HeaderBytes int64 `yaml:"header"`
	BodyBytes   int64 `yaml:"body"`
	// HeaderTime is how long a header may take, IdleTime how long a connection
	// may be idle.
	HeaderTime time.Duration `yaml:"reading"`
	IdleTime   time.Duration `yaml:"idle"`
}

// Service returns the service of that name, or nil.
func (c *Configuration) Service(name string) *RoutedService {
	if c == nil {
		return nil
	}
	for n := range c.Services {
		if c.Services[n].Name == name {
			return &c.Services[n]
		}
	}
	return nil
}
