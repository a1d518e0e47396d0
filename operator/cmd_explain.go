package main

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"marigoldhill/kernel/messenger"
	"marigoldhill/operator/printer"
	"marigoldhill/operator/requester"
)

func cmdExplain() command {
	return command{
		name:   "explain",
		help:   "Show who owns a key, since when, under which fence and why.",
		action: &explainAction{},
	}
}

type explainAction struct {
	Service string `arg:"" help:"Name of the service."`
	Key     string `arg:"" help:"The key."`
}

// Run implements the command.
func (a *explainAction) Run(ctx context.Context, e *environment) error {
	query := url.Values{"service": {a.Service}, "key": {a.Key}}
	response, err := requester.Get[messenger.Explanation](ctx, e.requester, "/v1/explain?"+query.Encode())
	if err != nil {
		return Error.New("explaining %s/%s: %w", a.Service, a.Key, err)
	}
	if e.printer.Format == printer.FormatJSON {
		return e.printer.JSON(response.Value)
	}
	return e.printer.Text(formatExplanation(response.Value))
}

// formatExplanation formats an explanation as text.
func formatExplanation(explanation messenger.Explanation) string {
	if explanation.Range != nil {
		return formatRangeExplanation(explanation)
	}
	shard := strconv.FormatUint(uint64(explanation.Shard), 10)
	if explanation.Own {
		shard += ", of this key alone"
	}
	text := printer.FormatPairs(
		[2]string{"key", explanation.Service + "/" + explanation.Key},
		[2]string{"shard", shard},
		[2]string{"phase", explanation.Phase},
		[2]string{"server", explanation.Server},
		[2]string{"router", explanation.Router},
		[2]string{"domain", formatDomain(explanation)},
		[2]string{"fence", strconv.FormatUint(explanation.Fence, 10)},
		[2]string{"since", printer.Time(explanation.Since)},
		[2]string{"why", explanation.Why},
		[2]string{"recorders", strings.Join(explanation.Recorders, ", ")},
	)
	if len(explanation.History) == 0 {
		return text
	}
	return text + "\n" + printer.Table(eventColumns(), explanation.History)
}

// formatRangeExplanation formats the explanation of a key whose service is
// partitioned by key ranges.
func formatRangeExplanation(explanation messenger.Explanation) string {
	r := explanation.Range
	text := printer.FormatPairs(
		[2]string{"key", explanation.Service + "/" + explanation.Key},
		[2]string{"range", fmt.Sprintf("%d to %d", r.From, r.To)},
		[2]string{"phase", explanation.Phase},
		[2]string{"server", explanation.Server},
		[2]string{"router", explanation.Router},
		[2]string{"next", r.Next},
		[2]string{"domain", formatDomain(explanation)},
		[2]string{"fence", strconv.FormatUint(explanation.Fence, 10)},
		[2]string{"since", printer.Time(explanation.Since)},
		[2]string{"why", explanation.Why},
		[2]string{"rate", fmt.Sprintf("%.1f/s, %.1f/s for the key", r.Rate, r.KeyRate)},
		[2]string{"pace", printer.Duration(r.Pace)},
		[2]string{"failing", formatPercent(r.Failing)},
	)
	if len(explanation.History) == 0 {
		return text
	}
	return text + "\n" + printer.Table(eventColumns(), explanation.History)
}

// formatDomain formats the failure domain of the owner, and who evacuated it.
func formatDomain(explanation messenger.Explanation) string {
	evacuation := explanation.Evacuation
	if evacuation == nil {
		return explanation.Domain
	}
	return fmt.Sprintf("%s, evacuated by %s since %s", explanation.Domain, evacuation.By, printer.Time(evacuation.Since))
}
