package locator

import (
	"maps"

	"marigoldhill/kernel/messenger"
)

// Apply returns the table after a delta. Rows have the state of revision To, so
// a delta whose From is older than the table may be applied as well. A delta
// that ends before the table's revision, or starts after it, is refused; so
// revisions never go back.
func (t *Table) Apply(delta *messenger.TableDelta) (*Table, error) {
	if delta.To < t.revision {
		return nil, Error.New("revision %d after %d: %w", delta.To, t.revision, ErrOlder)
	}
	if !delta.Full && delta.From > t.revision {
		return nil, Error.New("revision %d after %d: %w", delta.From, t.revision, ErrGap)
	}
	base := t
	if delta.Full {
		base = NewTable()
	}
	edit := &editor{
		table:  &Table{revision: delta.To},
		opened: make(map[string]*division),
	}
	edit.sessions(base.sessions, delta)
	edit.profiles(base.profiles, delta)
	edit.quarantines(base, delta)
	edit.services(base.services, delta)
	edit.keys(delta)
	edit.shards(delta)
	edit.seal()
	return edit.table, nil
}

// editor makes one table from another. Parts that the delta does not touch are
// shared.
type editor struct {
	table *Table
	// opened are the divisions that belong to the new table alone.
	opened map[string]*division
}

func (e *editor) sessions(old map[uint64]*messenger.SessionRow, delta *messenger.TableDelta) {
	e.table.sessions = old
	if len(delta.Sessions) == 0 {
		return
	}
	e.table.sessions = maps.Clone(old)
	for i := range delta.Sessions {
		row := &delta.Sessions[i]
		if row.Gone {
			delete(e.table.sessions, row.Session)
			continue
		}
		e.table.sessions[row.Session] = row
	}
}

func (e *editor) profiles(old map[string]*messenger.Profile, delta *messenger.TableDelta) {
	e.table.profiles = old
	if len(delta.Profiles) == 0 && len(delta.GoneProfiles) == 0 {
		return
	}
	e.table.profiles = maps.Clone(old)
	for _, name := range delta.GoneProfiles {
		delete(e.table.profiles, name)
	}
	for i := range delta.Profiles {
		profile := &delta.Profiles[i]
		e.table.profiles[profile.Name] = profile
	}
}

func (e *editor) quarantines(base *Table, delta *messenger.TableDelta) {
	e.table.quarantines = applyFingerprints(base.quarantines, delta.Quarantines)
	e.table.suspects = applyFingerprints(base.suspects, delta.Suspects)
}

// applyFingerprints returns rows by fingerprint after changes.
func applyFingerprints(old map[string]messenger.QuarantineRow, changes []messenger.QuarantineRow) map[string]messenger.QuarantineRow {
	if len(changes) == 0 {
		return old
	}
	rows := maps.Clone(old)
	for _, row := range changes {
		if row.Gone {
			delete(rows, row.Fingerprint)
			continue
		}
		rows[row.Fingerprint] = row
	}
	return rows
}

func (e *editor) services(old map[string]*division, delta *messenger.TableDelta) {
	e.table.services = maps.Clone(old)
	for _, name := range delta.GoneServices {
		delete(e.table.services, name)
	}
	for i := range delta.Services {
		e.service(&delta.Services[i])
	}
}

// service adds a service or changes its description. A service that came back
// with another number of shards starts empty.
func (e *editor) service(service *messenger.Service) {
	old, ok := e.table.services[service.Name]
	if !ok || old.service.Shards != service.Shards {
		e.table.services[service.Name] = newDivision(service)
		return
	}
	division := e.open(service.Name)
	division.service = service
	division.routes = newMatchers(service.Routes)
}

func (e *editor) keys(delta *messenger.TableDelta) {
	for _, row := range delta.Keys {
		division := e.open(row.Service)
		switch {
		case division == nil:
		case row.Gone:
			delete(division.keys, row.Key)
			delete(division.promoted, row.Shard)
		default:
			division.keys[row.Key] = row.Shard
		}
	}
}

// shards sets the rows of shards. Those of a service that was removed
// meanwhile are skipped.
func (e *editor) shards(delta *messenger.TableDelta) {
	for _, row := range delta.Shards {
		division := e.open(row.Service)
		switch {
		case division == nil:
		case row.Shard < division.service.Shards:
			division.shards.set(int(row.Shard), newEntry(row))
		default:
			division.promoted[row.Shard] = newEntry(row)
		}
	}
}

// open returns a division of the new table that may be changed, or nil when
// there is no such service.
func (e *editor) open(name string) *division {
	if division, ok := e.opened[name]; ok {
		return division
	}
	old, ok := e.table.services[name]
	if !ok {
		return nil
	}
	division := &division{
		service:  old.service,
		routes:   old.routes,
		shards:   old.shards.edit(),
		promoted: maps.Clone(old.promoted),
		keys:     maps.Clone(old.keys),
	}
	e.opened[name] = division
	e.table.services[name] = division
	return division
}

func (e *editor) seal() {
	for _, division := range e.opened {
		division.shards.seal()
	}
}
