package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"marigoldhill/bench/launcher"
	"marigoldhill/kernel/logger"
)

// readyTimeout limits the time until a playground is ready.
const readyTimeout = 60 * time.Second

func cmdPlayground() command {
	return command{name: "playground", help: "Run a whole cluster in one process.", action: &playgroundAction{}}
}

// playgroundAction runs a cluster until it is interrupted.
type playgroundAction struct {
	Port     int           `help:"First port; all processes use ports from it upwards." default:"7100"`
	Data     string        `help:"Directory for the state of the control replicas and the log; a temporary one by default." type:"path"`
	Controls int           `help:"Number of control replicas." default:"3"`
	Routers  int           `help:"Number of routers, each with a stand-in server." default:"4"`
	Domains  int           `help:"Number of failure domains." default:"3"`
	Plan     string        `help:"Configuration: playground, derwent or kgotso." enum:"playground,derwent,kgotso" default:"playground"`
	Work     time.Duration `help:"Processing time of a request in the stand-in servers." default:"5ms"`
}

// Run implements the command.
func (a *playgroundAction) Run(ctx context.Context) error {
	settings, err := a.settings()
	if err != nil {
		return err
	}
	if a.Data == "" {
		defer func() { _ = os.RemoveAll(settings.Data) }()
	}
	cluster, err := launcher.New(settings)
	if err != nil {
		return Error.New("creating playground cluster: %w", err)
	}
	startCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := cluster.Start(startCtx); err != nil {
		return Error.New("starting playground cluster: %w", err)
	}
	for _, process := range cluster.Processes() {
		fmt.Printf("%-8s %-4s %s\n", process.Role, process.Name, process.URL)
	}
	fmt.Println("ready")
	<-ctx.Done()

	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := cluster.Stop(stopCtx); err != nil {
		return Error.New("stopping playground cluster: %w", err)
	}
	fmt.Println("stopped")
	return nil
}

func (a *playgroundAction) settings() (launcher.Settings, error) {
	var zero launcher.Settings
	plan, err := a.plan()
	if err != nil {
		return zero, Error.New("loading plan: %w", err)
	}
	data := a.Data
	if data == "" {
		if data, err = os.MkdirTemp("", "marigold-playground-"); err != nil {
			return zero, Error.New("creating data directory: %w", err)
		}
	}
	if err := os.MkdirAll(data, 0o755); err != nil {
		return zero, Error.New("creating data directory: %w", err)
	}
	file, err := os.OpenFile(filepath.Join(data, "playground.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return zero, Error.New("opening log file: %w", err)
	}
	settings := launcher.DefaultSettings(plan, data)
	settings.Port = a.Port
	settings.Controls = a.Controls
	settings.Server.Work = a.Work
	settings.Log = func(role, name string) *logger.Log {
		return logger.New(file, logger.FormatText, role, name)
	}
	return settings, nil
}

// plan returns the plan selected by --plan. --domains and --routers change only
// the playground plan.
func (a *playgroundAction) plan() (launcher.Plan, error) {
	switch a.Plan {
	case "derwent":
		return launcher.Derwent()
	case "kgotso":
		return launcher.Kgotso()
	}
	plan, err := launcher.Playground()
	if err != nil {
		return plan, err
	}
	plan.Domains = a.Domains
	plan.Servers[0].Count = a.Routers
	return plan, nil
}
