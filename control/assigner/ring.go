package assigner

// ring holds the newest values, up to limit.
type ring[T any] struct {
	limit  int
	values []T
}

// add appends value and returns the oldest one if it was dropped to make room.
func (r *ring[T]) add(value T) (dropped T, ok bool) {
	r.values = append(r.values, value)
	if len(r.values) <= r.limit {
		return dropped, false
	}
	dropped = r.values[0]
	r.values = r.values[1:]
	return dropped, true
}
