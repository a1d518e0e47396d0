package profiler

import (
	"fmt"
	"math"
	"strings"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/parser"
)

// configurationFile is the file format of a configuration.
type configurationFile messenger.Configuration

// ParseConfiguration decodes and validates a configuration in YAML or JSON; file is
// the name of the data in errors. The error is a *parser.FileError.
func ParseConfiguration(file string, data []byte) (*messenger.Configuration, error) {
	decoded, err := parser.ParseUnversioned[configurationFile](file, data)
	if err != nil {
		return nil, err
	}
	return (*messenger.Configuration)(decoded), nil
}

// Check implements [parser.Checker].
func (f *configurationFile) Check() (field, reason string) {
	return CheckConfiguration((*messenger.Configuration)(f))
}

// CheckConfiguration returns the first invalid field of a configuration and the
// reason, or two empty strings.
func CheckConfiguration(c *messenger.Configuration) (field, reason string) {
	if c.Version == 0 {
		return "version", "must be at least 1"
	}
	services := make(map[string]bool, len(c.Services))
	for n := range c.Services {
		name := c.Services[n].Name
		if name == "" || services[name] {
			return fmt.Sprintf("services[%d].name", n), "must be there and differ from the others"
		}
		services[name] = true
		if field, reason := checkRoutedService(&c.Services[n]); reason != "" {
			return "service " + name + ": " + field, reason
		}
	}
	names := make(map[string]bool, len(c.Routes))
	for n := range c.Routes {
		route := &c.Routes[n]
		if route.Name == "" || names[route.Name] {
			return fmt.Sprintf("routes[%d].name", n), "must be there and differ from the others"
		}
		names[route.Name] = true
		if field, reason := checkPathRoute(route, services); reason != "" {
			return "route " + route.Name + ": " + field, reason
		}
	}
	return checkLimits(&c.Limits)
}

func checkRoutedService(service *messenger.RoutedService) (field, reason string) {
	switch {
	case service.Cold < 0:
		return "cold", "must not be below 0"
	// The negated comparison also rejects NaN.
	case !(service.ColdRate >= 0) || math.IsInf(service.ColdRate, 1):
		return "coldrate", "must be a number that is not below 0"
	}
	return "", ""
}

func checkPathRoute(route *messenger.PathRoute, services map[string]bool) (field, reason string) {
	switch {
	case route.Host == "":
		return "host", "must not be empty"
	case !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/"):
		return "prefix", "must begin and end with a slash"
	case len(route.Parts) == 0:
		return "parts", "must name a service"
	case route.Treatment.Timeout <= 0:
		return "timeout", "must be above 0"
	case route.Treatment.Attempts < 1:
		return "attempts", "must be at least 1"
	case route.Treatment.Aim < 0:
		return "aim", "must not be below 0"
	}
	for _, part := range route.Parts {
		if !services[part.Service] {
			return "parts", "no service is named " + part.Service
		}
		// The negated comparison also rejects NaN.
		if !(part.Weight >= 0) {
			return "weight", "must not be below 0"
		}
	}
	return "", ""
}

func checkLimits(limits *messenger.Limits) (field, reason string) {
	if limits.HeaderBytes < 0 || limits.BodyBytes < 0 || limits.HeaderTime < 0 || limits.IdleTime < 0 {
		return "limits", "must not be below 0"
	}
	return "", ""
}
