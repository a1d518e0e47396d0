package locator

import "iter"

// Keys iterates over the promoted keys of a service and the numbers of their shards.
func (t *Table) Keys(service string) iter.Seq2[string, uint32] {
	return func(yield func(string, uint32) bool) {
		serviceTable, ok := t.services[service]
		if !ok {
			return
		}
		for key, shard := range serviceTable.keys {
			if !yield(key, shard) {
				return
			}
		}
	}
}
