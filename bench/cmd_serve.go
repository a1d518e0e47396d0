package main

import (
	"context"
	"fmt"
	"time"

	"marigoldhill/bench/responder"
	"marigoldhill/kernel/networker"
)

// stopTimeout limits a graceful shutdown.
const stopTimeout = 15 * time.Second

func cmdServe() command {
	return command{name: "serve", help: "Run a stand-in backend server.", action: &serveAction{}}
}

// serveAction runs a stand-in backend server until it is interrupted.
type serveAction struct {
	Name      string               `help:"Name of the server." required:""`
	Service   string               `help:"Service that the server belongs to." required:""`
	Listen    string               `help:"Address to listen at." default:"127.0.0.1:9001"`
	Router    string               `help:"Base URL of the local router's backend interface."`
	Slots     int                  `help:"Number of requests that run concurrently." default:"6"`
	Work      time.Duration        `help:"Processing time of a request." default:"5ms"`
	Warmup    time.Duration        `help:"How long the server is cold after its start."`
	Queue     int                  `help:"Maximum number of requests waiting for a slot; further ones are shed. 0 never sheds."`
	Fences    bool                 `help:"Refuse requests with an outdated fence." default:"true" negatable:""`
	Deadlines bool                 `help:"Refuse requests whose deadline has passed." default:"true" negatable:""`
	Revive    time.Duration        `help:"Delay between a crash and the restart; 0 does not restart." default:"2s"`
	Lag       time.Duration        `help:"Refresh interval of the reported load."`
	Load      responder.ReportMode `help:"How load is reported: true, idle or busy." enum:"true,idle,busy" default:"true"`
	Health    responder.ReportMode `help:"How health is reported: true, idle or busy." enum:"true,idle,busy" default:"true"`
}

// Run implements the command.
func (a *serveAction) Run(ctx context.Context) error {
	server := responder.New(responder.Settings{
		Name: a.Name, Service: a.Service, Listen: a.Listen, Router: a.Router, Slots: a.Slots,
		Work: a.Work, Warmup: a.Warmup, Queue: a.Queue, Fences: a.Fences, Deadlines: a.Deadlines,
		Revive: a.Revive, Lag: a.Lag, Load: a.Load, Health: a.Health,
	}, networker.TCP{}, responder.NewRunCounter())
	if err := server.Start(ctx); err != nil {
		return Error.New("starting stand-in server: %w", err)
	}
	fmt.Printf("server %s %s\n", a.Name, server.URL())
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := server.Stop(stopCtx); err != nil {
		return Error.New("stopping stand-in server: %w", err)
	}
	return nil
}
