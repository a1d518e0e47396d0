package assembler

import (
	"fmt"
	"net"
	"regexp"
	"time"

	"marigoldhill/kernel/limiter"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/parser"
)

// Settings are the settings of a router process.
type Settings struct {
	// Version is the version of the settings format, [parser.Version].
	Version int `yaml:"version"`
	// Cluster is the name of the cluster.
	Cluster string `yaml:"cluster"`
	// Name is the name of the router, unique in the cluster.
	Name string `yaml:"name"`
	// Domain and Region are the failure domain and the region of the VM.
	Domain string `yaml:"domain"`
	Region string `yaml:"region"`
	// Listen is the address of the listener for callers.
	Listen string `yaml:"listen"`
	// Peer is the address of the listener for other routers. They dial it, so it must be
	// reachable from them.
	Peer string `yaml:"peer"`
	// Backend is the address of the listener for the backend server.
	Backend string `yaml:"backend"`
	// Operator is the address of the listener for metrics, health and status.
	Operator string `yaml:"operator"`
	// Control lists the addresses of the members of the control group.
	Control []string `yaml:"control"`
	// Evacuation is the time in which the evacuation of a failure domain must be in force;
	// 0 means evacuator.DefaultBound.
	Evacuation time.Duration `yaml:"evacuation"`
	// VM is what the process may take of its VM.
	VM limiter.Settings `yaml:"vm"`
	// Grace is the grace period: how long the process may take to stop; 0 means
	// DefaultGrace.
	Grace time.Duration `yaml:"grace"`
	// Log is the log format: text, the default, or json.
	Log string `yaml:"log"`
}

const (
	// DefaultGrace is the default of Settings.Grace.
	DefaultGrace = time.Minute
	// MaxGrace is the longest grace period.
	MaxGrace = time.Hour
)

// grace returns the grace period.
func (s *Settings) grace() time.Duration {
	if s.Grace == 0 {
		return DefaultGrace
	}
	return s.Grace
}

// maxControlMembers is the maximum size of the control group.
const maxControlMembers = 7

// namePattern matches valid names of clusters, routers, failure domains and regions.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Check implements [parser.Checker].
func (s *Settings) Check() (field, reason string) {
	if s.Version != parser.Version {
		return "version", fmt.Sprintf("must be %d", parser.Version)
	}
	if field, reason := s.checkNames(); reason != "" {
		return field, reason
	}
	if field, reason := s.checkAddresses(); reason != "" {
		return field, reason
	}
	if s.Evacuation < 0 {
		return "evacuation", "must not be below 0"
	}
	if s.Grace < 0 || s.Grace > MaxGrace {
		return "grace", "must be from 0 to 1h"
	}
	if field, reason := s.VM.Check(); reason != "" {
		return "vm." + field, reason
	}
	switch logger.Format(s.Log) {
	case "", logger.FormatText, logger.FormatJSON:
		return "", ""
	}
	return "log", "must be text or json"
}

func (s *Settings) checkNames() (field, reason string) {
	names := []struct{ field, value string }{
		{"cluster", s.Cluster},
		{"name", s.Name},
		{"domain", s.Domain},
		{"region", s.Region},
	}
	for _, name := range names {
		if !namePattern.MatchString(name.value) {
			return name.field, "must be one word of lower-case letters, digits and hyphens"
		}
	}
	return "", ""
}

func (s *Settings) checkAddresses() (field, reason string) {
	addresses := []struct{ field, value string }{
		{"listen", s.Listen},
		{"peer", s.Peer},
		{"backend", s.Backend},
		{"operator", s.Operator},
	}
	for _, address := range addresses {
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			return address.field, "must be host:port"
		}
	}
	host, _, _ := net.SplitHostPort(s.Peer)
	if ip := net.ParseIP(host); host == "" || (ip != nil && ip.IsUnspecified()) {
		return "peer", "must name the address that other routers dial"
	}
	return s.checkControl()
}

func (s *Settings) checkControl() (field, reason string) {
	if len(s.Control) == 0 || len(s.Control) > maxControlMembers {
		return "control", fmt.Sprintf("must list 1 to %d addresses", maxControlMembers)
	}
	for i, address := range s.Control {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Sprintf("control[%d]", i), "must be host:port"
		}
	}
	return "", ""
}
