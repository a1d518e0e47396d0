package main

import (
	"context"
	"os"
	"time"

	"marigoldhill/bench/experimenter"
	"marigoldhill/operator/printer"
)

func cmdExperiment() command {
	return command{name: "experiment", help: "Compare the policy with baselines under load and faults.", action: &experimentAction{}}
}

// experimentAction runs scenarios on an in-memory network.
type experimentAction struct {
	Deployment string                 `arg:"" help:"Deployment: derwent or kgotso." enum:"derwent,kgotso"`
	Scenario   []string               `help:"Scenario: steady, loss, freeze, join, drain, mislead, shed or hot; all by default."`
	Variant    []experimenter.Variant `help:"Variant: policy, classless, static or robin; all by default."`
	Length     time.Duration          `help:"Duration of the phase with background work; the phase before it takes half as long." default:"10s"`
	Seed       uint64                 `help:"Seed of the load." default:"1"`
	Plots      string                 `help:"Directory for plots as PNG files; no plots by default." type:"path"`
	Output     printer.Format         `help:"Output format: table or json." enum:"table,json" default:"table" short:"o"`
}

// maxLength limits the length of one run.
const maxLength = 15 * time.Minute

// Run implements the command.
func (a *experimentAction) Run(ctx context.Context) error {
	if a.Length <= 0 || a.Length > maxLength {
		return Error.New("the length must be above 0 and at most %s", maxLength)
	}
	deployment, err := a.deployment()
	if err != nil {
		return Error.New("loading deployment: %w", err)
	}
	out := printer.Printer{Out: os.Stdout, Err: os.Stderr, Format: a.Output}
	rows, err := experimenter.Run(ctx, deployment, experimenter.Settings{
		Length: a.Length, Scenarios: a.Scenario, Variants: a.Variant, Seed: a.Seed,
		Note: func(scenario string, variant experimenter.Variant) { out.Note("%s with %s", scenario, variant) },
	})
	if err != nil {
		return Error.New("running experiment: %w", err)
	}
	if err := a.plot(out, deployment, rows); err != nil {
		return err
	}
	if a.Output == printer.FormatJSON {
		return out.JSON(rows)
	}
	return out.Text(experimenter.Table(rows))
}

func (a *experimentAction) deployment() (experimenter.Deployment, error) {
	if a.Deployment == "kgotso" {
		return experimenter.Kgotso()
	}
	return experimenter.Derwent()
}

func (a *experimentAction) plot(out printer.Printer, deployment experimenter.Deployment, rows []experimenter.Row) error {
	if a.Plots == "" {
		return nil
	}
	if err := os.MkdirAll(a.Plots, 0o755); err != nil {
		return Error.New("creating plot directory: %w", err)
	}
	for _, server := range deployment.Plan.Servers {
		paths, err := experimenter.Plot(rows, server.Service, a.Plots)
		if err != nil {
			return Error.New("drawing plots: %w", err)
		}
		out.Note("%v", paths)
	}
	return nil
}
