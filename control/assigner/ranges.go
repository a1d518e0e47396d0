package assigner

import (
	"fmt"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/splitter"
)

// Holding is the ownership of a range of keys.
type Holding struct {
	Owner uint64
	Next  uint64
	// Fence is the log index of the newest grant.
	Fence uint64
	// Life is the start of the backend server that the grant was made for.
	Life  int64
	Phase messenger.Phase
	// Handover is what the last holder left for the next one.
	Handover string
	// Changed is the revision of the last change.
	Changed uint64
}

// Ranges is the ownership of the keys of a service that is divided by ranges.
type Ranges struct {
	Service string
	keys    *splitter.Map[Holding]
	changed uint64
}

// RangePlacement gives a range to a session.
type RangePlacement struct {
	Session uint64
	From    uint32
	To      uint32
}

// GrantRanges grants what is free of the placed ranges.
type GrantRanges struct {
	Service    string
	Placements []RangePlacement
	Why        string
}

// MoveRanges starts planned moves of what is owned of the placed ranges.
type MoveRanges struct {
	Service    string
	Placements []RangePlacement
	Why        string
}

// ReleaseRanges frees ranges that a session owned, or hands them on.
type ReleaseRanges struct {
	Session uint64
	Ranges  []messenger.RangeRef
}

// Ranges returns the ranges of a service, or nil.
func (s *State) Ranges(service string) *Ranges {
	return s.ranges[service]
}

// AllRanges lists the ranges of all services.
func (s *State) AllRanges() []*Ranges {
	return sortedValues(s.ranges)
}

// Pieces lists the ownership of all keys in order.
func (r *Ranges) Pieces() []splitter.Piece[Holding] {
	return r.keys.Pieces()
}

// Find returns the piece that holds a key.
func (r *Ranges) Find(key uint32) splitter.Piece[Holding] {
	return r.keys.Find(key)
}

func newRanges(service string) *Ranges {
	return &Ranges{Service: service, keys: splitter.New[Holding](messenger.LastKey)}
}

// openRanges gives each service that is divided by ranges its keys. A service
// that left the configuration keeps its owners, in case it comes back.
func (s *State) openRanges() {
	for n := range s.configuration.Services {
		service := &s.configuration.Services[n]
		if service.Ranged && s.ranges[service.Name] == nil {
			s.ranges[service.Name] = newRanges(service.Name)
		}
	}
}

// change updates the holdings of a range that fits holds for, and counts the
// keys that changed.
func (s *State) changeRange(r *Ranges, from, to uint32, fits func(Holding) bool, update func(Holding) Holding) int {
	count := 0
	for _, part := range r.keys.Within(from, to) {
		if !fits(part.Value) {
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

// ownedBy returns a holding that a session owns from now on.
func (s *State) ownedBy(session *Session, handover string) Holding {
	return Holding{
		Owner:    session.Row.Session,
		Fence:    s.applied,
		Life:     session.life(),
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
		isFree := func(h Holding) bool { return h.Phase == messenger.PhaseFree }
		count := s.changeRange(r, placement.From, placement.To, isFree, func(h Holding) Holding {
			return s.ownedBy(session, h.Handover)
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
		isMovable := func(h Holding) bool {
			return h.Phase == messenger.PhaseOwned && h.Owner != placement.Session
		}
		total += s.changeRange(r, placement.From, placement.To, isMovable, func(h Holding) Holding {
			h.Phase = messenger.PhaseMoving
			h.Next = placement.Session
			return h
		})
	}
	if total == 0 {
		return void()
	}
	s.event(logger.RangesMoving, command.Service,
		fmt.Sprintf("%d keys in %d ranges: %s", total, len(command.Placements), command.Why))
	return applied(s.applied, total)
}

// OwnsRange reports whether a session owns a part of a range under its fence.
func (s *State) OwnsRange(session uint64, ref messenger.RangeRef) bool {
	r := s.ranges[ref.Service]
	if r == nil {
		return false
	}
	for _, part := range r.keys.Within(ref.From, ref.To) {
		if isHeld(part.Value, session, ref.Fence) {
			return true
		}
	}
	return false
}

func isHeld(h Holding, session, fence uint64) bool {
	return h.Phase != messenger.PhaseFree && h.Owner == session && h.Fence == fence
}

func (s *State) releaseRanges(command *ReleaseRanges) Result {
	total := 0
	for _, ref := range command.Ranges {
		r := s.ranges[ref.Service]
		if r == nil {
			continue
		}
		fits := func(h Holding) bool { return isHeld(h, command.Session, ref.Fence) }
		total += s.changeRange(r, ref.From, ref.To, fits, func(h Holding) Holding {
			return s.handOver(r, h, ref.Handover)
		})
	}
	if total == 0 {
		return void()
	}
	return applied(s.applied, total)
}

// handOver returns a holding after its release: owned by the next session, or
// free when there is none that can take it.
func (s *State) handOver(r *Ranges, h Holding, handover string) Holding {
	target := s.sessions[h.Next]
	if h.Phase != messenger.PhaseMoving || target == nil || target.Service() != r.Service || target.Row.Leaving {
		return Holding{Fence: h.Fence, Handover: handover}
	}
	return s.ownedBy(target, handover)
}

// freeRanges frees the ranges of closed sessions, whose backend servers hold
// them no more, and ends moves to closed sessions.
func (s *State) freeRanges(closed map[uint64]bool) {
	for _, r := range s.AllRanges() {
		s.changeRange(r, 0, messenger.LastKey,
			func(h Holding) bool { return closed[h.Owner] && h.Phase != messenger.PhaseFree },
			func(h Holding) Holding { return Holding{Fence: h.Fence} })
		s.changeRange(r, 0, messenger.LastKey,
			func(h Holding) bool { return h.Phase == messenger.PhaseMoving && closed[h.Next] },
			func(h Holding) Holding {
				h.Phase = messenger.PhaseOwned
				h.Next = 0
				return h
			})
	}
}

// fillRanges adds the ranges that changed after the start of a delta.
func (s *State) fillRanges(delta *messenger.TableDelta) {
	for _, r := range s.AllRanges() {
		if r.changed <= delta.From && !delta.Full {
			continue
		}
		for _, piece := range r.keys.Pieces() {
			if piece.Value.Changed > delta.From || delta.Full {
				delta.Ranges = append(delta.Ranges, rowOf(r.Service, piece))
			}
		}
	}
}

func rowOf(service string, piece splitter.Piece[Holding]) messenger.RangeRow {
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
	Pieces  []splitter.Piece[Holding]
}

func (r *Ranges) snapshot() rangesSnapshot {
	return rangesSnapshot{Service: r.Service, Pieces: r.keys.Pieces()}
}

func (s *State) fillRangesOf(image rangesSnapshot) {
	r := newRanges(image.Service)
	for _, piece := range image.Pieces {
		r.keys.Set(piece.From, piece.To, piece.Value)
		r.changed = max(r.changed, piece.Value.Changed)
	}
	s.ranges[image.Service] = r
}
