package messenger

import "maps"

// UpdateEvacuations returns a copy of rows, which are by failure domain, with the changes
// applied.
func UpdateEvacuations(rows map[string]EvacuationRow, changes []EvacuationRow) map[string]EvacuationRow {
	if len(changes) == 0 {
		return rows
	}
	updated := make(map[string]EvacuationRow, len(rows)+len(changes))
	maps.Copy(updated, rows)
	for _, row := range changes {
		if row.Gone {
			delete(updated, row.Domain)
			continue
		}
		updated[row.Domain] = row
	}
	return updated
}
