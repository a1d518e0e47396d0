package assigner

import (
	"fmt"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/splitter"
)

// RangeOwnership is the ownership state of a range of keys.
type RangeOwnership struct {
	Owner uint64
	Next  uint64
	// Fence is the log index of the latest grant.
	Fence uint64
	// Life is the start time of the backend server that the grant was made to.
	Life  int64
	Phase messenger.Phase
	// Handover is the data that the previous owner passed to the next one.
	Handover string
	// Changed is the revision of the last change.
	Changed uint64
}

// Ranges is the ownership of the keys of a service that is partitioned by ranges.
type Ranges struct {
	Service string
	keys    *splitter.Map[RangeOwnership]
	changed uint64
}

// RangePlacement assigns a range to a session.
type RangePlacement struct {
	Session uint64
	From    uint32
	To      uint32
}

// GrantRanges grants the free parts of ranges to sessions.
type GrantRanges struct {
	Service    string
	Placements []RangePlacement
	Why        string
}

// MoveRanges starts planned moves of the owned parts of ranges.
type MoveRanges struct {
	Service    string
	Placements []RangePlacement
	Why        string
}

// ReleaseRanges ends the ownership of ranges. Moving ranges go to their next owner.
type ReleaseRanges struct {
	Session uint64
	Ranges  []messenger.RangeRef
}

// Ranges returns the ranges of a service, or nil.
func (s *State) Ranges(service string) *Ranges {
	return s.ranges[service]
}

// AllRanges returns the ranges of all services, sorted by service name.
func (s *State) AllRanges() []*Ranges {
	return sortedValues(s.ranges)
}

// Pieces returns the ownership of all keys in key order.
func (r *Ranges) Pieces() []splitter.Piece[RangeOwnership] {
	return r.keys.Pieces()
}

// Find returns the piece that contains a key.
func (r *Ranges) Find(key uint32) splitter.Piece[RangeOwnership] {
	return r.keys.Find(key)
}

// GrantedUnder returns the pieces that the latest change granted under fence, in key
// order, or nil if that change was another one.
func (r *Ranges) GrantedUnder(fence uint64) []splitter.Piece[RangeOwnership] {
	if r.changed != fence {
		return nil
	}
	var granted []splitter.Piece[RangeOwnership]
	for _, piece := range r.keys.Pieces() {
		if piece.Value.Fence == fence && piece.Value.Phase == messenger.PhaseOwned {
			granted = append(granted, piece)
		}
	}
	return granted
}

func newRanges(service string) *Ranges {
	return &Ranges{Service: service, keys: splitter.New[RangeOwnership](messenger.LastKey)}
}

// createRanges creates the ranges of each service that is partitioned by ranges.
// The ranges of a service that is removed from the configuration are kept, in
// case it is added again.
func (s *State) createRanges() {
	for n := range s.configuration.Services {
		service := &s.configuration.Services[n]
		if service.Ranged && s.ranges[service.Name] == nil {
			s.ranges[service.Name] = newRanges(service.Name)
		}
	}
}

// updateRange updates the parts of a range whose ownership matches a predicate and
// returns the number of keys that changed.
func (s *State) updateRange(r *Ranges, from, to uint32, matches func(RangeOwnership) bool, update func(RangeOwnership) RangeOwnership) int {
	count := 0
	for _, part := range r.keys.Within(from, to) {
		if !matches(part.Value) {
			continue
		}
		count += int(part.To-part.From) + 1
		value := update(part.Value)
		value.Changed = s.applied
		r.keys.Set(part.From, part.To, value)
	}
	if count > 0 {
		r.changed = s.applied
		s.revision = s.applied
	}
	return count
}

// newOwnership returns the ownership of a range that is granted to a session under a
// new fence.
func (s *State) newOwnership(session *Session, handover string) RangeOwnership {
	return RangeOwnership{
		Owner:    session.Row.Session,
		Fence:    s.applied,
		Life:     session.serverStart(),
		Phase:    messenger.PhaseOwned,
		Handover: handover,
	}
}

func (s *State) grantRanges(command *GrantRanges) Result {
	r := s.ranges[command.Service]
	if r == nil {
		return void()
	}
	total := 0
	for _, placement := range command.Placements {
		session := s.sessions[placement.Session]
		if session == nil || session.Service() != command.Service {
			continue
		}
		isFree := func(o RangeOwnership) bool { return o.Phase == messenger.PhaseFree }
		count := s.updateRange(r, placement.From, placement.To, isFree, func(o RangeOwnership) RangeOwnership {
			return s.newOwnership(session, o.Handover)
		})
		total += count
	}
	if total == 0 {
		return void()
	}
	s.event(logger.RangesGranted, command.Service,
		fmt.Sprintf("%d keys in %d ranges: %s", total, len(command.Placements), command.Why))
	return applied(s.applied, total)
}

