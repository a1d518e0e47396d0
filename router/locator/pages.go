package locator

import "slices"

// pageSize is the number of values in a page.
const pageSize = 128

// pages is a fixed-length, copy-on-write slice: copies share all pages, and a page is
// copied on the first write to it.
type pages[T any] struct {
	slots []*page[T]
	// owned marks the pages that only this copy uses; it is nil if the copy is
	// immutable.
	owned []bool
}

type page[T any] [pageSize]T

func newPages[T any](length int) pages[T] {
	return pages[T]{slots: make([]*page[T], (length+pageSize-1)/pageSize)}
}

// get returns the value at index, or the zero value if none was set.
func (p pages[T]) get(index int) T {
	page := p.slots[index/pageSize]
	if page == nil {
		var zero T
		return zero
	}
	return page[index%pageSize]
}

// mutableCopy returns a copy on which set may be called.
func (p pages[T]) mutableCopy() pages[T] {
	return pages[T]{slots: slices.Clone(p.slots), owned: make([]bool, len(p.slots))}
}

// freeze makes a copy that mutableCopy returned immutable.
func (p *pages[T]) freeze() {
	p.owned = nil
}

func (p *pages[T]) set(index int, value T) {
	number := index / pageSize
	if !p.owned[number] {
		p.slots[number] = clonePage(p.slots[number])
		p.owned[number] = true
	}
	p.slots[number][index%pageSize] = value
}

func clonePage[T any](old *page[T]) *page[T] {
	if old == nil {
		return new(page[T])
	}
	clone := *old
	return &clone
}
