package main

import (
	"context"
	"os"
	"time"

	"marigoldhill/bench/loader"
	"marigoldhill/kernel/networker"
	"marigoldhill/operator/printer"
)

func cmdLoad() command {
	return command{name: "load", help: "Send load to routers and count every outcome.", action: &loadAction{}}
}

// loadAction sends a load that is bounded in count and duration.
type loadAction struct {
	Router   []string       `help:"Base URL of a router; may be repeated." default:"http://127.0.0.1:7200,http://127.0.0.1:7210,http://127.0.0.1:7220,http://127.0.0.1:7230"`
	Server   []string       `help:"Base URL of a stand-in server whose run counts are checked; may be repeated."`
	Service  string         `help:"Service: findings, reports, enquiry or records." default:"findings" enum:"findings,reports,enquiry,records"`
	Rate     float64        `help:"Mean number of arrivals per second." default:"200"`
	Count    int            `help:"Maximum number of arrivals." default:"2000"`
	Duration time.Duration  `help:"Maximum duration." default:"30s"`
	Keys     int            `help:"Number of keys." default:"1000"`
	Skew     float64        `help:"Exponent of the Zipf distribution of keys, above 1." default:"1.1"`
	Flight   int            `help:"Maximum number of requests in flight." default:"256"`
	Timeout  time.Duration  `help:"Timeout of each request." default:"5s"`
	Resends  int            `help:"Maximum number of resends of a request that has an Idempotency-Key and an unknown outcome." default:"3"`
	Seed     uint64         `help:"Seed of arrivals, keys and idempotency keys; 0 uses the current time."`
	Output   printer.Format `help:"Output format: table or json." enum:"table,json" default:"table" short:"o"`
}

// Run implements the command.
func (a *loadAction) Run(ctx context.Context) error {
	mix, _ := loader.FindMix(a.Service)
	seed := a.Seed
	if seed == 0 {
		seed = uint64(time.Now().UnixNano())
	}
	report, err := loader.Run(ctx, loader.Settings{
		Routers: a.Router, Servers: a.Server, Service: a.Service, Rate: a.Rate, Count: a.Count,
		Duration: a.Duration, Keys: a.Keys, Skew: a.Skew, KeyPrefix: mix.KeyPrefix, Kinds: mix.Kinds,
		Flight: a.Flight, Timeout: a.Timeout, Resends: a.Resends, Seed: seed,
	}, networker.TCP{})
	if err != nil {
		return Error.New("running load: %w", err)
	}
	out := printer.Printer{Out: os.Stdout, Err: os.Stderr, Format: a.Output}
	if a.Output == printer.FormatJSON {
		return out.JSON(report)
	}
	return out.Text(report.Table())
}