func (s *State) moveRanges(command *MoveRanges) Result {
	r := s.ranges[command.Service]
	if r == nil {
		return void()
	}
	total := 0
	for _, placement := range command.Placements {
		target := s.sessions[placement.Session]
		if target == nil || target.Service() != command.Service || target.Row.Leaving {
			continue
		}
		isMovable := func(o RangeOwnership) bool {
			return o.Phase == messenger.PhaseOwned && o.Owner != placement.Session
		}
		total += s.updateRange(r, placement.From, placement.To, isMovable, func(o RangeOwnership) RangeOwnership {
			o.Phase = messenger.PhaseMoving
			o.Next = placement.Session
			return o
		})
	}
	if total == 0 {
		return void()
	}
	s.event(logger.RangesMoving, command.Service,
		fmt.Sprintf("%d keys in %d ranges: %s", total, len(command.Placements), command.Why))
	return applied(s.applied, total)
}

// OwnsRange reports whether a session owns any part of a range under the fence of
// ref.
func (s *State) OwnsRange(session uint64, ref messenger.RangeRef) bool {
	r := s.ranges[ref.Service]
	if r == nil {
		return false
	}
	for _, part := range r.keys.Within(ref.From, ref.To) {
		if isOwnedUnder(part.Value, session, ref.Fence) {
			return true
		}
	}
	return false
}

func isOwnedUnder(o RangeOwnership, session, fence uint64) bool {
	return o.Phase != messenger.PhaseFree && o.Owner == session && o.Fence == fence
}

func (s *State) releaseRanges(command *ReleaseRanges) Result {
	total := 0
	for _, ref := range command.Ranges {
		r := s.ranges[ref.Service]
		if r == nil {
			continue
		}
		matches := func(o RangeOwnership) bool { return isOwnedUnder(o, command.Session, ref.Fence) }
		total += s.updateRange(r, ref.From, ref.To, matches, func(o RangeOwnership) RangeOwnership {
			return s.ownershipAfterRelease(r, o, ref.Handover)
		})
	}
	if total == 0 {
		return void()
	}
	return applied(s.applied, total)
}

// ownershipAfterRelease returns the ownership of a released range: by the next owner
// of a planned move, or free if there is none that can own it.
func (s *State) ownershipAfterRelease(r *Ranges, o RangeOwnership, handover string) RangeOwnership {
	target := s.sessions[o.Next]
	if o.Phase != messenger.PhaseMoving || target == nil || target.Service() != r.Service || target.Row.Leaving {
		return RangeOwnership{Fence: o.Fence, Handover: handover}
	}
	return s.newOwnership(target, handover)
}

// freeRanges frees the ranges of closed sessions, whose backend servers no longer
// serve them, and cancels moves to closed sessions.
func (s *State) freeRanges(closed map[uint64]bool) {
	for _, r := range s.AllRanges() {
		s.updateRange(r, 0, messenger.LastKey,
			func(o RangeOwnership) bool { return closed[o.Owner] && o.Phase != messenger.PhaseFree },
			func(o RangeOwnership) RangeOwnership { return RangeOwnership{Fence: o.Fence} })
		s.updateRange(r, 0, messenger.LastKey,
			func(o RangeOwnership) bool { return o.Phase == messenger.PhaseMoving && closed[o.Next] },
			func(o RangeOwnership) RangeOwnership {
				o.Phase = messenger.PhaseOwned
				o.Next = 0
				return o
			})
	}
}

// addRanges adds the ranges that changed after the start of the delta.
func (s *State) addRanges(delta *messenger.TableDelta) {
	for _, r := range s.AllRanges() {
		if r.changed <= delta.From && !delta.Full {
			continue
		}
		for _, piece := range r.keys.Pieces() {
			if piece.Value.Changed > delta.From || delta.Full {
				delta.Ranges = append(delta.Ranges, rangeRow(r.Service, piece))
			}
		}
	}
}

func rangeRow(service string, piece splitter.Piece[RangeOwnership]) messenger.RangeRow {
	return messenger.RangeRow{
		Service:  service,
		From:     piece.From,
		To:       piece.To,
		Phase:    piece.Value.Phase,
		Owner:    piece.Value.Owner,
		Fence:    piece.Value.Fence,
		Next:     piece.Value.Next,
		Life:     piece.Value.Life,
		Handover: piece.Value.Handover,
	}
}

// rangesSnapshot is the encoded form of a Ranges.
type rangesSnapshot struct {
	Service string
	Pieces  []splitter.Piece[RangeOwnership]
}

func (r *Ranges) snapshot() rangesSnapshot {
	return rangesSnapshot{Service: r.Service, Pieces: r.keys.Pieces()}
}

func (s *State) loadRanges(image rangesSnapshot) {
	r := newRanges(image.Service)
	for _, piece := range image.Pieces {
		r.keys.Set(piece.From, piece.To, piece.Value)
		r.changed = max(r.changed, piece.Value.Changed)
	}
	s.ranges[image.Service] = r
}
