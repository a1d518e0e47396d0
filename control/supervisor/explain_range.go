package supervisor

import (
	"slices"
	"strconv"
	"time"

	"marigoldhill/control/assigner"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// explainRange returns who owns a numeric key and why, or nil when the text is not
// a valid key.
func (s *Supervisor) explainRange(now timer.Instant, r *assigner.Ranges, text string) *messenger.Explanation {
	number, err := strconv.ParseUint(text, 10, 32)
	if err != nil || number > messenger.LastKey {
		return nil
	}
	piece := r.Find(uint32(number))
	ownership := piece.Value
	explanation := &messenger.Explanation{
		Service: r.Service,
		Key:     text,
		Phase:   phaseNames[ownership.Phase],
		Fence:   ownership.Fence,
		History: s.rangeHistory(r.Service),
		Range:   &messenger.RangeExplanation{From: piece.From, To: piece.To},
	}
	// The revision of a grant is the fence that it assigns.
	for _, event := range explanation.History {
		if event.Revision == ownership.Fence {
			explanation.Why, explanation.Since = event.Text, event.Time
		}
	}
	demand := s.demandOf(r.Service)
	explanation.Range.KeyRate = demand.arrivals[number]
	for key := piece.From; key <= piece.To; key++ {
		explanation.Range.Rate += demand.arrivals[key]
	}
	if next := s.state.Session(ownership.Next); next != nil {
		explanation.Range.Next = next.Row.Router
	}
	owner := s.state.Session(ownership.Owner)
	if owner == nil {
		return explanation
	}
	explanation.Router = owner.Row.Router
	explanation.Domain = owner.Row.Domain
	explanation.Evacuation = s.evacuationOf(owner.Row.Domain)
	if owner.Row.Server != nil {
		explanation.Server = owner.Row.Server.Name
	}
	if router := s.routers[ownership.Owner]; router != nil {
		explanation.Range.Pace = time.Duration(router.requestTime.seconds * float64(time.Second))
		explanation.Range.Failing = router.failureRate.current(now)
	}
	return explanation
}

// rangeHistory lists the latest grants and moves of ranges of a service, newest
// first.
func (s *Supervisor) rangeHistory(service string) []messenger.ClusterEvent {
	history := []messenger.ClusterEvent{}
	events := s.state.Events(0)
	for _, event := range slices.Backward(events) {
		isRanges := event.Number == logger.RangesGranted.Number || event.Number == logger.RangesMoving.Number
		if isRanges && event.Subject == service && len(history) < maxHistory {
			history = append(history, event)
		}
	}
	return history
}
