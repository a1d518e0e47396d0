package assembler

import (
	"context"
	"fmt"
	"math"
	"time"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/monitor"
	"marigoldhill/router/queuer"
	"marigoldhill/router/warmer"
)

// serverChanged handles a change of the backend server.
func (p *Routed) serverChanged(view *monitor.View) {
	if view.Row.Slots > 0 {
		p.admission.SetSlots(view.Row.Slots)
	}
	p.detector.ServerStarted(view.Row.Born)
	if start := fmt.Sprintf("%s %d", view.Row.Name, view.Row.Born); start != p.lastStart.Swap(start) {
		p.admission.ClearLimit()
		p.cold.happened(warmer.ServerStarted)
	}
	p.cold.update()
	p.updateRanges()
	p.keeper.RequestHeartbeat()
}

// serverCrashed handles a crash of the backend server with requests in flight.
func (p *Routed) serverCrashed(rows []messenger.QuarantineRow) {
	prints := make([]string, 0, len(rows))
	for _, row := range rows {
		prints = append(prints, row.Fingerprint)
	}
	p.options.Log.Emit(logger.ServerTerminated, "requests", len(rows), "fingerprints", prints)
	p.reporter.Send(messenger.Report{Death: rows})
}

// updateRanges passes the key ranges that the session of this router owns to the
// holder.
func (p *Routed) updateRanges() {
	p.rangesMu.Lock()
	defer p.rangesMu.Unlock()
	view := p.server.View()
	routes, session := p.mapper.Load(), p.keeper.Session()
	p.holder.SetRecordedServer(routes.ServerOf(session))
	p.holder.SetRows(routes.OwnedRanges(p.serviceName(), session), view.Row, view.State)
}

// watch checks periodically whether the announcements of the backend server have
// stopped, and logs summaries of its load.
func (p *Routed) watch(ctx context.Context) {
	ticker := time.NewTicker(announcementCheckInterval)
	defer ticker.Stop()
	summary := time.NewTicker(summaryInterval)
	defer summary.Stop()
	totals := p.admission.Totals()
	for {
		select {
		case <-ticker.C:
			p.server.Tick(timer.Now())
			p.evacuation.Tick()
		case <-summary.C:
			totals = p.summarize(totals)
		case <-ctx.Done():
			return
		}
	}
}

// summarize logs the load of the backend server since earlier totals, unless there was
// none. It returns the current totals.
func (p *Routed) summarize(earlier queuer.Totals) queuer.Totals {
	totals := p.admission.Totals()
	work := totals.Sub(earlier)
	if work.Offered > 0 && work.SlotTime > 0 {
		p.options.Log.Emit(logger.ServerLoad, "busy", math.Round(100*work.BusySlotTime.Seconds()/work.SlotTime.Seconds())/100,
			"offered", work.Offered, "refused", work.Refused, "served", work.Served, "ranges", p.holder.RangeCount(), "routes", routeLoads(p.admission.TakeKindTotals()))
	}
	return totals
}

// routeLoad is the load of one route in event 314.
type routeLoad struct {
	Route string `json:"route"`
	Rank  int    `json:"rank"`
	// Call is set if the requests are taken for calls of backend servers.
	Call    bool `json:"call"`
	Offered int  `json:"offered"`
	Refused int  `json:"refused"`
	Served  int  `json:"served"`
	Failed  int  `json:"failed"`
	// Wait and Run are the mean times before and in a slot, in milliseconds.
	Wait int64 `json:"wait"`
	Run  int64 `json:"run"`
}

// maxLoggedRoutes bounds the routes in one event 314.
const maxLoggedRoutes = 8

// routeLoads returns the load of the routes that used most slot time.
func routeLoads(totals []queuer.KindTotals) []routeLoad {
	var loads []routeLoad
	for _, kind := range totals[:min(len(totals), maxLoggedRoutes)] {
		ended := int64(max(kind.Ended(), 1))
		loads = append(loads, routeLoad{
			Route: kind.Kind, Rank: kind.Rank, Call: kind.Call, Offered: kind.Offered, Refused: kind.Refused, Served: kind.Served, Failed: kind.Failed,
			Wait: kind.Wait.Milliseconds() / ended, Run: kind.Run.Milliseconds() / ended,
		})
	}
	return loads
}
