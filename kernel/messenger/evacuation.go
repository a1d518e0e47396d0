package messenger

import "maps"

// UpdateEvacuations returns a copy of rows, which are by failure domain, with the changes
// applied. If a domain was evacuated again after its evacuation had ended, changes may have a
// row for each, in any order; then the domain is evacuated.
func UpdateEvacuations(rows map[string]EvacuationRow, changes []EvacuationRow) map[string]EvacuationRow {
	if len(changes) == 0 {
		return rows
	}
	updated := make(map[string]EvacuationRow, len(rows)+len(changes))
	maps.Copy(updated, rows)
	for _, row := range changes {
		if row.Gone {
			delete(updated, row.Domain)
		}
	}
	for _, row := range changes {
		if !row.Gone {
			updated[row.Domain] = row
		}
	}
	return updated
}
