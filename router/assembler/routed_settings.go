package assembler

import (
	"fmt"
	"net"
	"slices"
	"time"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/parser"
	"marigoldhill/router/budgeter"
)

// RoutedSettings are the settings of a router that serves the routes of a
// configuration.
type RoutedSettings struct {
	// Version is the version of the settings format, [parser.Version].
	Version int `yaml:"version"`
	// Cluster is the name of the cluster.
	Cluster string `yaml:"cluster"`
	// Name is the name of the router, unique in the cluster.
	Name string `yaml:"name"`
	// Domain and Region say where the VM is.
	Domain string `yaml:"domain"`
	Region string `yaml:"region"`
	// Service is the service of the VM.
	Service string `yaml:"service"`
	// Server is the address of the backend server beside the router.
	Server string `yaml:"server"`
	// Callers is the address for callers, Peer that for other routers, Backend
	// that for the backend server's announcements, Ready that for the question
	// whether callers are welcome, Metrics that for metrics.
	Callers string `yaml:"callers"`
	Peer    string `yaml:"peer"`
	Backend string `yaml:"backend"`
	Ready   string `yaml:"ready"`
	Metrics string `yaml:"metrics"`
	// Group are the addresses of replicas of the control group for other processes,
	// until the group names its members. Where only operator addresses are known,
	// Control has these, and replicas are reached at the port of Peer.
	Group   []string `yaml:"group"`
	Control []string `yaml:"control"`
	// Timing replaces the default times of leases where it is not zero.
	Timing messenger.Timing `yaml:"timing"`
	// Budget bounds repeats over all routers.
	Budget budgeter.Settings `yaml:"budget"`
	// Grace is how long the process may take to stop.
	Grace time.Duration `yaml:"grace"`
	// Link is the bandwidth of the VM's link in Mbit/s. Large answers are sent no
	// faster, so that they do not hold up heartbeats; 0 sets no bound.
	Link float64 `yaml:"link"`
	// Log is text, the default, or json.
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
	for n, address := range s.Group {
		addresses = append(addresses, struct{ field, value string }{fmt.Sprintf("group[%d]", n), address})
	}
	for n, address := range s.Control {
		addresses = append(addresses, struct{ field, value string }{fmt.Sprintf("control[%d]", n), address})
	}
	for _, address := range addresses {
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			return address.field, "must be host:port"
		}
	}
	return s.checkRest()
}

func (s *RoutedSettings) checkRest() (field, reason string) {
	switch {
	case len(s.Group)+len(s.Control) == 0:
		return "group", "must list at least one address"
	case s.Link < 0:
		return "link", "must not be below 0"
	case s.Grace <= 0:
		return "grace", "must be above 0"
	case s.Budget.Ratio < 0 || s.Budget.Reserve < 0 || s.Budget.Window <= 0:
		return "budget", "must have a window above 0, and nothing below 0"
	}
	switch logger.Format(s.Log) {
	case "", logger.FormatText, logger.FormatJSON:
		return "", ""
	}
	return "log", "must be text or json"
}

// replicas are the addresses of the control group for other processes.
func (s *RoutedSettings) replicas() []string {
	_, port, err := net.SplitHostPort(s.Peer)
	if err != nil {
		return nil // Check has refused it
	}
	peers := slices.Clone(s.Group)
	for _, operator := range s.Control {
		if host, _, err := net.SplitHostPort(operator); err == nil {
			peers = append(peers, net.JoinHostPort(host, port))
		}
	}
	return peers
}
