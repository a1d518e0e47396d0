// Package launcher runs a whole cluster in one process: the replicas of the
// control group, routers in failure domains, and a stand-in backend server on the
// VM of each router. Each of them can be stopped, killed and started again.
//
// # Usage
//
//	plan, err := launcher.Playground()
//	cluster, err := launcher.New(launcher.DefaultSettings(plan, directory))
//	err = cluster.Start(ctx) // returns once requests are served
//	defer cluster.Stop(ctx)
//	for _, process := range cluster.Processes() {
//		fmt.Println(process.Role, process.Name, process.URL)
//	}
//
// Tests replace TCP by an in-memory network with Settings.Network.
package launcher

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"marigoldhill/bench/responder"
	"marigoldhill/bench/transporter"
	control "marigoldhill/control/assembler"
	"marigoldhill/control/journaler"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/networker"
	router "marigoldhill/router/assembler"
)

// Error is the class of all errors of this package.
var Error = errs.Class("launcher")

// Settings configure a Cluster.
type Settings struct {
	Plan Plan
	// Controls is the number of control replicas.
	Controls int
	// Port is the first port. See build.go for the layout.
	Port int
	// Data is the data directory of the control replicas.
	Data string
	// Host returns the host part of the addresses of a VM.
	Host func(node string) string
	// Network returns the network of a VM.
	Network func(node string) networker.Network
	// Disk returns the disk of a control VM. It is called each time that a
	// process starts. Nil means the file system of the operating system.
	Disk func(node string) journaler.Disk
	// Log returns the logger of a process.
	Log func(role, name string) *logger.Log
	// Server is the template for the settings of the stand-in servers. Name,
	// Service, Listen and Router are set for each server.
	Server responder.Settings
	// Grace is the grace period of the routers; 0 means their default.
	Grace time.Duration
	// AdjustServer, unless nil, changes the settings of the stand-in server on the VM
	// of router i, counted from 0.
	AdjustServer func(i int, server *responder.Settings)
}

// DefaultSettings returns settings for loopback TCP with three control replicas and
// without logs.
func DefaultSettings(plan Plan, data string) Settings {
	return Settings{
		Plan:     plan,
		Controls: 3,
		Port:     DefaultPort,
		Data:     data,
		Host:     func(string) string { return "127.0.0.1" },
		Network:  func(string) networker.Network { return networker.TCP{} },
		Log:      func(string, string) *logger.Log { return logger.Discard() },
		Server:   responder.DefaultSettings(),
	}
}

// Cluster is a cluster of control replicas, routers and stand-in servers.
type Cluster struct {
	Controls []*Node[*control.Process]
	Routers  []*Node[*router.Process]
	// Servers has the stand-in servers, in the order of the routers on the same
	// VMs.
	Servers []*responder.Server

	settings Settings
	client   *http.Client
}

// New returns a Cluster that is not yet started.
func New(settings Settings) (*Cluster, error) {
	if settings.Controls < 1 || settings.Controls > maxControls {
		return nil, Error.New("the number of control replicas must be 1 to %d", maxControls)
	}
	if count := settings.serverCount(); count < 1 || count > maxRouters {
		return nil, Error.New("the number of routers must be 1 to %d", maxRouters)
	}
	cluster := &Cluster{settings: settings, client: transporter.New(settings.Network(callerNode), maxIdleConns)}
	for i := range settings.Controls {
		cluster.Controls = append(cluster.Controls, settings.newControl(i))
	}
	for _, row := range settings.Plan.Servers {
		for range row.Count {
			i := len(cluster.Routers)
			cluster.Routers = append(cluster.Routers, settings.newRouter(i))
			cluster.Servers = append(cluster.Servers, settings.newServer(i, row.Service))
		}
	}
	return cluster, nil
}

func (s Settings) serverCount() int {
	sum := 0
	for _, row := range s.Plan.Servers {
		sum += row.Count
	}
	return sum
}

// Start starts all processes, applies the plan and returns when every shard has an
// owner and each router has served a request for each service. If it fails, it stops
// the processes that it started.
func (c *Cluster) Start(ctx context.Context) error {
	if err := c.start(ctx); err != nil {
		return errors.Join(err, c.Stop(context.WithoutCancel(ctx)))
	}
	return nil
}

func (c *Cluster) start(ctx context.Context) error {
	for _, node := range c.Controls {
		if err := node.Start(ctx); err != nil {
			return err
		}
	}
	for _, node := range c.Routers {
		if err := node.Start(ctx); err != nil {
			return err
		}
	}
	// The plan must be applied before servers are announced, because a service
	// that is announced before it is configured gets a default configuration.
	if err := c.configure(ctx); err != nil {
		return err
	}
	for _, server := range c.Servers {
		if err := server.Start(ctx); err != nil {
			return Error.New("starting a stand-in server: %w", err)
		}
	}
	if err := c.AwaitAssigned(ctx); err != nil {
		return err
	}
	return c.probe(ctx)
}

// Stop stops all processes: first the servers, immediately because no shards need
// to be handed over when the whole cluster stops, then the routers, then the control
// replicas.
func (c *Cluster) Stop(ctx context.Context) error {
	var err error
	for _, server := range c.Servers {
		server.Kill()
	}
	for _, node := range slices.Backward(c.Routers) {
		err = errors.Join(err, node.Stop(ctx))
	}
	for _, node := range slices.Backward(c.Controls) {
		err = errors.Join(err, node.Stop(ctx))
	}
	c.client.CloseIdleConnections()
	return err
}

// ProcessInfo describes a process of the cluster for display.
type ProcessInfo struct {
	Role string `json:"role"`
	Name string `json:"name"`
	// URL is the operator interface of a control replica, the caller interface
	// of a router, or the base URL of a stand-in server.
	URL string `json:"url"`
}

// Processes lists all processes.
func (c *Cluster) Processes() []ProcessInfo {
	var processes []ProcessInfo
	for _, node := range c.Controls {
		processes = append(processes, ProcessInfo{Role: "control", Name: node.Name(), URL: node.Process().OperatorURL()})
	}
	for _, node := range c.Routers {
		processes = append(processes, ProcessInfo{Role: "router", Name: node.Name(), URL: node.Process().CallerURL()})
	}
	for _, server := range c.Servers {
		processes = append(processes, ProcessInfo{Role: "server", Name: server.Name(), URL: server.URL()})
	}
	return processes
}
