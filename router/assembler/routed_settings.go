package assembler

import (
	"fmt"
	"net"
	"slices"
	"time"

	"marigoldhill/kernel/limiter"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/parser"
	"marigoldhill/router/budgeter"
)

// RoutedSettings are the settings of a router in routed mode.
type RoutedSettings struct {
	// Version is the version of the settings format, [parser.Version].
	Version int `yaml:"version"`
	// Cluster is the name of the cluster.
	Cluster string `yaml:"cluster"`
	// Name is the name of the router, unique in the cluster.
	Name string `yaml:"name"`
	// Domain and Region are the failure domain and the region of the VM.
	Domain string `yaml:"domain"`
	Region string `yaml:"region"`
	// Service is the service that the backend server executes.
	Service string `yaml:"service"`
	// Server is the address of the backend server on the VM of the router.
	Server string `yaml:"server"`
	// These are the addresses of listeners: Callers for callers, Peer for other routers,
	// Backend for announcements of the backend server, Ready for readiness checks and
	// Metrics for metrics, optional.
	Callers string `yaml:"callers"`
	Peer    string `yaml:"peer"`
	Backend string `yaml:"backend"`
	Ready   string `yaml:"ready"`
	Metrics string `yaml:"metrics"`
	// ControlPeers lists the addresses of control group members for other processes, used until
	// the group reports its members. ControlOperators lists operator addresses of members
	// instead; these members are reached at the port of Peer.
	ControlPeers     []string `yaml:"group"`
	ControlOperators []string `yaml:"control"`
	// Timing overrides the default durations of leases with its fields that are not zero.
	Timing messenger.Timing `yaml:"timing"`
	// Budget limits retries across all routers.
	Budget budgeter.Settings `yaml:"budget"`
	// Grace is the grace period: how long the process may take to stop.
	Grace time.Duration `yaml:"grace"`
	// VM is what the process may take of its VM.
	VM limiter.Settings `yaml:"vm"`
	// Evacuation is the time in which the evacuation of a failure domain must be in force.
	// If it is 0, the default applies, and requests are not held while the control group
	// does not answer; see package evacuator.
	Evacuation time.Duration `yaml:"evacuation"`
	// LinkMbits is the bandwidth of the VM's link in Mbit/s. Large responses are sent no
	// faster, so that they do not delay heartbeats; 0 means no limit.
	LinkMbits float64 `yaml:"link"`
	// Cold bounds what a cold backend server gets. It has an effect only if the
	// configuration has a rate for cold servers of the service.
	Cold ColdSettings `yaml:"cold"`
	// Log is the log format: text, the default, or json.
	Log string `yaml:"log"`
}

var _ parser.Checker = (*RoutedSettings)(nil)

// Check implements [parser.Checker].
func (s *RoutedSettings) Check() (field, reason string) {
	if s.Version != parser.Version {
		return "version", fmt.Sprintf("must be %d", parser.Version)
	}
	names := []struct{ field, value string }{
		{"cluster", s.Cluster}, {"name", s.Name}, {"domain", s.Domain}, {"service", s.Service},
	}
	for _, name := range names {
		if name.value == "" {
			return name.field, "must not be empty"
		}
	}
	addresses := []struct{ field, value string }{
		{"server", s.Server}, {"callers", s.Callers}, {"peer", s.Peer}, {"backend", s.Backend}, {"ready", s.Ready},
	}
	if s.Metrics != "" {
		addresses = append(addresses, struct{ field, value string }{"metrics", s.Metrics})
	}
	for n, address := range s.ControlPeers {
		addresses = append(addresses, struct{ field, value string }{fmt.Sprintf("group[%d]", n), address})
	}
	for n, address := range s.ControlOperators {
		addresses = append(addresses, struct{ field, value string }{fmt.Sprintf("control[%d]", n), address})
	}
	for _, address := range addresses {
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			return address.field, "must be host:port"
		}
	}
	return s.checkLimits()
}

// checkLimits checks everything but the names and addresses.
func (s *RoutedSettings) checkLimits() (field, reason string) {
	switch {
	case len(s.ControlPeers)+len(s.ControlOperators) == 0:
		return "group", "must list at least one address"
	case s.LinkMbits < 0:
		return "link", "must not be below 0"
	case s.Evacuation < 0:
		return "evacuation", "must not be below 0"
	case s.Grace <= 0 || s.Grace > MaxGrace:
		return "grace", "must be above 0 and up to 1h"
	case s.Budget.Ratio < 0 || s.Budget.Reserve < 0 || s.Budget.Window <= 0:
		return "budget", "must have a window above 0, and nothing below 0"
	}
	if field, reason := s.Cold.check(); reason != "" {
		return field, reason
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

// replicas returns the addresses of control group members for other processes.
func (s *RoutedSettings) replicas() []string {
	_, port, err := net.SplitHostPort(s.Peer)
	if err != nil {
		return nil // not reached, as Check refuses such a Peer
	}
	peers := slices.Clone(s.ControlPeers)
	for _, operator := range s.ControlOperators {
		if host, _, err := net.SplitHostPort(operator); err == nil {
			peers = append(peers, net.JoinHostPort(host, port))
		}
	}
	return peers
}
