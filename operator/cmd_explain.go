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
	got, err := requester.Get[messenger.Explanation](ctx, e.requester, "/v1/explain?"+query.Encode())
	if err != nil {
		return Error.New("explaining %s/%s: %w", a.Service, a.Key, err)
	}
	if e.printer.Format == printer.FormatJSON {
		return e.printer.JSON(got.Value)
	}
	return e.printer.Text(explanationText(got.Value))
}

// explanationText is an explanation for people.
func explanationText(found messenger.Explanation) string {
	if found.Range != nil {
		return rangeText(found)
	}
	shard := strconv.FormatUint(uint64(found.Shard), 10)
	if found.Own {
		shard += ", of this key alone"
	}
	text := printer.Pairs(
		[2]string{"key", found.Service + "/" + found.Key},
		[2]string{"shard", shard},
		[2]string{"phase", found.Phase},
		[2]string{"server", found.Server},
		[2]string{"router", found.Router},
		[2]string{"domain", found.Domain},
		[2]string{"fence", strconv.FormatUint(found.Fence, 10)},
		[2]string{"since", printer.Time(found.Since)},
		[2]string{"why", found.Why},
		[2]string{"recorders", strings.Join(found.Recorders, ", ")},
	)
	if len(found.History) == 0 {
		return text
	}
	return text + "\n" + printer.Table(eventColumns(), found.History)
}

// rangeText is an explanation of a key of a service that is divided by ranges.
func rangeText(found messenger.Explanation) string {
	r := found.Range
	text := printer.Pairs(
		[2]string{"key", found.Service + "/" + found.Key},
		[2]string{"range", fmt.Sprintf("%d to %d", r.From, r.To)},
		[2]string{"phase", found.Phase},
		[2]string{"server", found.Server},
		[2]string{"router", found.Router},
		[2]string{"next", r.Next},
		[2]string{"domain", found.Domain},
		[2]string{"fence", strconv.FormatUint(found.Fence, 10)},
		[2]string{"since", printer.Time(found.Since)},
		[2]string{"why", found.Why},
		[2]string{"rate", fmt.Sprintf("%.1f/s, %.1f/s for the key", r.Rate, r.KeyRate)},
		[2]string{"pace", printer.Duration(r.Pace)},
		[2]string{"failing", percent(r.Failing)},
	)
	if len(found.History) == 0 {
		return text
	}
	return text + "\n" + printer.Table(eventColumns(), found.History)
}
