package elector

// entryLog is the part of the log that is held in memory: all entries after the
// anchor, which is the last compacted entry.
type entryLog struct {
	anchorIndex uint64
	anchorTerm  uint64
	entries     []Entry
}

func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{anchorIndex: index, anchorTerm: term}
}

func (l *entryLog) last() uint64 {
	return l.anchorIndex + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index, if it is known.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.anchorIndex {
		return l.anchorTerm, true
	}
	if index < l.anchorIndex || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.anchorIndex-1].Term, true
}

// slice returns the entries from first to last; both must be in memory.
func (l *entryLog) slice(first, last uint64) []Entry {
	return l.entries[first-l.anchorIndex-1 : last-l.anchorIndex]
}

func (l *entryLog) append(entries []Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate removes the entries at index and after it. It copies the others,
// since messages and writes in progress hold slices of the old ones.
func (l *entryLog) truncate(index uint64) {
	kept := l.entries[:index-l.anchorIndex-1]
	l.entries = append(make([]Entry, 0, len(kept)), kept...)
}

// indexBefore returns the lowest index after which the entries up to last have at most the
// given number of bytes.
func (l *entryLog) indexBefore(last uint64, bytes int) uint64 {
	for last > l.anchorIndex {
		bytes -= len(l.entries[last-l.anchorIndex-1].Data)
		if bytes < 0 {
			break
		}
		last--
	}
	return last
}

// compact removes the entries up to index, which must be in memory.
func (l *entryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index == l.anchorIndex {
		return
	}
	kept := l.entries[index-l.anchorIndex:]
	l.entries = append(make([]Entry, 0, len(kept)), kept...)
	l.anchorIndex = index
	l.anchorTerm = term
}
