package locator

import (
	"maps"

	"marigoldhill/kernel/messenger"
)

// Apply returns the table that results from a delta. The rows of a delta have the
// state of revision To, so a delta that starts before the table's revision may be
// applied as well. A delta that ends before the table's revision or starts after it is
// refused, so revisions never decrease.
func (t *Table) Apply(delta *messenger.TableDelta) (*Table, error) {
	if delta.To < t.revision {
		return nil, Error.New("delta ends at revision %d, table is at %d: %w", delta.To, t.revision, ErrOlder)
	}
	if !delta.Full && delta.From > t.revision {
		return nil, Error.New("delta starts at revision %d, table is at %d: %w", delta.From, t.revision, ErrGap)
	}
	base := t
	if delta.Full {
		base = NewTable()
	}
	builder := &tableBuilder{
		table:   &Table{revision: delta.To},
		mutable: make(map[string]*serviceTable),
	}
	builder.sessions(base.sessions, delta)
	builder.profiles(base.profiles, delta)
	builder.quarantines(base, delta)
	builder.table.evacuations = messenger.UpdateEvacuations(base.evacuations, delta.Evacuations)
	builder.services(base.services, delta)
	builder.keys(delta)
	builder.shards(delta)
	builder.freeze()
	return builder.table, nil
}

// tableBuilder builds a table from a previous one. The two tables share the parts that
// the delta does not change.
type tableBuilder struct {
	table *Table
	// mutable holds the service tables that are not shared with the previous table.
	mutable map[string]*serviceTable
}

func (b *tableBuilder) sessions(old map[uint64]*messenger.SessionRow, delta *messenger.TableDelta) {
	b.table.sessions = old
	if len(delta.Sessions) == 0 {
		return
	}
	b.table.sessions = maps.Clone(old)
	for i := range delta.Sessions {
		row := &delta.Sessions[i]
		if row.Gone {
			delete(b.table.sessions, row.Session)
			continue
		}
		b.table.sessions[row.Session] = row
	}
}

func (b *tableBuilder) profiles(old map[string]*messenger.Profile, delta *messenger.TableDelta) {
	b.table.profiles = old
	if len(delta.Profiles) == 0 && len(delta.GoneProfiles) == 0 {
		return
	}
	b.table.profiles = maps.Clone(old)
	for _, name := range delta.GoneProfiles {
		delete(b.table.profiles, name)
	}
	for i := range delta.Profiles {
		profile := &delta.Profiles[i]
		b.table.profiles[profile.Name] = profile
	}
}

func (b *tableBuilder) quarantines(base *Table, delta *messenger.TableDelta) {
	b.table.quarantines = messenger.UpdateQuarantines(base.quarantines, delta.Quarantines)
	b.table.suspects = messenger.UpdateQuarantines(base.suspects, delta.Suspects)
}

func (b *tableBuilder) services(old map[string]*serviceTable, delta *messenger.TableDelta) {
	b.table.services = maps.Clone(old)
	for _, name := range delta.GoneServices {
		delete(b.table.services, name)
	}
	for i := range delta.Services {
		b.service(&delta.Services[i])
	}
}

// service adds or updates a service. A service whose number of shards changed starts
// with an empty table.
func (b *tableBuilder) service(service *messenger.Service) {
	old, ok := b.table.services[service.Name]
	if !ok || old.service.Shards != service.Shards {
		b.table.services[service.Name] = newServiceTable(service)
		return
	}
	serviceTable := b.mutableService(service.Name)
	serviceTable.service = service
	serviceTable.routes = newMatchers(service.Routes)
}

func (b *tableBuilder) keys(delta *messenger.TableDelta) {
	for _, row := range delta.Keys {
		serviceTable := b.mutableService(row.Service)
		switch {
		case serviceTable == nil:
		case row.Gone:
			delete(serviceTable.keys, row.Key)
			delete(serviceTable.promoted, row.Shard)
		default:
			serviceTable.keys[row.Key] = row.Shard
		}
	}
}

// shards sets the rows of shards. Rows of services that no longer exist are skipped.
func (b *tableBuilder) shards(delta *messenger.TableDelta) {
	for _, row := range delta.Shards {
		serviceTable := b.mutableService(row.Service)
		switch {
		case serviceTable == nil:
		case row.Shard < serviceTable.service.Shards:
			serviceTable.shards.set(int(row.Shard), newEntry(row))
		default:
			serviceTable.promoted[row.Shard] = newEntry(row)
		}
	}
}

// mutableService returns a service table of the new table that may be modified, or nil
// if there is no such service.
func (b *tableBuilder) mutableService(name string) *serviceTable {
	if serviceTable, ok := b.mutable[name]; ok {
		return serviceTable
	}
	old, ok := b.table.services[name]
	if !ok {
		return nil
	}
	serviceTable := &serviceTable{
		service:  old.service,
		routes:   old.routes,
		shards:   old.shards.mutableCopy(),
		promoted: maps.Clone(old.promoted),
		keys:     maps.Clone(old.keys),
	}
	b.mutable[name] = serviceTable
	b.table.services[name] = serviceTable
	return serviceTable
}

func (b *tableBuilder) freeze() {
	for _, serviceTable := range b.mutable {
		serviceTable.shards.freeze()
	}
}
