package admitter

// heap is a binary heap; its first item is the smallest according to less.
type heap[T any] struct {
	items []T
	less  func(a, b T) bool
}

func (h *heap[T]) push(item T) {
	h.items = append(h.items, item)
	for child := len(h.items) - 1; child > 0; {
		parent := (child - 1) / 2
		if !h.less(h.items[child], h.items[parent]) {
			return
		}
		h.items[child], h.items[parent] = h.items[parent], h.items[child]
		child = parent
	}
}

func (h *heap[T]) pop() {
	last := len(h.items) - 1
	var zero T
	h.items[0] = h.items[last]
	h.items[last] = zero
	h.items = h.items[:last]
	for parent := 0; ; {
		child := 2*parent + 1
		if child >= last {
			return
		}
		if child+1 < last && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], h.items[parent]) {
			return
		}
		h.items[child], h.items[parent] = h.items[parent], h.items[child]
		parent = child
	}
}
